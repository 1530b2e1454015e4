"""State shared by the components of a node, guarded by one lock."""

import json
import random
import threading
from collections.abc import Callable, Mapping, Sequence

from dogwoodspool_common import Address, Clock, log_event
from dogwoodspool_common.const import NEVER

from .const import NOOP_LEADER_KEY, UNPINNED
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

    Callers of every method and attribute hold ``changed``, which is notified
    whenever a thread of the node may have new work.
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
        self.last_leader_contact = NEVER
        self.quorum_check_at = NEVER
        self.has_deferred = False
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
        """Whether this node is a voter with the pinned incarnation.

        At bootstrap, when none is pinned yet, any initial voter is electable.
        """
        member = self.configuration.members.get(self.node_id)
        if self.is_refused or self.has_failed or member is None:
            return False
        if member.incarnation == UNPINNED:
            return member.is_voter and self.identity.initial_voters is not None
        return member.is_voter and member.incarnation == self.identity.incarnation

    def load(self, initial_voters: Mapping[str, Address], bootstrap: bool) -> None:
        """Load the storage; create an identity if there is none."""
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
        # A restarted node may have heard from a leader right before it stopped, so it
        # refuses votes as if it had. Otherwise its vote could elect a leader while the
        # lease of the old one still counts its response. It cannot have heard anything
        # since this process started, so the time of loading is subtracted.
        self.record_leader_contact()
        if self._started_at is not None:
            loading = max(0.0, self.clock.now() - self._started_at)
            self.last_leader_contact -= loading
            self._schedule_first_election(self.election_deadline - loading)
        self._recover_leader()
        self._log_loaded()

    def _log_loaded(self) -> None:
        log_event(
            "state_loaded",
            node=self.node_id,
            incarnation=self.identity.incarnation,
            term=self.term,
            voted_for=self.vote.voted_for,
            snapshot=self.commit_index,
            base=self.log.base.index,
            last=f"{self.log.last_term}.{self.log.last_index}",
            durable=self.log.durable_index,
            voters=",".join(sorted(self.configuration.voters)),
        )

    def _schedule_first_election(self, deadline: float) -> None:
        """Schedule the first election after a start, with random jitter if overdue.

        Loading takes longer than most election timeouts. Without the jitter, voters
        that start together would all be overdue, request votes in the same millisecond
        and each vote for itself: a split vote, which costs another timeout.
        """
        spread = self._rng.uniform(0, self.settings.heartbeat_interval)
        self.election_deadline = max(deadline, self.clock.now() + spread)

    def _recover_leader(self) -> None:
        """Determine the leader of the newest term from the log, if it is known there.

        Only one node leads a term. If that was this node, no other node can hold a
        lease, so it requests votes at once.
        """
        newest = self.log.last_noop()
        if newest is None or newest.term != self.term:
            return
        self.leader_id = json.loads(newest.data).get(NOOP_LEADER_KEY)
        if self.leader_id == self.node_id:
            self.leader_id = None
            self.election_deadline = self.clock.now()

    def record_process_ended(self, peer: str) -> None:
        """Record that another process answers at a member's address.

        If the log names that member as leader and this node has heard from no leader
        since it started, its votes cannot violate a lease any more: what it
        acknowledged before its start was for that process, which has ended.
        """
        is_known_from_log = self.leader_id == peer and self.leader_address is None
        if self.role is not Role.FOLLOWER or not is_known_from_log:
            return
        log_event("leader_ended", node=self.node_id, leader=peer, term=self.term)
        self.leader_id = None
        self.last_leader_contact = NEVER
        self._schedule_first_election(self.clock.now())
        self.changed.notify_all()
        for listener in self.earlier_election_listeners:
            listener()

    def record_leader_contact(self) -> None:
        """Record contact with a live leader and postpone this node's election."""
        self.last_leader_contact = self.clock.now()
        self.has_deferred = False
        self.postpone_election()

    def defer_to_candidate(self) -> None:
        """Delay this node's election in favour of a candidate that asked first.

        Voters that detect the loss of the leader together would start elections within
        milliseconds of each other and split their votes, which costs half a timeout.
        This happens only once until a leader is heard, so that a candidate that cannot
        win does not block other candidates.
        """
        if self.has_deferred:
            return
        self.has_deferred = True
        pause = self.settings.heartbeat_interval
        self.election_deadline = max(self.election_deadline, self.clock.now() + pause)

    def postpone_election(self) -> None:
        """Restart the election timer with a new random timeout."""
        low = self.settings.election_timeout_min
        high = self.settings.election_timeout_max
        self.election_deadline = self.clock.now() + self._rng.uniform(low, high)

    def schedule_pre_vote_retry(self) -> None:
        """Schedule the next pre-vote soon, in case this one fails.

        Voters refuse while they may still have a leader, and do not say for how long.
        A pre-vote changes no term, so frequent retries do no harm; without them a
        whole election timeout would pass between two rounds after a power loss.
        """
        interval = self.settings.heartbeat_interval
        pause = self._rng.uniform(interval / 2, interval)
        self.election_deadline = self.clock.now() + pause

    def schedule_election_retry(self) -> None:
        """Schedule the retry after a split vote.

        It comes sooner than the election after a leader has become silent.
        """
        shortest = self.settings.election_timeout_min
        pause = self._rng.uniform(shortest / 2, shortest)
        self.election_deadline = self.clock.now() + pause

    def follow(self, request: AppendRequest | SnapshotRequest) -> None:
        """Follow the leader that sent a message of the current or a newer term."""
        if request.term > self.term or self.role is not Role.FOLLOWER:
            self.become_follower(request.term)
        if self.leader_id != request.source or self.leader_address is None:
            self.changed.notify_all()
        self.leader_id = request.source
        self.leader_address = Address.parse(request.leader_address)
        self.record_leader_contact()

    def truncate(self, index: int) -> None:
        """Drop the uncommitted entries from ``index`` on.

        Raises:
            StorageCorruptError: a committed entry would be dropped, which happens only
                after the files of a node have lost data.
        """
        if index <= self.commit_index:
            raise StorageCorruptError(
                f"leader would replace entry {index}, but entries up to "
                f"{self.commit_index} are committed"
            )
        self.log.truncate(index)
        self.configurations.truncate(index)

    def append_from_leader(self, entries: Sequence[Entry]) -> None:
        """Append entries received from the leader and make them durable."""
        self.log.append(entries)
        self.configurations.add(entries)
        self.log.sync()
        self.changed.notify_all()

    def save_vote(self, term: int, voted_for: str | None) -> None:
        """Make a term and vote durable before they take effect."""
        vote = Vote(term, voted_for)
        self.storage.save_vote(vote)
        self.vote = vote

    def become_follower(self, term: int) -> None:
        """Become a follower, in the given term if it is newer."""
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
        """Become the leader of the current term and append its first entries.

        Args:
            incarnations: incarnations of the voters that granted their vote, by node
                id, to be pinned where the configuration has none yet.
        """
        self.role = Role.LEADER
        self.round = None
        self.leader_id, self.leader_address = self.node_id, self.address
        self.leader_since = self.clock.now()
        self.progress = {}
        self.first_own_index = self.log.last_index + 1
        log_event("became_leader", node=self.node_id, term=self.term)
        self.append_as_leader(
            EntryKind.NOOP, [json.dumps({NOOP_LEADER_KEY: self.node_id})]
        )
        self.pin(incarnations)
        self.changed.notify_all()

    def append_as_leader(
        self, kind: EntryKind, data: Sequence[str]
    ) -> tuple[Entry, ...]:
        """Append entries in the term of this leader; the log writer syncs them."""
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
        """Append a configuration, which takes effect immediately."""
        text = json.dumps(configuration.to_json(), separators=(",", ":"))
        return self.append_as_leader(EntryKind.CONFIGURATION, [text])[0]

    def pin(self, incarnations: Mapping[str, str]) -> None:
        """Pin the incarnations of members that have none yet."""
        pinned = self.configuration.with_pins(incarnations)
        if pinned != self.configuration:
            self.append_configuration(pinned)

    def progress_of(self, peer: str) -> PeerProgress:
        """Return the leader's progress record of a peer, creating it if needed.

        Replication starts at the first entry of the leader's term: most peers hold all
        earlier entries, so the first message can already commit that entry.
        """
        if peer not in self.progress:
            self.progress[peer] = PeerProgress(self.first_own_index, self.clock.now())
        return self.progress[peer]

    def record_response(
        self, peer: str, request: PeerRequest, response: PeerResponse, sent_at: float
    ) -> bool:
        """Record a peer's response; return False if it must be ignored.

        A response may arrive after this node has lost its leadership, or even after it
        leads again in another term; it then says nothing about the current term.
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
        """Commit the entries that a quorum holds durably.

        The last one must be of the leader's own term. An entry of an older term is
        never committed by counting replicas: a later leader could still replace it,
        although a quorum holds it.
        """
        index = int(self._quorum_value(self._match_index))
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index
            self.changed.notify_all()

    def holders(self, index: int) -> tuple[str, ...]:
        """Return the voters that hold an entry durably, as far as this leader knows."""
        voters = sorted(self.configuration.voters)
        return tuple(name for name in voters if self._match_index(name) >= index)

    def quorum_contact(self) -> float:
        """Return the latest time at which a quorum was known to follow this leader."""
        return self._quorum_value(self._acked_at)

    def lease_end(self) -> float:
        """Return the end of the leader's lease on this node's clock.

        The lease starts when the messages that a quorum answered were sent. Each of
        those voters refuses votes for the minimum election timeout from when it
        received the message, which is later, so no other node can be elected before
        the lease ends. A leader that was partitioned or paused finds its lease expired
        when it checks the clock.
        """
        return self.quorum_contact() + self.settings.lease

    def leadership(self) -> Leadership | None:
        """Return the current right to answer as leader; None if there is none.

        A leader has it only once an entry of its own term is applied.
        """
        if self.role is not Role.LEADER or self.has_failed or self.is_closed:
            return None
        valid_until = self.lease_end()
        if self.clock.now() >= valid_until or self.last_applied < self.first_own_index:
            return None
        return Leadership(self.term, self.leader_since, valid_until)

    def fail(self, error: Exception) -> None:
        """Stop participating in the cluster permanently.

        A disk that failed to sync may have lost entries and votes that this node
        acknowledged. It must not count as a voter any more, so it neither votes nor
        responds until an operator replaces it under a new id.
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
