"""What the parts of a node share, guarded by one lock."""

import json
import random
import threading
from collections.abc import Callable, Mapping, Sequence

from dogwoodspool_common import Address, Clock, log_event
from dogwoodspool_common.const import NEVER

from .const import LEADER, UNPINNED
from .errors import StorageCorruptError
from .messages import AppendRequest, PeerRequest, PeerResponse, SnapshotRequest
from .models import (
    Configuration,
    ConsensusSettings,
    Entry,
    EntryKind,
    Leadership,
    Role,
    Snapshot,
    Vote,
)
from .progress import PeerProgress, VoteRound
from .recovery import recover_configurations, recover_identity, recover_log
from .storage import LogStorage


class NodeState:
    """Role, term, log and peers of one node.

    Every method and attribute is used with ``changed`` held; it is notified
    whenever a thread of the node may have something new to do.
    """

    def __init__(
        self,
        *,
        node_id: str,
        address: Address,
        storage: LogStorage,
        clock: Clock,
        settings: ConsensusSettings,
        rng: random.Random,
        started_at: float | None = None,
    ) -> None:
        self.changed = threading.Condition(threading.RLock())
        self.node_id = node_id
        self.address = address
        self.storage = storage
        self.clock = clock
        self.settings = settings
        self.role = Role.FOLLOWER
        self.vote = Vote()
        self.leader_id: str | None = None
        self.leader_address: Address | None = None
        self.snapshot: Snapshot | None = None
        self.snapshot_to_restore: Snapshot | None = None
        self.commit_index = 0
        self.last_applied = 0
        self.applied_term = 0
        self.leader_since = NEVER
        self.first_own_index = 0
        self.progress: dict[str, PeerProgress] = {}
        self.round: VoteRound | None = None
        self.election_deadline = NEVER
        self.last_heard = NEVER
        self.read_round_at = NEVER
        self.has_yielded = False
        self.is_refused = False
        self.has_failed = False
        self.is_closed = False
        self.step_down_listeners: list[Callable[[], None]] = []
        self.earlier_election_listeners: list[Callable[[], None]] = []
        self._rng = rng
        self._started_at = started_at

    @property
    def term(self) -> int:
        """The newest term seen."""
        return self.vote.term

    @property
    def configuration(self) -> Configuration:
        """The newest configuration in the log."""
        return self.configurations.current

    @property
    def is_electable(self) -> bool:
        """Whether this node is a voter under the identity that is pinned."""
        member = self.configuration.members.get(self.node_id)
        if self.is_refused or self.has_failed or member is None:
            return False
        if member.incarnation == UNPINNED:
            return member.is_voter and self.identity.initial_voters is not None
        return member.is_voter and member.incarnation == self.identity.incarnation

    def load(self, initial_voters: Mapping[str, Address], bootstrap: bool) -> None:
        """Read the storage; make a new identity where there is none."""
        stored = self.storage.load()
        voters = initial_voters if bootstrap else None
        identity = recover_identity(self.storage, stored, self.node_id, voters)
        self.identity = identity
        self.vote = stored.vote
        self.snapshot = stored.snapshot
        self.log = recover_log(self.storage, stored)
        self.configurations = recover_configurations(identity, stored, self.log)
        if stored.snapshot is not None:
            self.commit_index = stored.snapshot.index
            self.snapshot_to_restore = stored.snapshot
        # A node that restarts may have heard from a leader right before it
        # stopped, so it refuses votes as if it had: else its vote could elect a
        # leader while the old one's lease still counts its answer. It heard
        # nothing after the start of this process.
        self.hear_leader()
        if self._started_at is not None:
            loading = max(0.0, self.clock.now() - self._started_at)
            self.last_heard -= loading
            self._spread_first_election(self.election_deadline - loading)
        self._recover_leader()

    def _spread_first_election(self, deadline: float) -> None:
        """Put the first election after a start at its time, but not at others' time.

        Loading takes longer than most election timeouts. Voters that start together
        would all find theirs past, ask in the same millisecond, and vote each for
        itself: a split vote, which costs another timeout.
        """
        spread = self._rng.uniform(0, self.settings.heartbeat_interval)
        self.election_deadline = max(deadline, self.clock.now() + spread)

    def _recover_leader(self) -> None:
        """Find who led the newest term, as far as the log tells.

        Only one node leads a term. Where that was this node, no other has a lease
        that it could disturb, so it asks for votes at once.
        """
        newest = self.log.last_noop()
        if newest is None or newest.term != self.term:
            return
        self.leader_id = json.loads(newest.data).get(LEADER)
        if self.leader_id == self.node_id:
            self.leader_id = None
            self.election_deadline = self.clock.now()

    def note_ended(self, peer: str) -> None:
        """Take in that another process answers at a member's address.

        Where that member is the leader that the log names and this node has heard
        none since it started, no lease is left that its votes could disturb: what it
        acknowledged before its start was for that process, which has ended.
        """
        is_unheard = self.leader_id == peer and self.leader_address is None
        if self.role is not Role.FOLLOWER or not is_unheard:
            return
        log_event("leader_ended", node=self.node_id, leader=peer, term=self.term)
        self.leader_id = None
        self.last_heard = NEVER
        self._spread_first_election(self.clock.now())
        self.changed.notify_all()
        for listener in self.earlier_election_listeners:
            listener()

    def hear_leader(self) -> None:
        """Remember that a leader is alive now and postpone the own election."""
        self.last_heard = self.clock.now()
        self.has_yielded = False
        self.postpone_election()

    def yield_election(self) -> None:
        """Leave the first try to a candidate that asked before this node did.

        Voters that learn together that nobody leads would stand within milliseconds
        of each other and split their votes, which costs half a timeout. Only once
        until a leader is heard: a candidate that cannot win keeps nobody from it.
        """
        if self.has_yielded:
            return
        self.has_yielded = True
        pause = self.settings.heartbeat_interval
        self.election_deadline = max(self.election_deadline, self.clock.now() + pause)

    def postpone_election(self) -> None:
        """Draw a new random election timeout from now."""
        low = self.settings.election_timeout_min
        high = self.settings.election_timeout_max
        self.election_deadline = self.clock.now() + self._rng.uniform(low, high)

    def retry_pre_vote(self) -> None:
        """Ask again soon when a pre-vote comes to nothing.

        Voters refuse while they may still hear a leader, and do not say for how
        long. A pre-vote changes no term, so asking often disturbs nobody; after a
        power loss a whole election timeout would pass between two rounds.
        """
        interval = self.settings.heartbeat_interval
        pause = self._rng.uniform(interval / 2, interval)
        self.election_deadline = self.clock.now() + pause

    def retry_election(self) -> None:
        """Ask again after a split vote, sooner than for a leader that fell silent."""
        shortest = self.settings.election_timeout_min
        pause = self._rng.uniform(shortest / 2, shortest)
        self.election_deadline = self.clock.now() + pause

    def follow(self, request: AppendRequest | SnapshotRequest) -> None:
        """Follow the leader that sent a message of a term not older than ours."""
        if request.term > self.term or self.role is not Role.FOLLOWER:
            self.become_follower(request.term)
        if self.leader_id != request.source or self.leader_address is None:
            self.changed.notify_all()
        self.leader_id = request.source
        self.leader_address = Address.parse(request.leader_address)
        self.hear_leader()

    def truncate(self, index: int) -> None:
        """Drop the entries from ``index`` on, which no quorum can hold.

        Raises:
            StorageCorruptError: a committed entry would be dropped, which only
                files that lost something can cause.
        """
        if index <= self.commit_index:
            raise StorageCorruptError(f"committed entry {index} differs from leader's")
        self.log.truncate(index)
        self.configurations.truncate(index)

    def take_entries(self, entries: Sequence[Entry]) -> None:
        """Append a leader's entries and make them durable."""
        self.log.append(entries)
        self.configurations.add(entries)
        self.log.sync()
        self.changed.notify_all()

    def save_vote(self, term: int, voted_for: str | None) -> None:
        """Make a term and vote durable, then use them."""
        vote = Vote(term, voted_for)
        self.storage.save_vote(vote)
        self.vote = vote

    def become_follower(self, term: int) -> None:
        """Follow, in a newer term where there is one."""
        if term > self.term:
            self.save_vote(term, None)
            self.leader_id = self.leader_address = None
        was_leader = self.role is Role.LEADER
        self.role = Role.FOLLOWER
        self.round = None
        if was_leader:
            self.leader_id = self.leader_address = None
            self.postpone_election()
            log_event("stepped_down", node=self.node_id, term=self.term)
            for listener in self.step_down_listeners:
                listener()
        self.changed.notify_all()

    def become_leader(self, incarnations: Mapping[str, str]) -> None:
        """Lead the current term and append its first entries.

        Args:
            incarnations: those of the voters that gave their vote, to be
                pinned where the configuration has none yet.
        """
        self.role = Role.LEADER
        self.round = None
        self.leader_id, self.leader_address = self.node_id, self.address
        self.leader_since = self.clock.now()
        self.progress = {}
        self.first_own_index = self.log.last_index + 1
        log_event("became_leader", node=self.node_id, term=self.term)
        self.append_own(EntryKind.NOOP, [json.dumps({LEADER: self.node_id})])
        self.pin(incarnations)
        self.changed.notify_all()

    def append_own(self, kind: EntryKind, data: Sequence[str]) -> tuple[Entry, ...]:
        """Append entries of the leader's term; the log writer syncs them."""
        first = self.log.last_index + 1
        entries = tuple(
            Entry(index, self.term, kind, text)
            for index, text in enumerate(data, start=first)
        )
        self.log.append(entries)
        self.configurations.add(entries)
        self.changed.notify_all()
        return entries

    def append_configuration(self, configuration: Configuration) -> Entry:
        """Append a configuration, which is in force at once."""
        text = json.dumps(configuration.to_json(), separators=(",", ":"))
        return self.append_own(EntryKind.CONFIGURATION, [text])[0]

    def pin(self, incarnations: Mapping[str, str]) -> None:
        """Pin the incarnations of members that have none yet."""
        pinned = self.configuration.with_pins(incarnations)
        if pinned != self.configuration:
            self.append_configuration(pinned)

    def progress_of(self, peer: str) -> PeerProgress:
        """Return the leader's record of a peer, new where there is none.

        Most peers hold all that came before this leadership, so that the first
        message brings them the leader's first entry and can commit it.
        """
        if peer not in self.progress:
            self.progress[peer] = PeerProgress(self.first_own_index, self.clock.now())
        return self.progress[peer]

    def counts_answer(
        self, peer: str, request: PeerRequest, response: PeerResponse, sent_at: float
    ) -> bool:
        """Note that a peer follows; False for an answer that comes too late.

        An answer may arrive after this node has lost its place, or even after
        it leads again in another term; it then proves nothing.
        """
        if response.term > self.term:
            self.become_follower(response.term)
            return False
        if self.role is not Role.LEADER or self.term != request.term:
            return False
        self.pin({peer: response.incarnation})
        progress = self.progress_of(peer)
        progress.acked_at = max(progress.acked_at, sent_at)
        return True

    def advance_commit(self) -> None:
        """Commit what a quorum holds durably, if it is of the leader's own term.

        An entry of an older term is never committed by counting: a later leader
        could still replace it, although a quorum holds it.
        """
        index = int(self._quorum_value(self._match_index))
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index
            self.changed.notify_all()

    def quorum_contact(self) -> float:
        """Return the newest time at which a quorum was still following."""
        return self._quorum_value(self._acked_at)

    def lease_end(self) -> float:
        """Return the end of the leader's lease on this node's clock.

        It counts from when the messages were sent that a quorum answered. Each
        of those voters refuses votes for the minimum election timeout from
        when it received the message, which is later, so until the lease ends
        no other node can have been elected. A leader that was cut off or
        frozen finds its lease over when it looks at the clock.
        """
        return self.quorum_contact() + self.settings.lease

    def leadership(self) -> Leadership | None:
        """Return the right to answer as leader now, if there is one."""
        if self.role is not Role.LEADER or self.has_failed or self.is_closed:
            return None
        valid_until = self.lease_end()
        if self.clock.now() >= valid_until or self.last_applied < self.first_own_index:
            return None
        return Leadership(self.term, self.leader_since, valid_until)

    def fail(self, error: Exception) -> None:
        """Take the node out of the cluster for good.

        A disk that failed to sync may have lost what this node answered for.
        Going on would count a voter that remembers nothing, so it neither votes
        nor answers until an operator replaces it under a new id.
        """
        if self.has_failed:
            return
        self.has_failed = True
        log_event("node_failed", level="ERROR", node=self.node_id, error=error)
        self.become_follower(self.term)

    def _quorum_value(self, value_of: Callable[[str], float]) -> float:
        configuration = self.configuration
        values = sorted(map(value_of, configuration.voters), reverse=True)
        return values[configuration.quorum - 1] if values else NEVER

    def _match_index(self, name: str) -> float:
        if name == self.node_id:
            return self.log.durable_index
        progress = self.progress.get(name)
        return progress.match_index if progress is not None else 0

    def _acked_at(self, name: str) -> float:
        if name == self.node_id:
            return self.clock.now()
        progress = self.progress.get(name)
        return progress.acked_at if progress is not None else NEVER
