"""A simulated control group whose voters are replaced, with proxies that follow it."""

import contextlib
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

from dogwoodspool_api.const import QUERY_AFTER, QUERY_CONFIRMED, QUERY_WAIT_MS
from dogwoodspool_api.models import ControlView
from dogwoodspool_common import (
    Address,
    BackendServer,
    Consistency,
    Endpoint,
    JsonClient,
    JsonRequest,
    PeerRefusedError,
)
from dogwoodspool_common.const import HTTP_CONNECT_TIMEOUT, MILLISECONDS
from dogwoodspool_common.errors import PeerUnreachableError
from dogwoodspool_consensus import (
    ConsensusError,
    ConsensusNode,
    ConsensusSettings,
    IdentityRefusedError,
    NotConfirmedError,
    NotLeaderError,
    PeerCallError,
    Role,
)
from dogwoodspool_consensus.proposals import Proposal
from dogwoodspool_control.commands import (
    ApplyDocument,
    Command,
    RecordServer,
    RemoveServer,
    decode_outcome,
    encode_command,
)
from dogwoodspool_control.errors import LeadershipLostError
from dogwoodspool_control.http.support import WaitSlots
from dogwoodspool_control.http.watch import WatchApi
from dogwoodspool_control.node import ControlNode
from dogwoodspool_control.settings.documents import Document, pack
from dogwoodspool_control.state import ControlState
from dogwoodspool_failover.api import members_of
from dogwoodspool_failover.voters import VoterMaintenance
from dogwoodspool_following import ControlPeers, ViewStore, WatchCoordinator
from dogwoodspool_following.view import ProxyView

from .fakes import MemoryLogStorage, SimulatedCrashError

TICK = 0.05
# Waits that are in progress at the same time, one inside the other.
MAX_DEPTH = 12
# Long calls begin only at the outermost levels, so that few wait for one another.
MAX_CALL_DEPTH = 2
PEER_STEPS = 6
JOIN_SECONDS = 0.4
REPORT_SECONDS = 0.2
PROXY_WAIT_MS = 1_000
WANTED_VOTERS = 3
MARKER = "r-revision"

SETTINGS = ConsensusSettings(
    heartbeat_interval=0.2,
    election_timeout_min=0.65,
    election_timeout_max=1.1,
    snapshot_every=8,
    log_kept=2,
    max_batch=4,
    snapshot_chunk_bytes=4_096,
)


def revision_of(view: ControlView | ProxyView) -> int:
    """Return the revision of the document that a view shows; 0 without one."""
    found = [one for one in endpoints_of(view) if one.name == MARKER]
    return found[0].deadline_ms if found else 0


def endpoints_of(view: ControlView | ProxyView) -> list[Any]:
    """Return the endpoints of a view."""
    if isinstance(view, ProxyView):
        return list(view.endpoints.values())
    return list(view.endpoints)


class WorldClock:
    """The clock of one machine; a wait runs the other machines meanwhile."""

    def __init__(self, world: "World", rate: float) -> None:
        self._world = world
        self._rate = rate
        self._now = 100.0

    def now(self) -> float:
        return self._now

    def advance(self, seconds: float) -> None:
        self._now += seconds * self._rate

    def sleep(self, seconds: float) -> None:
        raise AssertionError("no simulated component sleeps")

    def wait(self, condition: threading.Condition, seconds: float) -> bool:
        del condition
        self._world.pass_time(min(max(seconds, 0.001), TICK))
        return False


class CheckedState(ControlState):
    """A control state whose content at each version is compared with the others'."""

    def __init__(self, clock: WorldClock, world: "World") -> None:
        super().__init__(clock)
        self._world = world

    def apply(self, index: int, command: dict[str, Any]) -> dict[str, Any]:
        self._world.check_command(index, command)
        outcome = super().apply(index, command)
        self._world.check_state(self)
        return outcome

    def restore(self, snapshot: dict[str, Any]) -> None:
        super().restore(snapshot)
        self._world.check_state(self)


