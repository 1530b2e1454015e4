"""A node of the replicated log."""

import random
from collections.abc import Callable, Mapping
from typing import Any

from dogwoodspool_common import (
    Address,
    Clock,
    JsonRequest,
    JsonResponse,
    Route,
    error_response,
)
from dogwoodspool_common.const import CODE_NOT_LEADER

from .applier import Applier, StateMachine
from .confirmations import Confirmations
from .const import (
    CODE_NOT_CONFIRMED,
    CODE_STORAGE_FAILED,
    PATH_APPEND,
    PATH_READ,
    PATH_SNAPSHOT,
    PATH_VOTE,
)
from .diagnostics import ConsensusDiagnostics, build_diagnostics
from .election import Elections
from .errors import (
    IdentityRefusedError,
    NotConfirmedError,
    NotLeaderError,
    StorageError,
)
from .leader_probe import LeaderProbe
from .membership import Membership
from .messages import (
    AppendRequest,
    PeerResponse,
    ReadRequest,
    SnapshotRequest,
    VoteRequest,
)
from .models import ConsensusSettings, Leadership, Role
from .peers import PeerCaller
from .proposals import Proposal, Proposals
from .reads import Reads
from .replication import Replication
from .snapshots import SnapshotReceiver, SnapshotSender
from .state import NodeState
from .storage import LogStorage
from .threads import NodeSteps, NodeThreads
from .transport import PeerTransport

HTTP_CONFLICT = 409
HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503


