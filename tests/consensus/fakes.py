"""Simulated storage, network and clocks that tests control without threads."""

import random
import threading
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from dogwoodspool_common import Address
from dogwoodspool_consensus import (
    ConsensusNode,
    ConsensusSettings,
    IdentityRefusedError,
    NotConfirmedError,
    NotLeaderError,
    PeerCallError,
    Role,
    StorageError,
    StorageFailedError,
)
from dogwoodspool_consensus.models import (
    Entry,
    Identity,
    LogBase,
    Snapshot,
    StoredState,
    Vote,
)
from dogwoodspool_consensus.storage import LogStorage

SETTINGS = ConsensusSettings(
    snapshot_every=8,
    log_kept=2,
    max_batch=4,
    snapshot_chunk_bytes=256,
    max_snapshot_bytes=20_000,
)


class SimulatedCrashError(Exception):
    """Raised where a simulated process crashes in the middle of a step."""


class SteppingClock:
    """A clock that a test advances; the other nodes run during a wait.

    The time of a wait passes on all clocks, each at its own rate. If it passed on the
    waiting clock alone, a few waits would exceed the clock drift that leases allow for.
    """

    def __init__(self, rate: float = 1.0) -> None:
        self.rate = rate
        self.on_wait: Callable[[], None] = lambda: None
        self.pass_time: Callable[[float], None] = self.advance
        self._now = 100.0
        self._is_waiting = False

    def now(self) -> float:
        return self._now

    def advance(self, seconds: float) -> None:
        self._now += seconds * self.rate

    def sleep(self, seconds: float) -> None:
        self._now += seconds

    def wait(self, condition: threading.Condition, seconds: float) -> bool:
        if not self._is_waiting:
            self._is_waiting = True
            self.on_wait()
            self._is_waiting = False
        self.pass_time(min(seconds, 0.05) / self.rate)
        return False