@dataclass(eq=False)
class Process:
    """A running control process."""

    machine: "Machine"
    node: ConsensusNode
    state: CheckedState
    control: ControlNode
    voters: VoterMaintenance
    watch: WatchApi
    next_voters_step: float = 0.0
    next_join: float = 0.0
    checked_index: int = 0
    inbox: list[tuple[str, dict[str, Any]]] = field(default_factory=list)
    is_in_upkeep: bool = False
    # Concurrent reads share one request, so one inside the other would wait in vain.
    is_reading: bool = False


@dataclass(eq=False)
class Machine:
    """A machine with one disk, at one address."""

    name: str
    domain: str
    address: Address
    clock: WorldClock
    storage: MemoryLogStorage
    node_id: str
    process: Process | None = None
    is_powered: bool = True
    is_frozen: bool = False
    is_gone: bool = False
    disks: int = 0


class Transport:
    """Carry the calls of one process."""

    def __init__(self, world: "World", machine: Machine) -> None:
        self._world = world
        self._machine = machine

    def call(
        self, address: Address, path: str, body: dict[str, Any], timeout: float
    ) -> dict[str, Any]:
        return self._world.call(self._machine, address, path, body)


class World:
    """Machines, network, operator and proxies, run by one seeded generator."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events: list[str] = []
        self.machines: dict[str, Machine] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.late: list[tuple[float, Address, str, dict[str, Any]]] = []
        self.chaos = 0.0
        self.on_call: Callable[[], None] | None = None
        self.commands: dict[int, dict[str, Any]] = {}
        self.terms: dict[int, int] = {}
        self.views: dict[int, ControlView] = {}
        self.documents: dict[int, int] = {}
        self.leader_of: dict[int, str] = {}
        self.pending: list[tuple[Process, Proposal, int, float]] = []
        self.acked = 0
        self.acked_at: dict[int, float] = {}
        self.revision = 0
        self.proxies: list[SimulatedProxy] = []
        self.order_pause: tuple[float, float] | None = None
        self.next_order = 0.0
        self._depth = 0
        self._is_stepping: set[Process] = set()

    def log(self, text: str) -> None:
        """Record an event of the history."""
        self.events.append(f"{self.now:7.2f} {text}")

    # Machines

    def add_machine(self, domain: str) -> Machine:
        """Add a machine with an empty disk, without starting a process."""
        name = f"m{len(self.machines)}"
        rate = self.rng.choice((0.99, 1.0, 1.01))
        machine = Machine(
            name,
            domain,
            Address(f"10.0.0.{len(self.machines) + 1}", 7000),
            WorldClock(self, rate),
            MemoryLogStorage(name),
            name,
        )
        self.machines[name] = machine
        return machine

    def start(self, machine: Machine, voters: dict[str, Address] | None = None) -> None:
        """Start the process of a machine from its disk."""
        machine.is_powered = True
        machine.is_frozen = False
        state = CheckedState(machine.clock, self)
        node = ConsensusNode(
            node_id=machine.node_id,
            address=machine.address,
            storage=machine.storage,
            machine=state,
            transport=Transport(self, machine),
            clock=machine.clock,
            settings=SETTINGS,
            initial_voters=voters or {},
            rng=random.Random(self.rng.random()),
            bootstrap=voters is not None,
            started_at=machine.clock.now() - self.rng.uniform(0, 0.6),
        )
        control = ControlNode(node)
        machine.process = Process(
            machine,
            node,
            state,
            control,
            VoterMaintenance(node, WANTED_VOTERS, machine.clock),
            WatchApi(
                control, state, WaitSlots(48), machine.clock, lambda: members_of(node)
            ),
        )
        node.load()
        self.log(f"start {machine.node_id}")

    def kill(self, machine: Machine) -> None:
        """Kill the process; what it wrote stays in the files."""
        self.log(f"kill {machine.node_id}")
        machine.process = None
        machine.is_frozen = False
        machine.storage.crash(kept=10_000)

    def lose_power(self, machine: Machine) -> None:
        """Lose the unsynced entries from any of them on."""
        unsynced = len(machine.storage._unsynced)
        kept = self.rng.randint(0, unsynced)
        self.log(f"power lost {machine.node_id}, {kept} of {unsynced} unsynced kept")
        machine.process = None
        machine.is_powered = machine.is_frozen = False
        machine.storage.crash(kept)

    def lose_disk(self, machine: Machine) -> None:
        """Lose the disk; the next process has a new identity at the same address."""
        self.log(f"disk lost {machine.node_id}")
        machine.process = None
        machine.is_frozen = False
        machine.storage.wipe()
        machine.disks += 1
        machine.node_id = f"{machine.name}-{machine.disks}"

    def thaw(self, machine: Machine) -> None:
        """Let a frozen process continue with the messages that arrived meanwhile."""
        process, machine.is_frozen = machine.process, False
        self.log(f"thaw {machine.node_id}")
        if process is None:
            return
        inbox, process.inbox = process.inbox, []
        for path, body in inbox:
            with contextlib.suppress(PeerCallError):
                self.deliver(machine, path, body)

    def live(self) -> list[Machine]:
        """Return the machines whose processes run."""
        return [
            one
            for one in self.machines.values()
            if one.process is not None and not one.is_frozen
        ]

    def leader(self) -> Machine | None:
        """Return the machine that leads the newest term with a lease."""
        leading = [
            one
            for one in self.live()
            if one.process is not None and one.process.node.leadership() is not None
        ]
        return leading[0] if leading else None

    def is_whole(self) -> bool:
        """Return whether the group tolerates the loss of one disk now."""
        leader = self.leader()
        if leader is None or leader.process is None:
            return False
        state = leader.process.node._state
        if state.configurations.current_index > state.commit_index:
            return False
        voters = state.configuration.voters
        running = {one.node_id for one in self.live()}
        return len(voters) == WANTED_VOTERS and voters <= running and not self.cuts

    # Network

    def call(
        self, source: Machine, address: Address, path: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        process = source.process
        target = next(one for one in self.machines.values() if one.address == address)
        if (source.name, target.name) in self.cuts:
            raise PeerCallError("no answer")
        fate = self._fate()
        if fate == "lost":
            raise PeerCallError("no answer")
        if fate in ("late", "repeated"):
            due = self.now + self.rng.choice((0.1, 0.5, 1.0, 3.0))
            self.late.append((due, address, path, body))
        if fate == "late":
            raise PeerCallError("no answer")
        if fate == "slow request":
            self._delay(source, process)
        answer = self.deliver(target, path, body)
        if fate == "slow answer":
            self._delay(source, process)
        if fate == "answer lost" or (target.name, source.name) in self.cuts:
            raise PeerCallError("the answer was lost")
        if source.process is not process:
            raise SimulatedCrashError
        return answer

    def _fate(self) -> str:
        if self.rng.random() >= self.chaos:
            return ""
        return self.rng.choice(
            ("lost", "late", "repeated", "slow request", "slow answer", "answer lost")
        )

    def _delay(self, source: Machine, process: Process | None) -> None:
        """Run everything else while one message is in transit."""
        if self._depth > MAX_CALL_DEPTH:
            return
        for _ in range(self.rng.choice((1, 3, 8, 16))):
            self.pass_time(TICK)
        if source.process is not process:
            raise SimulatedCrashError

    def deliver(
        self, target: Machine, path: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        """Deliver a request to the process at a machine and return its answer."""
        process = target.process
        if process is None:
            raise PeerCallError("no answer")
        if target.is_frozen:
            process.inbox.append((path, body))
            raise PeerCallError("no answer")
        try:
            answer = process.node.handle(path, body)
        except IdentityRefusedError as error:
            raise PeerCallError(str(error), error.code) from error
        except (NotLeaderError, NotConfirmedError) as error:
            raise PeerCallError(str(error)) from error
        except SimulatedCrashError as error:
            raise PeerCallError("no answer") from error
        if target.process is not process:
            raise PeerCallError("no answer")
        return answer

    # Time

    def pass_time(self, seconds: float) -> None:
        """Advance all clocks and run all processes once."""
        self.now += seconds
        for machine in self.machines.values():
            machine.clock.advance(seconds)
        if self._depth >= MAX_DEPTH:
            return
        self._depth += 1
        try:
            self._deliver_late()
            for machine in list(self.machines.values()):
                self.step(machine)
            self._settle_orders()
            if self._depth == 1:
                for proxy in self.proxies:
                    proxy.run()
        finally:
            self._depth -= 1

    def run(self, seconds: float) -> None:
        """Run for a time, with the operator's orders."""
        until = self.now + seconds
        while self.now < until:
            self.pass_time(TICK)
            if self.order_pause is not None and self.now >= self.next_order:
                self.next_order = self.now + self.rng.uniform(*self.order_pause)
                self.order()
            if self.chaos and self.rng.random() < 0.05:
                self.read()

    def _deliver_late(self) -> None:
        due = [one for one in self.late if one[0] <= self.now]
        self.late = [one for one in self.late if one[0] > self.now]
        for _, address, path, body in due:
            for machine in self.machines.values():
                if machine.address == address:
                    with contextlib.suppress(PeerCallError):
                        self.deliver(machine, path, body)

    def step(self, machine: Machine) -> None:
        """Run the steps of one process that are due."""
        process = machine.process
        if process is None or machine.is_frozen:
            return
        steps = [
            process.node.tick,
            process.node.write_pending,
            *[
                lambda peer=peer: self._step_peer(process, peer)
                for peer in sorted(process.node._state.configuration.members)
                if peer != machine.node_id
            ],
            process.node.apply_committed,
        ]
        if self._depth <= MAX_CALL_DEPTH:
            steps += [
                lambda: self._catch_up(process),
                lambda: self._keep_voters(process),
                lambda: self._join(process),
            ]
        for one in steps:
            if machine.process is not process or machine.is_frozen:
                return
            try:
                one()
            except SimulatedCrashError:
                return
            self.check_logs(process)
        self.check_leaders()

    def _step_peer(self, process: Process, peer: str) -> None:
        for _ in range(PEER_STEPS):
            process.node.step_peer(peer)
            if process.machine.process is not process or process.machine.is_frozen:
                return
            if process.node._peer_due(peer) > process.machine.clock.now():
                return

    def _catch_up(self, process: Process) -> None:
        if process.is_reading:
            return
        process.is_reading = True
        try:
            process.control.catch_up()
        finally:
            process.is_reading = False

    def _keep_voters(self, process: Process) -> None:
        now = process.machine.clock.now()
        if process.is_in_upkeep or now < process.next_voters_step:
            return
        process.is_in_upkeep = True
        try:
            process.next_voters_step = now + process.voters.step()
        finally:
            process.is_in_upkeep = False

    def _join(self, process: Process) -> None:
        now, machine = process.machine.clock.now(), process.machine
        if now < process.next_join or machine.process is not process:
            return
        process.next_join = now + JOIN_SECONDS
        members = process.node.diagnostics().members
        if any(
            one.node_id == machine.node_id and one.failure_domain == machine.domain
            for one in members
        ):
            return
        leader = self.leader()
        if leader is None or leader.process is None:
            return
        links = {(machine.name, leader.name), (leader.name, machine.name)}
        if links & self.cuts:
            return
        try:
            leader.process.node.add_learner(
                machine.node_id, machine.address, machine.domain, 3.0
            )
        except ConsensusError:
            return

    # Operator

    def order(self) -> None:
        """Send a new document, an older one again, or another command."""
        for machine in self.live():
            process = machine.process
            if process is None:
                continue
            try:
                process.control.require_leadership()
            except LeadershipLostError:
                continue
            self._submit(process)
            return

    def _submit(self, process: Process) -> None:
        kind = self.rng.random()
        command: Command
        revision = 0
        if kind < 0.7:
            self.revision += self.rng.choice((1, 1, 2, 5))
            revision = self.revision
            command = ApplyDocument(revision, self._document(revision), "operator")
        elif kind < 0.8 and self.revision:
            revision = self.rng.randint(1, self.revision)
            command = ApplyDocument(revision, self._document(revision), "operator")
        elif kind < 0.95:
            command = RecordServer(self._server())
        else:
            command = RemoveServer(self._server().name)
        try:
            proposal = process.node.submit(encode_command(command))
        except ConsensusError:
            return
        self.pending.append((process, proposal, revision, self.now))

    def _server(self) -> BackendServer:
        number = self.rng.randrange(4)
        return BackendServer(
            f"s{number}",
            self.rng.choice(("g1", "g2")),
            "a",
            Address("10.1.0.1", number),
            3,
            20,
            self.rng.random() < 0.3,
        )

    def _document(self, revision: int) -> str:
        rng = random.Random(revision)
        names = rng.sample("abcdefgh", rng.randint(1, 6))
        endpoints = [Endpoint(MARKER, "rev", "g1", Consistency.PRIMARY, revision, 1, 1)]
        endpoints += [
            Endpoint(
                f"r-{name}",
                f"{name}{rng.randrange(2)}",
                rng.choice(("g1", "g2")),
                Consistency.PRIMARY,
                rng.choice((800, 900)),
                100,
                1,
            )
            for name in names
        ]
        nodes: dict[str, dict[str, Any]] = {
            "/": {"max_transaction_idle_ms": rng.choice((2_000, 3_000))},
            "/g1": {"write_ack": rng.choice(("group", "primary"))},
        }
        if rng.random() < 0.7:
            nodes["/g2"] = {"server_connections": rng.choice((10, 20))}
        return pack(Document(nodes, tuple(endpoints), f"source {revision}"))

    def _settle_orders(self) -> None:
        waiting = []
        for item in self.pending:
            process, proposal, revision, sent = item
            if process.machine.process is not process or process.machine.is_frozen:
                if process.machine.is_frozen:
                    waiting.append(item)
                continue
            if not proposal.is_done:
                if self.now - sent < 2.0:
                    waiting.append(item)
                continue
            try:
                outcome = decode_outcome(proposal.result())
            except ConsensusError:
                continue
            if revision:
                assert outcome.is_accepted, f"revision {revision} rejected: {outcome}"
                if revision > self.acked:
                    self.acked = revision
                    self.acked_at[revision] = self.now
                    self.log(f"acknowledged {revision} by {process.machine.node_id}")
        self.pending = waiting

    def read(self) -> None:
        """Check that a confirmed read has everything acknowledged before it."""
        live = self.live()
        if not live:
            return
        machine = self.rng.choice(live)
        process, before = machine.process, self.acked
        if process is None or process.is_reading:
            return
        process.is_reading = True
        try:
            process.node.confirm_read(0.4)
        except (NotConfirmedError, SimulatedCrashError):
            return
        finally:
            process.is_reading = False
        seen = process.state.document.revision
        assert seen >= before, f"{machine.node_id} confirmed {seen}, not {before}"

    # Checks

    def check_command(self, index: int, command: dict[str, Any]) -> None:
        known = self.commands.setdefault(index, command)
        assert known == command, f"two commands were applied at {index}"

    def check_state(self, state: ControlState) -> None:
        version, view, revision = state.version, state.view(), state.document.revision
        known = self.views.setdefault(version, view)
        assert known == view, f"two states of version {version}"
        known_revision = self.documents.setdefault(version, revision)
        assert known_revision == revision, f"two documents in version {version}"
        assert revision == revision_of(view), "the view lacks the document"

    def check_logs(self, process: Process) -> None:
        state = process.node._state
        while process.checked_index < state.commit_index:
            process.checked_index += 1
            index = process.checked_index
            term = state.log.term_at(index)
            if term is not None:
                known = self.terms.setdefault(index, term)
                assert known == term, f"entry {index} is of terms {known} and {term}"

    def check_leaders(self) -> None:
        leaders = []
        for machine in self.machines.values():
            process = machine.process
            if process is None:
                continue
            assert not process.node._state.has_failed, f"{machine.node_id} has failed"
            if process.node._state.role is Role.LEADER:
                term = process.node._state.term
                known = self.leader_of.setdefault(term, machine.node_id)
                assert known == machine.node_id, f"two leaders in term {term}"
            if process.node.leadership() is not None:
                leaders.append(machine.node_id)
        assert len(leaders) <= 1, f"two leases: {leaders}"


