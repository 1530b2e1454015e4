"""Elections: timeouts, pre-votes and votes."""

from dogwoodspool_common import log_event, log_rate_limited

from .const import PATH_VOTE, UNPINNED
from .identities import check_request
from .messages import VoteRequest, VoteResponse
from .models import Role, VoteRefusal
from .peers import PeerCaller
from .progress import VoteRound
from .state import NodeState


class Elections:
    """Start elections, request votes from peers and answer their vote requests."""

    def __init__(self, state: NodeState, caller: PeerCaller) -> None:
        self._state = state
        self._caller = caller

    def tick(self) -> None:
        """Start an election that is due, or step down when the quorum was lost."""
        state = self._state
        with state.changed:
            now = state.clock.now()
            if state.role is Role.LEADER:
                self._check_quorum(now)
            elif now >= state.election_deadline and state.is_electable:
                self._start_round(is_pre_vote=True)

    def should_request_vote(self, peer: str) -> bool:
        """Return whether a peer has yet to be asked for its vote in this round."""
        current = self._state.round
        if current is None or peer in current.asked:
            return False
        return peer in self._state.configuration.voters

    def request_vote(self, peer: str) -> None:
        """Request the vote of one peer in the current round."""
        state = self._state
        with state.changed:
            current = state.round
            if current is None or not self.should_request_vote(peer):
                return
            current.asked.add(peer)
            request = VoteRequest(
                **self._caller.header(peer, current.term),
                last_index=state.log.last_index,
                last_term=state.log.last_term,
                is_pre_vote=current.is_pre_vote,
            )
        response = self._caller.call(peer, PATH_VOTE, request, VoteResponse)
        if response is None:
            return
        with state.changed:
            if response.term > state.term:
                state.become_follower(response.term)
            if response.is_granted and state.round is current:
                current.granted[peer] = response.incarnation
                self._count_votes(current)

    def handle_vote(self, request: VoteRequest) -> VoteResponse:
        """Answer a vote request of a candidate."""
        state = self._state
        with state.changed:
            check_request(state, request)
            refusal = self._decide_vote(request)
            if refusal is not None:
                self._log_refusal(request, refusal)
            return VoteResponse(
                term=state.term,
                incarnation=state.identity.incarnation,
                is_granted=refusal is None,
            )

    def _check_quorum(self, now: float) -> None:
        # Without a quorum of followers proposals would wait without ever being
        # committed. Stepping down refuses them at once.
        state = self._state
        contact = max(state.quorum_contact(), state.leader_since)
        if now - contact >= state.settings.election_timeout_max:
            log_event("quorum_lost", node=state.node_id, term=state.term)
            state.become_follower(state.term)
            return
        is_committed = state.configurations.current_index <= state.commit_index
        if is_committed and state.node_id not in state.configuration.members:
            log_event("left_cluster", node=state.node_id, term=state.term)
            state.become_follower(state.term)

    def _start_round(self, *, is_pre_vote: bool) -> None:
        state = self._state
        state.leader_id = state.leader_address = None
        term = state.term + 1
        if not is_pre_vote:
            state.save_vote(term, state.identity.incarnation)
        state.role = Role.CANDIDATE
        granted = {state.node_id: state.identity.incarnation}
        state.round = VoteRound(term, is_pre_vote, granted)
        log_event(
            "election_began", node=state.node_id, term=term, is_pre_vote=is_pre_vote
        )
        if is_pre_vote:
            state.schedule_pre_vote_retry()
        else:
            state.schedule_election_retry()
        state.changed.notify_all()
        self._count_votes(state.round)

    def _count_votes(self, current: VoteRound) -> None:
        state = self._state
        voters = state.configuration.voters
        if len(voters & current.granted.keys()) < state.configuration.quorum:
            return
        if current.is_pre_vote:
            self._start_round(is_pre_vote=False)
        else:
            state.become_leader(current.granted)

    def _decide_vote(self, request: VoteRequest) -> VoteRefusal | None:
        """Grant the vote and return None, or return why it is refused."""
        state = self._state
        if not self._may_vote(request):
            return VoteRefusal.NOT_PINNED
        if self._has_live_leader(request.source):
            return VoteRefusal.HEARS_LEADER
        is_current = (request.last_term, request.last_index) >= (
            state.log.last_term,
            state.log.last_index,
        )
        if request.is_pre_vote:
            if request.term <= state.term:
                return VoteRefusal.OLD_TERM
            if not is_current:
                return VoteRefusal.LOG_BEHIND
            state.defer_to_candidate()
            return None
        if request.term > state.term:
            state.become_follower(request.term)
        if request.term < state.term:
            return VoteRefusal.OLD_TERM
        if not is_current:
            return VoteRefusal.LOG_BEHIND
        if state.vote.voted_for not in (None, request.source_incarnation):
            return VoteRefusal.VOTED_FOR_ANOTHER
        state.save_vote(request.term, request.source_incarnation)
        state.postpone_election()
        return None

    def _log_refusal(self, request: VoteRequest, refusal: VoteRefusal) -> None:
        state = self._state
        log_rate_limited(
            "vote_refused",
            node=state.node_id,
            candidate=request.source,
            reason=refusal,
            is_pre_vote=request.is_pre_vote,
            term=state.term,
            candidate_term=request.term,
            last=f"{state.log.last_term}.{state.log.last_index}",
            candidate_last=f"{request.last_term}.{request.last_index}",
        )

    def _may_vote(self, request: VoteRequest) -> bool:
        # A voter that lost its files has lost its votes and entries too. It then has
        # a new incarnation that no configuration pins. So it may vote only if the
        # candidate's configuration pins its present incarnation, or while the cluster
        # is being bootstrapped and no incarnation is pinned yet.
        state = self._state
        if state.is_refused:
            return False
        if request.target_incarnation == UNPINNED:
            own = state.configuration.members.get(state.node_id)
            is_unpinned = own is not None and own.incarnation == UNPINNED
            return is_unpinned and state.identity.initial_voters is not None
        return True

    def _has_live_leader(self, candidate: str) -> bool:
        # The safety of the leader's lease depends on this refusal: see
        # NodeState.lease_end. It also prevents a node that was partitioned from
        # disrupting a healthy leader.
        state = self._state
        now = state.clock.now()
        if state.role is Role.LEADER:
            return now < state.lease_end()
        # A candidate that led the newest term has stepped down to ask for votes in a
        # later one, and no other node can have led that term.
        if state.leader_id == candidate:
            return False
        return now - state.last_leader_contact < state.settings.election_timeout_min
