"""The operator of the simulated control group."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dogwoodspool_api import WatchResponse
from dogwoodspool_api.const import (
    QUERY_AFTER,
    QUERY_CONFIRMED,
    QUERY_DOCUMENT,
    QUERY_MAX_AGE_MS,
    QUERY_WAIT_MS,
)
from dogwoodspool_common import Address, BackendServer, JsonRequest
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_consensus import ConsensusError, NotConfirmedError
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

from ..fakes import SimulatedCrashError
from .documents import document
from .machines import Machine, Process

if TYPE_CHECKING:
    from .world import World

# Time for which the operator waits for the outcome of a command.
ANSWER_SECONDS = 2.0
# Versions from which confirmed polls ask for what is newer.
LATEST_VERSIONS = 12
MAX_AGES_MS = ("0", "200", "1000")
MAX_CLOCK_RATE = 1.02
HTTP_OK = 200


@dataclass(eq=False)
class _Order:
    """A command in progress; the revision is 0 where it applies no document."""

    process: Process
    proposal: Proposal
    revision: int
    sent: float


class Operator:
    """Sends commands and remembers what was acknowledged.

    ``acked`` is the highest acknowledged revision, and ``acked_at`` has the time of
    each acknowledgement that raised it. ``reads`` counts the polls of ``read_newer``,
    and ``confirmed_reads`` those that were confirmed.
    """

    def __init__(self, world: "World") -> None:
        self._world = world
        self.revision = 0
        self.acked = 0
        self.acked_at: dict[int, float] = {}
        self.reads = 0
        self.confirmed_reads = 0
        self._pending: list[_Order] = []

    def order(self) -> None:
        """Send a new document, an older one again, or another command."""
        for machine in self._world.live():
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
        command, revision = self._command()
        try:
            proposal = process.node.submit(encode_command(command))
        except ConsensusError:
            return
        self._pending.append(_Order(process, proposal, revision, self._world.now))

    def _command(self) -> tuple[Command, int]:
        """Return a command with the revision of its document; 0 without one."""
        rng = self._world.rng
        kind = rng.random()
        if kind < 0.7:
            self.revision += rng.choice((1, 1, 2, 5))
            return self._apply(self.revision), self.revision
        if kind < 0.8 and self.revision:
            revision = rng.randint(1, self.revision)
            return self._apply(revision), revision
        if kind < 0.95:
            return RecordServer(self._server()), 0
        return RemoveServer(self._server().name), 0

    def _apply(self, revision: int) -> ApplyDocument:
        return ApplyDocument(revision, document(revision), "operator")

    def _server(self) -> BackendServer:
        number = self._world.rng.randrange(4)
        return BackendServer(
            f"s{number}",
            self._world.rng.choice(("g1", "g2")),
            "a",
            Address("10.1.0.1", number),
            3,
            20,
            self._world.rng.random() < 0.3,
        )

    def settle(self) -> None:
        """Record the outcome of the commands that are done."""
        self._pending = [one for one in self._pending if self._is_open(one)]

    def _is_open(self, order: _Order) -> bool:
        """Return whether an order is still to be answered; record its outcome."""
        machine = order.process.machine
        if machine.is_frozen:
            return True
        if machine.process is not order.process:
            return False
        if not order.proposal.is_done:
            return self._world.now - order.sent < ANSWER_SECONDS
        try:
            outcome = decode_outcome(order.proposal.result())
        except ConsensusError:
            return False
        if order.revision:
            assert outcome.is_accepted, f"revision {order.revision} rejected: {outcome}"
            self._record_acked(order.revision, machine)
        return False

    def _record_acked(self, revision: int, machine: Machine) -> None:
        if revision <= self.acked:
            return
        self.acked = revision
        self.acked_at[revision] = self._world.now
        self._world.log(f"acknowledged {revision} by {machine.node_id}")

    def read(self) -> None:
        """Check that a confirmed read has everything acknowledged before it."""
        live = self._world.live()
        if not live:
            return
        machine = self._world.rng.choice(live)
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

    def read_newer(self) -> None:
        """Check that a confirmed poll has everything acknowledged before it.

        A proxy that is told that nothing is newer keeps the version that it has, which
        is any of the latest ones. It may accept an earlier confirmation; the answer
        then has what had been acknowledged by that time.
        """
        known = self._world.checks.revisions
        live = self._world.live()
        if not live or not known:
            return
        machine = self._world.rng.choice(live)
        process, sent, acked_at = machine.process, self._world.now, {**self.acked_at}
        if process is None or process.is_reading:
            return
        after = self._world.rng.choice(sorted(known)[-LATEST_VERSIONS:])
        query = {
            QUERY_AFTER: str(after),
            QUERY_WAIT_MS: "0",
            QUERY_CONFIRMED: "1",
            QUERY_DOCUMENT: "1",
            QUERY_MAX_AGE_MS: self._world.rng.choice(MAX_AGES_MS),
        }
        (route,) = process.watch.routes()
        process.is_reading = True
        try:
            response = route.handler(JsonRequest(route.path, query, {}))
        except SimulatedCrashError:
            return
        finally:
            process.is_reading = False
        self.reads += 1
        if response.status != HTTP_OK:
            return
        self.confirmed_reads += 1
        answer = WatchResponse.model_validate(response.body)
        assert not answer.retry_after_ms, "no free slot for the only read"
        # The clock of the process may be slow.
        since = sent - MAX_CLOCK_RATE * answer.confirmed_age_ms / MILLISECONDS
        before = max((one for one, at in acked_at.items() if at <= since), default=0)
        seen = known[after] if answer.view is None else answer.view.revision
        assert seen >= before, (
            f"{machine.node_id} confirmed {seen} from version {after}, not {before}"
        )