class MemoryLogStorage:
    """In-memory storage that keeps unsynced entries apart from synced ones."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._wipes = 0
        self.stored = StoredState()
        self._unsynced: list[Entry] = []
        self.on_sync: Callable[[], None] = lambda: None
        self.has_failing_disk = False

    def load(self) -> StoredState:
        return self.stored

    def create_identity(
        self, node_id: str, initial_voters: Mapping[str, Address] | None
    ) -> Identity:
        identity = Identity(node_id, f"{self._name}.{self._wipes}", initial_voters)
        self._change(identity=identity)
        return identity

    def save_vote(self, vote: Vote) -> None:
        self._check()
        self._change(vote=vote)

    def append(self, entries: Sequence[Entry]) -> None:
        self._unsynced.extend(entries)

    def sync(self) -> None:
        self._check()
        self.on_sync()
        self._keep_unsynced(len(self._unsynced))

    def truncate(self, index: int) -> None:
        self._keep_unsynced(len(self._unsynced))
        kept = index - self.stored.base.index - 1
        self._change(entries=self.stored.entries[:kept])

    def rewrite(self, base: LogBase, entries: Sequence[Entry]) -> None:
        self._unsynced = []
        self._change(base=base, entries=tuple(entries))

    def save_snapshot(self, snapshot: Snapshot) -> None:
        known = self.stored.snapshot
        if known is None or known.index <= snapshot.index:
            self._change(snapshot=snapshot)

    def close(self) -> None:
        pass

    def crash(self, kept: int = 0) -> None:
        """Lose all unsynced entries except the first ``kept``."""
        self._keep_unsynced(kept)
        self._unsynced = []

    def wipe(self) -> None:
        """Lose everything."""
        self._wipes += 1
        self.stored, self._unsynced = StoredState(), []

    def _keep_unsynced(self, count: int) -> None:
        kept, self._unsynced = self._unsynced[:count], self._unsynced[count:]
        self._change(entries=self.stored.entries + tuple(kept))

    def _change(self, **values: Any) -> None:
        known = {name: getattr(self.stored, name) for name in StoredState.__slots__}
        self.stored = StoredState(**{**known, **values})

    def _check(self) -> None:
        if self.has_failing_disk:
            raise StorageFailedError("simulated")


class RecordingMachine:
    """Record every command with its index; reject one that comes twice or too late."""

    def __init__(self, on_apply: Callable[[int, str], None]) -> None:
        self.applied: dict[int, str] = {}
        self._on_apply = on_apply

    def apply(self, index: int, command: dict[str, Any]) -> dict[str, Any]:
        assert index > max(self.applied, default=0), "applied out of order"
        self.applied[index] = command["id"]
        self._on_apply(index, command["id"])
        return {"index": index}

    def snapshot(self) -> dict[str, Any]:
        return {str(index): text for index, text in self.applied.items()}

    def restore(self, snapshot: dict[str, Any]) -> None:
        self.applied = {int(index): text for index, text in snapshot.items()}
        for index, text in self.applied.items():
            self._on_apply(index, text)


class Cluster:
    """Nodes on a simulated network; the test runs every step."""

    def __init__(self, count: int, rates: Sequence[float] = ()) -> None:
        self.addresses = {f"n{i}": Address("10.0.0.1", i) for i in range(count)}
        self.voters = dict(self.addresses)
        self.nodes: dict[str, ConsensusNode] = {}
        self.machines: dict[str, RecordingMachine] = {}
        self.storages: dict[str, MemoryLogStorage] = {}
        self.clocks: dict[str, SteppingClock] = {}
        self.cut_links: set[frozenset[str]] = set()
        self.frozen: set[str] = set()
        self.committed: dict[int, str] = {}
        self.sent: list[tuple[str, str, dict[str, Any]]] = []
        self.on_request: Callable[[], None] | None = None
        self.on_answer: Callable[[], None] | None = None
        self.on_step: Callable[[], None] = lambda: None
        self._rates = dict(zip(self.addresses, rates, strict=False))
        for name in list(self.addresses):
            self.start(name, bootstrap=True)

    def start(
        self, name: str, *, bootstrap: bool = False, loading: float | None = None
    ) -> None:
        """Start a node from its storage, after ``loading`` seconds of loading."""
        self.addresses.setdefault(name, Address("10.0.0.1", len(self.addresses)))
        clock = self.clocks.setdefault(name, SteppingClock(self._rates.get(name, 1.0)))
        clock.on_wait = self.settle
        clock.pass_time = self.advance
        self.machines[name] = self.build_machine()
        self.nodes[name] = ConsensusNode(
            node_id=name,
            address=self.addresses[name],
            storage=self.open_storage(name),
            machine=self.machines[name],
            transport=NodeTransport(self, name),
            clock=clock,
            settings=SETTINGS,
            initial_voters=self.voters,
            rng=random.Random(name),
            bootstrap=bootstrap,
            started_at=None if loading is None else clock.now() - loading,
        )
        self.nodes[name].load()

    def build_machine(self) -> RecordingMachine:
        """Return the state machine of a starting node."""
        return RecordingMachine(self._check_applied)

    def open_storage(self, name: str) -> LogStorage:
        """Return the storage that a starting node reads."""
        return self.storages.setdefault(name, MemoryLogStorage(name))

    def crash(self, name: str, kept: int = 0) -> None:
        """Stop a node, losing its unsynced entries except the first ``kept``."""
        self.nodes.pop(name, None)
        self.storages[name].on_sync = lambda: None
        self.storages[name].crash(kept)

    def running(self) -> list[str]:
        """Return the nodes that are neither stopped nor frozen."""
        return [name for name in sorted(self.nodes) if name not in self.frozen]

    def cut_off(self, name: str) -> None:
        """Partition a node from all others."""
        self.cut_links |= {frozenset({name, other}) for other in self.addresses} - {
            frozenset({name})
        }

    def advance(self, seconds: float) -> None:
        """Advance the clocks of all nodes, each at its own rate."""
        for clock in self.clocks.values():
            clock.advance(seconds)

    def step(self, name: str) -> None:
        """Run all steps of one node that are due."""
        node = self.nodes.get(name)
        if node is None or name in self.frozen:
            return
        try:
            node.tick()
            node.write_pending()
            members = {one.node_id for one in node.diagnostics().members}
            for peer in sorted({*self.addresses, *members} - {name}):
                node.step_peer(peer)
            node.apply_committed()
        except SimulatedCrashError:
            self.crash(name)
        self.on_step()

    def node_of_rank(self, rank: int) -> str:
        """Return a node by rank: 0 is the leader of the newest term, if any."""

        def sort_key(name: str) -> tuple[bool, int]:
            seen = self.nodes[name].diagnostics()
            return seen.role is not Role.LEADER, -seen.term

        running = sorted(self.nodes, key=sort_key)
        names = running + sorted(set(self.voters) - set(running))
        return names[rank % len(names)]

    def heal(self) -> None:
        """Restore all connections and start or unfreeze all nodes."""
        self.cut_links.clear()
        self.frozen.clear()
        for name in sorted(set(self.addresses) - set(self.nodes)):
            self.start(name)

    def settle(self, rounds: int = 2) -> None:
        """Run all nodes for a few rounds without advancing time."""
        for _ in range(rounds):
            for name in self.running():
                self.step(name)

    def run(self, seconds: float) -> None:
        """Advance time in short steps, running all nodes after each."""
        for _ in range(round(seconds / 0.05)):
            self.advance(0.05)
            self.settle(1)

    def leader(self) -> str:
        """Run until a node may answer as leader, and return it."""
        for _ in range(200):
            self.run(0.05)
            leaders = self.leaders()
            if leaders:
                return leaders[0]
        raise AssertionError("no leader was elected")

    def leaders(self) -> list[str]:
        """Return the nodes, including frozen ones, that would answer as leader."""
        return [name for name in sorted(self.nodes) if self.nodes[name].leadership()]

    def deliver(self, target: str, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Deliver a request to a node and return its response."""
        node = self.nodes.get(target)
        if node is None or target in self.frozen:
            raise PeerCallError("no answer")
        try:
            return node.handle(path, body)
        except IdentityRefusedError as error:
            raise PeerCallError(str(error), error.code) from error
        except (StorageError, NotLeaderError, NotConfirmedError) as error:
            raise PeerCallError(str(error)) from error
        except SimulatedCrashError as error:
            self.crash(target)
            raise PeerCallError("no answer") from error

    def _check_applied(self, index: int, text: str) -> None:
        known = self.committed.setdefault(index, text)
        assert known == text, f"entry {index} was {known} and is {text}"


class NodeTransport:
    """Deliver requests between the nodes of a cluster."""

    def __init__(self, cluster: Cluster, source: str) -> None:
        self._cluster = cluster
        self._source = source

    def call(
        self, address: Address, path: str, body: dict[str, Any], timeout: float
    ) -> dict[str, Any]:
        cluster = self._cluster
        # Other threads of the caller may answer as leader while this one waits.
        cluster.on_step()
        names = [name for name, at in cluster.addresses.items() if at == address]
        if not names or frozenset({self._source, names[0]}) in cluster.cut_links:
            raise PeerCallError("no answer")
        cluster.sent = [*cluster.sent[-20:], (names[0], path, body)]
        meanwhile, cluster.on_request = cluster.on_request, None
        if meanwhile is not None:
            meanwhile()
        answer = cluster.deliver(names[0], path, body)
        meanwhile, cluster.on_answer = cluster.on_answer, None
        if meanwhile is not None:
            meanwhile()
        if frozenset({self._source, names[0]}) in cluster.cut_links:
            raise PeerCallError("the answer was lost")
        return answer
