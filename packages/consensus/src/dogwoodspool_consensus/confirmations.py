"""Confirmations by a leader that its followers are up to date."""

from dataclasses import dataclass

from .const import LEARNER_HEARTBEAT_FACTOR
from .messages import AppendRequest
from .models import Role
from .state import NodeState


@dataclass(frozen=True, slots=True)
class Confirmation:
    """A leader's statement that it has no successor yet.

    Attributes:
        commit_index: last entry that was committed when the leader sent it.
        valid_until: ``clock.now()`` until which it justifies the claim. Another node
            may lead some heartbeats earlier.
    """

    term: int
    commit_index: int
    valid_until: float


class Confirmations:
    """Tell followers until when their leader cannot have a successor.

    A proxy stays with a control process that claims to be up to date. A message of a
    leader alone does not justify the claim: a leader that is cut off from its quorum
    sends messages until it steps down, while another one already acknowledges
    changes. Each append message therefore states for how long the leader's quorum
    still refuses its votes to others. Chunks of a snapshot state nothing: the append
    message that follows the last one does.

    This is independent of ``NodeState.last_leader_contact``, which protects leases:
    that time must include every message, and a message that this node may have
    received before it was restarted. The claim is weaker than a lease: the time that a
    message takes extends it.
    """

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._received: list[Confirmation] = []

    @property
    def is_up_to_date(self) -> bool:
        """Whether this node leads with a lease or has applied a confirmed commit index.

        The caller holds the lock.
        """
        state = self._state
        if state.role is Role.LEADER:
            return state.leadership() is not None
        if state.leader_id is None or state.has_failed or state.is_closed:
            return False
        # A node that lacks the entry that added it may know only former members.
        if state.node_id not in state.configuration.members:
            return False
        return any(map(self._is_applied, self._valid(state.clock.now())))

    def remaining(self) -> float:
        """Return the seconds for which this leader cannot have a successor.

        The voters of a quorum refuse their votes for the minimum election timeout from
        the message that they answered last. Votes for this leader do not count: before
        an entry of its own term is committed, it does not know everything that an
        earlier leader has acknowledged.

        The caller holds the lock.
        """
        state = self._state
        if state.commit_index < state.first_own_index:
            return 0.0
        elapsed = state.clock.now() - state.quorum_contact()
        return max(0.0, state.settings.election_timeout_min - elapsed)

    def record(self, request: AppendRequest, received_at: float) -> None:
        """Record the confirmation in a message whose entries were accepted.

        A leader of an earlier build sends none. It is trusted for the minimum election
        timeout: otherwise all its followers would count as out of date until it is
        updated. It steps down when its quorum is silent for the maximum election
        timeout.

        The caller holds the lock.
        """
        state = self._state
        valid_until = received_at + self._claimed_seconds(request.confirmed_s)
        newest = Confirmation(request.term, request.commit_index, valid_until)
        known = [*self._valid(state.clock.now()), newest]
        pending = [one for one in known if not self._is_applied(one)]
        applied = [one for one in known if self._is_applied(one)]
        # While entries are being applied, the message before them still counts.
        self._received = pending + sorted(applied, key=_valid_until)[-1:]

    def _claimed_seconds(self, remaining: float | None) -> float:
        """Return the seconds for which a message justifies the claim.

        A learner hears from its leader in longer intervals than a voter; its claim
        must not lapse before the next message is overdue.
        """
        settings = self._state.settings
        longest = settings.election_timeout_min
        if remaining is None:
            return longest
        if remaining == 0.0:
            return 0.0
        interval = settings.heartbeat_interval
        shortest = (LEARNER_HEARTBEAT_FACTOR + 1) * interval
        return max(shortest, min(remaining, longest))

    def _valid(self, now: float) -> list[Confirmation]:
        term = self._state.term
        return [
            one for one in self._received if one.term == term and now < one.valid_until
        ]

    def _is_applied(self, confirmation: Confirmation) -> bool:
        return confirmation.commit_index <= self._state.last_applied


def _valid_until(confirmation: Confirmation) -> float:
    return confirmation.valid_until
