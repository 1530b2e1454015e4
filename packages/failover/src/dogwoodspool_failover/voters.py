"""Keep enough live voters: promote learners and demote silent voters."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from dogwoodspool_common import Address, Clock, log_event
from dogwoodspool_consensus import (
    ConsensusDiagnostics,
    ConsensusError,
    ConsensusNode,
    PeerDiagnostics,
)
from dogwoodspool_following import Coordinator

from .const import (
    LEARNER_REMOVAL_SECONDS,
    LIVE_LEARNER_SECONDS,
    MAX_LEARNER_LAG,
    MEMBER_CHANGE_TIMEOUT,
    MEMBER_CHECK_SECONDS,
    SILENT_VOTER_SECONDS,
)


class MemberAction(StrEnum):
    """One change of the control group's members."""

    GIVE_VOTE = "give_vote"
    TAKE_VOTE = "take_vote"
    REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A membership change that is due, with the reason that is logged."""

    action: MemberAction
    member: PeerDiagnostics
    reason: str


def due_change(
    own_id: str,
    members: Sequence[PeerDiagnostics],
    wanted_voters: int,
) -> MemberChange | None:
    """Return the next membership change, one at a time.

    A silent voter keeps its identity and its files and only loses its vote, and only
    after an up-to-date learner was given one. With two of three voters left, even for
    a moment, the loss of one disk would take the majority, although the silent voter
    may be back with all its files.

    Args:
        own_id: node id of the leader, which decides.
        members: the members as the leader sees them.
        wanted_voters: number of voters needed to tolerate the required failures.
    """
    others = [one for one in members if one.node_id != own_id]
    silence = {
        one.node_id: one.followed_s if one.silent_s is None else one.silent_s
        for one in others
    }
    replaced = _replaced_member(own_id, members, silence)
    if replaced is not None:
        is_voter = replaced.is_voter
        action = MemberAction.TAKE_VOTE if is_voter else MemberAction.REMOVE
        return MemberChange(action, replaced, "a newer member answers at its address")
    voters = [one for one in members if one.is_voter]
    learners = [one for one in others if not one.is_voter]
    ready = [one for one in learners if _is_ready(one)]
    silent = [
        one
        for one in voters
        if one.node_id != own_id and silence[one.node_id] >= SILENT_VOTER_SECONDS
    ]
    if silent and _has_surplus(voters, wanted_voters):
        worst = max(silent, key=lambda one: silence[one.node_id])
        return MemberChange(
            MemberAction.TAKE_VOTE, worst, "voter is silent and has been replaced"
        )
    if ready and (len(voters) < wanted_voters or silent):
        used = Counter(one.failure_domain for one in voters if one not in silent)
        best = min(ready, key=lambda one: (used[one.failure_domain], one.node_id))
        reason = "voter is silent" if silent else "fewer voters than wanted"
        return MemberChange(MemberAction.GIVE_VOTE, best, reason)
    for one in learners:
        if silence[one.node_id] >= LEARNER_REMOVAL_SECONDS:
            return MemberChange(
                MemberAction.REMOVE, one, "learner is silent for too long"
            )
    return None


def _has_surplus(voters: Sequence[PeerDiagnostics], wanted_voters: int) -> bool:
    """Return whether the group tolerates as many failures with one voter fewer."""
    return len(voters) > wanted_voters and len(voters) % 2 == 0


def _is_ready(learner: PeerDiagnostics) -> bool:
    is_live = learner.silent_s is not None and learner.silent_s < LIVE_LEARNER_SECONDS
    return is_live and learner.lag is not None and learner.lag <= MAX_LEARNER_LAG


def _replaced_member(
    own_id: str, members: Sequence[PeerDiagnostics], silence: dict[str, float]
) -> PeerDiagnostics | None:
    """Return a member at whose address another member answers.

    Its disk was lost, and a process with another identity now runs at its address. Only
    a member that has answered more recently can be that process. Without this rule, a
    learner that has just joined and not answered yet would be taken for the older of
    the two and removed permanently, and the loss of the next voter would cost the
    majority.
    """
    for one in members:
        if one.node_id == own_id:
            continue
        successors = [
            other
            for other in members
            if other.address == one.address and other.node_id != one.node_id
        ]
        if any(
            other.silent_s is not None and other.silent_s < silence[one.node_id]
            for other in successors
        ):
            return one
    return None


class VoterMaintenance(Coordinator):
    """Apply membership changes while this node is the leader."""

    def __init__(self, node: ConsensusNode, wanted_voters: int, clock: Clock) -> None:
        super().__init__("voter-upkeep", clock)
        self._node = node
        self._wanted_voters = wanted_voters

    def step(self) -> float:
        """Apply the membership change that is due, if any.

        After a change the next step follows at once: between the two changes of a
        replacement, every commit needs the new voter.
        """
        leadership = self._node.leadership()
        if leadership is None:
            return MEMBER_CHECK_SECONDS
        diagnostics = self._node.diagnostics()
        change = due_change(
            diagnostics.node_id,
            diagnostics.members,
            self._wanted_voters,
        )
        if change is not None and self._apply(change, diagnostics):
            return 0.0
        return MEMBER_CHECK_SECONDS

    def _apply(self, change: MemberChange, diagnostics: ConsensusDiagnostics) -> bool:
        """Apply a change; return whether it is committed."""
        member = change.member
        log_event(
            "member_change",
            action=change.action,
            member=member.node_id,
            address=member.address,
            reason=change.reason,
            voters=sum(one.is_voter for one in diagnostics.members),
        )
        try:
            match change.action:
                case MemberAction.GIVE_VOTE:
                    address = Address.parse(member.address)
                    self._node.add_voter(member.node_id, address, MEMBER_CHANGE_TIMEOUT)
                case MemberAction.TAKE_VOTE:
                    self._node.demote_voter(member.node_id, MEMBER_CHANGE_TIMEOUT)
                case MemberAction.REMOVE:
                    self._node.remove_voter(member.node_id, MEMBER_CHANGE_TIMEOUT)
        except ConsensusError as error:
            log_event("member_change_failed", member=member.node_id, reason=error)
            return False
        return True
