"""Elections: time-outs, pre-votes and votes."""

from dogwoodspool_common import log_event, log_rate_limited

from .const import PATH_VOTE, UNPINNED
from .identities import check_request
from .messages import VoteRequest, VoteResponse
from .models import Role, VoteRefusal
from .peers import PeerCaller
from .progress import VoteRound
from .state import NodeState


class Elections:
    """Start elections, ask peers for votes and answer when they ask."""

    def __init__(self, state: NodeState, caller: PeerCaller) -> None:
        self._state = state
        self._caller = caller

    def tick(self) -> None:
        """Look at the clock: begin an election, or give up a lost leadership."""
        state = self._state
        with state.changed:
            now = state.clock.now()
            if state.role is Role.LEADER:
                self._check_quorum(now)
            elif now >= state.election_deadline and state.is_electable:
                self._begin(is_pre_vote=True)

    def wants_vote(self, peer: str) -> bool:
        """Tell whether a peer is to be asked in the current round."""
        current = self._state.round
        if current is None or peer in current.asked:
            return False
        return peer in self._state.configuration.voters

    def ask(self, peer: str) -> None:
        """Ask one peer for its vote in the current round."""
        state = self._state
        with state.changed:
            current = state.round
            if current is None or not self.wants_vote(peer):
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
                self._count(current)

    def handle_vote(self, request: VoteRequest) -> VoteResponse:
        """Answer a candidate."""
        state = self._state
        with state.changed:
            check_request(state, request)
            refusal = self._decide(request)
            if refusal is not None:
                self._log_refusal(request, refusal)
            return VoteResponse(
                term=state.term,
                incarnation=state.identity.incarnation,
                is_granted=refusal is None,
            )

    def _check_quorum(self, now: float) -> None:
        # A leader that a quorum no longer follows would let proposals wait for
        # nothing; callers are better served by a refusal at once.
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

    def _begin(self, *, is_pre_vote: bool) -> None:
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
            state.retry_pre_vote()
        else:
            state.retry_election()
        state.changed.notify_all()
        self._count(state.round)

    def _count(self, current: VoteRound) -> None:
        state = self._state
        voters = state.configuration.voters
        if len(voters & current.granted.keys()) < state.configuration.quorum:
            return
        if current.is_pre_vote:
            self._begin(is_pre_vote=False)
        else:
            state.become_leader(current.granted)

    def _decide(self, request: VoteRequest) -> VoteRefusal | None:
        """Give the vote, or tell why not."""
        state = self._state
        if not self._may_vote(request):
            return VoteRefusal.NOT_PINNED
        if self._hears_leader(request.source):
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
            state.yield_election()
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
        # A voter that lost its files has forgotten its votes and entries. It
        # shows by an incarnation that no configuration pins, so it may vote
        # only when the candidate's configuration pins this very incarnation,
        # or at the birth of the cluster, when none is pinned yet.
        state = self._state
        if state.is_refused:
            return False
        if request.target_incarnation == UNPINNED:
            own = state.configuration.members.get(state.node_id)
            is_unpinned = own is not None and own.incarnation == UNPINNED
            return is_unpinned and state.identity.initial_voters is not None
        return True

    def _hears_leader(self, candidate: str) -> bool:
        # The leader's lease rests on this refusal: see NodeState.lease_end. It
        # also keeps a node that was cut off from disturbing a healthy leader.
        state = self._state
        # Who led the newest term itself asks for votes in a later one: it has given
        # up its place, and nobody else can have had it.
        now = state.clock.now()
        if state.role is Role.LEADER:
            return now < state.lease_end()
        if state.leader_id == candidate:
            return False
        return now - state.last_heard < state.settings.election_timeout_min