class StoppedError(BaseException):
    """Ends the thread of a simulated proxy."""


class SimulatedProxy:
    """A proxy whose watch coordinator runs in a thread, one step at a time.

    The thread and the world never run together: each waits for the other.
    """

    def __init__(self, world: World, name: str, domain: str) -> None:
        self.world = world
        self.name = name
        self.domain = domain
        self._wake = threading.Semaphore(0)
        self._parked = threading.Semaphore(0)
        self._is_stopped = False
        self._error: BaseException | None = None
        self.start()

    def start(self) -> None:
        """Start the process of the proxy, which knows nothing."""
        world = self.world
        addresses = tuple(
            one.address for one in world.machines.values() if not one.is_gone
        )
        self.clock = WorldClock(world, 1.0)
        self.clock.now = lambda: world.now  # type: ignore[method-assign]
        self.views = ViewStore(self.domain, self.clock)
        self.views.add_listener(self._check_view)
        self.peers = ControlPeers(addresses, self.domain, self.name)
        self._until = 0.0
        self._request: _Poll | None = None
        self._next_report = 0.0
        client = cast(JsonClient, self)
        coordinator = WatchCoordinator(
            self.views, self.peers, client, self.clock, PROXY_WAIT_MS
        )
        self._is_stopped = False
        self._thread = threading.Thread(
            target=self._loop, args=(coordinator,), daemon=True
        )
        self._thread.start()
        self._parked.acquire()

    def stop(self) -> None:
        """End the process."""
        self._is_stopped = True
        self._wake.release()
        self._thread.join()

    def restart(self) -> None:
        """Start anew."""
        self.stop()
        self.start()

    def run(self) -> None:
        """Run the thread as far as it gets at this time."""
        self._report()
        while self._is_due():
            self._wake.release()
            self._parked.acquire()
            if self._error is not None:
                raise self._error

    def get(
        self, address: Address, path: str, query: dict[str, str], timeout: float
    ) -> dict[str, Any]:
        """Send a poll; called by the coordinator in the thread."""
        del path
        world = self.world
        target = next(one for one in world.machines.values() if one.address == address)
        self._request = _Poll(
            target, target.process, query, world.now, timeout, world.acked
        )
        self._park()
        request, self._request = self._request, None
        if request.error is not None:
            raise request.error
        assert request.answer is not None
        return request.answer

    def _is_due(self) -> bool:
        if self._request is None:
            return self.world.now >= self._until
        return self._answer(self._request)

    def _answer(self, poll: "_Poll") -> bool:
        """Return whether a poll has an answer or has failed by now."""
        now, machine = self.world.now, poll.machine
        if not machine.is_powered:
            limit = poll.timeout if poll.process else HTTP_CONNECT_TIMEOUT
            return poll.fail_after(now, limit)
        if machine.process is None or machine.process is not poll.process:
            return poll.fail_after(now, 0.0)
        if machine.is_frozen or self._is_cut(machine):
            return poll.fail_after(now, poll.timeout)
        after = int(poll.query[QUERY_AFTER])
        is_over = now - poll.sent >= int(poll.query[QUERY_WAIT_MS]) / MILLISECONDS
        is_confirmed = poll.query.get(QUERY_CONFIRMED) == "1"
        is_waiting = poll.has_confirmed or not is_confirmed
        if is_waiting and not is_over and machine.process.state.version <= after:
            return False
        query = {**poll.query, QUERY_WAIT_MS: "0"}
        process = machine.process
        if is_confirmed and process.is_reading:
            return False
        (route,) = process.watch.routes()
        process.is_reading = is_confirmed or process.is_reading
        try:
            response = route.handler(JsonRequest(route.path, query, {}))
        except SimulatedCrashError:
            return poll.fail_after(now, 0.0)
        finally:
            process.is_reading = process.is_reading and not is_confirmed
        if response.status != 200:
            body = response.body
            poll.error = PeerRefusedError(
                response.status, body["error"], body.get("detail", "")
            )
            return True
        view = response.body["view"]
        if view is None and not is_over:
            poll.has_confirmed = True
            return False
        poll.answer = dict(response.body)
        if is_confirmed and view is not None:
            seen = revision_of(ControlView.model_validate(view))
            assert seen >= poll.acked, (
                f"{machine.node_id} confirmed a view of {seen}, not {poll.acked}"
            )
        return True

    def _is_cut(self, machine: Machine) -> bool:
        links = {(self.name, machine.name), (machine.name, self.name)}
        return bool(links & self.world.cuts)

    def _report(self) -> None:
        world = self.world
        if world.now < self._next_report:
            return
        self._next_report = world.now + REPORT_SECONDS
        address = self.peers.leader_or_next()
        machine = next(one for one in world.machines.values() if one.address == address)
        process = machine.process
        if process is None or machine.is_frozen or self._is_cut(machine):
            if process is not None or not machine.is_powered:
                self._next_report += HTTP_CONNECT_TIMEOUT
            self.peers.record_failure(address)
        elif process.control.leadership() is not None:
            self.peers.record_leader_answer(address)
            self.views.record_announced(process.state.version)
        else:
            error = PeerRefusedError(421, "not_leader", process.control.leader)
            self.peers.record_refusal(address, error)

    def _check_view(self, view: ProxyView) -> None:
        known = self.world.views.get(view.version)
        assert known is not None, f"no process had version {view.version}"
        whole = ProxyView.of(known)
        assert view.endpoints == whole.endpoints, "endpoints differ"
        assert view.databases == whole.databases, "databases differ"
        assert view.servers == whole.servers, "servers differ"
        assert view.groups == whole.groups, "groups differ"
        mine = {node.path: node for node in view.tree.nodes()}
        assert mine == {node.path: node for node in whole.tree.nodes()}, "trees differ"

    def _park(self) -> None:
        self._parked.release()
        self._wake.acquire()
        if self._is_stopped:
            raise StoppedError

    def _loop(self, coordinator: WatchCoordinator) -> None:
        try:
            self._park()
            while True:
                pause = coordinator.step()
                self._until = self.world.now + pause
                if pause:
                    self._park()
        except StoppedError:
            return
        except BaseException as error:  # noqa: BLE001
            self._error = error
            self._parked.release()


@dataclass(eq=False)
class _Poll:
    """A poll in transit or waiting at a control process."""

    machine: Machine
    process: Process | None
    query: dict[str, str]
    sent: float
    timeout: float
    acked: int
    has_confirmed: bool = False
    answer: dict[str, Any] | None = None
    error: Exception | None = None

    def fail_after(self, now: float, limit: float) -> bool:
        """Fail the poll once it has waited for a time."""
        if now - self.sent < limit:
            return False
        self.error = PeerUnreachableError("no answer")
        return True