class ConsensusNode:
    """Replicate commands to a state machine on several nodes.

    Args:
        node_id: name of this node; it must not be reused once the node was removed or
            has lost its files.
        address: address at which the peers reach the routes of this node.
        initial_voters: the initial voters, including this node; used only with
            ``bootstrap`` and only while the storage is empty.
        bootstrap: whether the operator is creating the cluster now. It is set once,
            for each of the initial voters. Without it a node with an empty storage
            waits, without voting, until ``add_voter`` names it.
        started_at: clock time before which this process did not run; None for the
            time at which it loads its storage.

    Example:
        >>> node.set_up()
        >>> node.propose({"set": "x", "to": 1}, timeout=1.0)
    """

    def __init__(
        self,
        *,
        node_id: str,
        address: Address,
        storage: LogStorage,
        machine: StateMachine,
        transport: PeerTransport,
        clock: Clock,
        settings: ConsensusSettings,
        initial_voters: Mapping[str, Address],
        rng: random.Random,
        bootstrap: bool = False,
        started_at: float | None = None,
    ) -> None:
        if bootstrap and node_id not in initial_voters:
            raise ValueError(f"{node_id} is not one of the initial voters")
        self._initial_voters = initial_voters
        self._bootstrap = bootstrap
        self._state = NodeState(
            node_id=node_id,
            address=address,
            storage=storage,
            clock=clock,
            settings=settings,
            rng=rng,
            started_at=started_at,
        )
        state = self._state
        caller = PeerCaller(state, transport)
        self._elections = Elections(state, caller)
        self._leader_probe = LeaderProbe(state, caller)
        self._receiver = SnapshotReceiver(state)
        self._confirmations = Confirmations(state)
        self._replication = Replication(
            state, caller, SnapshotSender(state, caller), self._confirmations
        )
        self._proposals = Proposals(state)
        self._applier = Applier(state, machine, self._proposals)
        self._reads = Reads(state, caller)
        self._membership = Membership(state)
        self._threads = NodeThreads(
            state,
            NodeSteps(
                self.tick, self.step_peer, self.write_pending, self.apply_committed
            ),
            peer_due=self._peer_due,
            has_proposals=lambda: self._proposals.has_work,
            has_committed=lambda: self._applier.has_work,
        )

    @property
    def node_id(self) -> str:
        """Name of this node."""
        return self._state.node_id

    @property
    def last_applied(self) -> int:
        """Index of the last entry applied to the state machine."""
        with self._state.changed:
            return self._state.last_applied

    @property
    def is_following(self) -> bool:
        """Whether this node leads with a lease or is up to date with a leader.

        The leader cannot have had a successor when this node received its message; see
        ``Confirmations``.
        """
        with self._state.changed:
            return self._confirmations.is_up_to_date

    @property
    def leader_address(self) -> Address | None:
        """Address of the current leader, which may be this node; None if unknown."""
        with self._state.changed:
            return self._state.leader_address

    def set_up(self) -> None:
        """Load the files and start the threads.

        Raises:
            StorageCorruptError: the files are corrupt or inconsistent.
        """
        self.load()
        self._threads.set_up()

    def unload(self) -> None:
        """Stop all threads and close the files."""
        state = self._state
        with state.changed:
            state.is_closed = True
            state.become_follower(state.term)
            self._proposals.end()
        self._threads.unload()
        state.storage.close()

    def propose(self, command: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Append a command and return the result of ``StateMachine.apply``.

        Raises:
            NotLeaderError: the command is not committed and never will be.
            OutcomeUnknownError: it was appended and may or may not be committed.
            ProposalRefusedError: it is too large or cannot be encoded as JSON.
        """
        return self._proposals.propose(command, timeout)

    def submit(self, command: dict[str, Any]) -> Proposal:
        """Queue a command without waiting for its outcome.

        The errors of ``propose`` are raised here or by ``Proposal.result``.
        """
        return self._proposals.submit(command)

    def leadership(self) -> Leadership | None:
        """Return this node's current right to answer as leader; None if it has none."""
        with self._state.changed:
            return self._state.leadership()

    def holders(self, index: int) -> tuple[str, ...]:
        """Return the voters that hold an entry durably; meaningful on the leader."""
        with self._state.changed:
            return self._state.holders(index)

    def confirm_read(self, timeout: float) -> int:
        """Return an applied index that covers all proposals answered before this call.

        Works on every node.

        Raises:
            NotConfirmedError: no leader confirmed it with a quorum within ``timeout``
                seconds, or it was not applied by then.
        """
        return self._reads.confirm_read(timeout)

    def wait_applied(self, after: int, timeout: float) -> int:
        """Wait until an entry after ``after`` is applied or ``timeout`` seconds pass.

        Returns the last applied index.
        """
        return self._reads.wait_applied(after, timeout)

    def add_voter(self, node_id: str, address: Address, timeout: float) -> None:
        """Add a node as a learner, then make it a voter; see ``Membership``."""
        self._membership.add_voter(node_id, address, timeout)

    def add_learner(
        self, node_id: str, address: Address, failure_domain: str, timeout: float
    ) -> None:
        """Add a non-voting member; see ``Membership``."""
        self._membership.add_learner(node_id, address, failure_domain, timeout)

    def demote_voter(self, node_id: str, timeout: float) -> None:
        """Turn a voter into a learner; see ``Membership``."""
        self._membership.demote_voter(node_id, timeout)

    def remove_voter(self, node_id: str, timeout: float) -> None:
        """Remove a voter or learner; see ``Membership``."""
        self._membership.remove_voter(node_id, timeout)

    def diagnostics(self) -> ConsensusDiagnostics:
        """Return diagnostics of the node for operators."""
        return build_diagnostics(self._state)

    def routes(self) -> list[Route]:
        """Return the HTTP routes that the peers call."""
        paths = (PATH_VOTE, PATH_APPEND, PATH_SNAPSHOT, PATH_READ)
        return [Route("POST", path, self._respond) for path in paths]

    def load(self) -> None:
        """Load the files and restore the state machine without starting threads."""
        with self._state.changed:
            self._state.load(self._initial_voters, self._bootstrap)
        self._applier.apply_committed()

    def tick(self) -> None:
        """Run the timer step of elections once."""
        self._guard(self._elections.tick)

    def step_peer(self, peer: str) -> None:
        """Send one message to a peer if one is due."""
        self._guard(lambda: self._step_peer(peer))

    def write_pending(self) -> None:
        """Append and sync one batch of proposals."""
        self._guard(self._proposals.write_pending)

    def apply_committed(self) -> None:
        """Apply one batch of committed entries."""
        self._guard(self._applier.apply_committed)

    def handle(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Answer one request of a peer.

        Raises:
            IdentityRefusedError: sender or receiver is not the pinned member.
            NotLeaderError: a read point was requested, but this node is not the
                leader.
            NotConfirmedError: this node leads, but cannot confirm a read point now.
            StorageError: the files of this node failed or are inconsistent; the
                node counts as failed.
        """
        try:
            return self._dispatch(path, body).model_dump(mode="json")
        except StorageError as error:
            self._fail(error)
            raise

    def _dispatch(self, path: str, body: dict[str, Any]) -> PeerResponse:
        if path == PATH_VOTE:
            return self._elections.handle_vote(VoteRequest.model_validate(body))
        if path == PATH_APPEND:
            return self._replication.handle_append(AppendRequest.model_validate(body))
        if path == PATH_SNAPSHOT:
            return self._receiver.handle_snapshot(SnapshotRequest.model_validate(body))
        return self._reads.handle_read(ReadRequest.model_validate(body))

    def _respond(self, request: JsonRequest) -> JsonResponse:
        try:
            return JsonResponse(self.handle(request.path, request.body))
        except IdentityRefusedError as error:
            return error_response(HTTP_CONFLICT, error.code, str(error))
        except NotLeaderError as error:
            return error_response(HTTP_MISDIRECTED, CODE_NOT_LEADER, str(error))
        except NotConfirmedError as error:
            return error_response(HTTP_UNAVAILABLE, CODE_NOT_CONFIRMED, str(error))
        except StorageError as error:
            return error_response(HTTP_UNAVAILABLE, CODE_STORAGE_FAILED, str(error))

    def _guard(self, step: Callable[[], None]) -> None:
        try:
            step()
        except StorageError as error:
            self._fail(error)

    def _fail(self, error: StorageError) -> None:
        with self._state.changed:
            if not self._state.is_closed:
                self._state.fail(error)

    def _step_peer(self, peer: str) -> None:
        state = self._state
        with state.changed:
            should_request_vote = self._elections.should_request_vote(peer)
            is_due = self._peer_due(peer) <= state.clock.now()
            is_leader = state.role is Role.LEADER
        if should_request_vote:
            self._elections.request_vote(peer)
        elif is_due and is_leader:
            self._replication.send(peer)
        elif is_due:
            self._leader_probe.send(peer)

    def _peer_due(self, peer: str) -> float:
        state = self._state
        if state.role is Role.LEADER:
            return self._replication.next_send(peer)
        if self._elections.should_request_vote(peer):
            return state.clock.now()
        return self._leader_probe.next_send(peer)
