"""Database groups and their promotions, as changed by log entries."""

from collections.abc import Mapping
from dataclasses import replace

from dogwoodspool_common import (
    BackendServer,
    GroupState,
    Phase,
    Position,
)

from ..commands import (
    AbandonSwitchover,
    AdoptPrimary,
    BeginPromotion,
    BootstrapGroup,
    ChoosePrimary,
    EndPromotion,
    IssueToken,
    RecordEpoch,
)
from ..const import CODE_CONFLICT, CODE_INVALID, MAX_CHANGE_IDS
from ..models import Outcome, Promotion, PromotionReason


class GroupTable:
    """Groups, promotions in progress and outcomes of operators' changes.

    Every change names the term that its proposer saw. A command decided on outdated
    state, by a leader that was replaced in the meantime, therefore has no effect.
    """

    def __init__(
        self,
        groups: Mapping[str, GroupState],
        promotions: Mapping[str, Promotion],
        change_outcomes: Mapping[str, Outcome],
    ) -> None:
        self._groups = dict(groups)
        self._promotions = dict(promotions)
        self._change_outcomes = dict(change_outcomes)

    @property
    def groups(self) -> Mapping[str, GroupState]:
        """All groups by name."""
        return self._groups

    @property
    def promotions(self) -> Mapping[str, Promotion]:
        """Promotions in progress by group."""
        return self._promotions

    @property
    def change_outcomes(self) -> Mapping[str, Outcome]:
        """First outcomes of operators' promotions by change id."""
        return self._change_outcomes

    def bootstrap(self, index: int, command: BootstrapGroup) -> Outcome:
        """Record a group that is not known yet."""
        if command.group in self._groups:
            return _conflict(f"group {command.group} already exists")
        self._groups[command.group] = GroupState(
            command.group, command.term, command.primary, Phase.STEADY, ()
        )
        return Outcome(True, index=index, version=command.term)

    def begin(
        self,
        index: int,
        command: BeginPromotion,
        servers: Mapping[str, BackendServer],
    ) -> Outcome:
        """Begin a promotion, or its next attempt under a newer term.

        Rejections are stored too: a delayed copy of a rejected request must not take
        effect after its operator was told that it was rejected.
        """
        recorded = self._change_outcomes.get(command.change_id)
        if recorded is not None:
            return recorded
        outcome = self._begin(index, command, servers)
        self._record_outcome(command.change_id, outcome)
        return outcome

    def choose(self, index: int, command: ChoosePrimary) -> Outcome:
        """Record the new primary and the branch position of its term."""
        promotion = self._promotions.get(command.group)
        if promotion is None or promotion.term != command.term:
            return _conflict(f"no promotion of {command.group} to term {command.term}")
        if promotion.chosen is not None:
            return _conflict(f"{promotion.chosen} is already chosen")
        group = self._groups[command.group]
        start = Position(command.term, command.offset)
        self._promotions[command.group] = replace(promotion, chosen=command.server)
        self._groups[command.group] = replace(
            group,
            primary=command.server,
            term_starts=(*group.term_starts, start),
            given_up=_without(group.given_up, command.server),
        )
        return Outcome(True, index=index, version=command.term)

    def end(self, index: int, command: EndPromotion) -> Outcome:
        """Make the group steady at its new term.

        Between its choice and its promotion the new primary may still have applied
        entries of the old term, so that the branch lies at a higher offset. The lower
        offset in force until then is safe: it only reports more positions as lost
        than really are.
        """
        promotion = self._promotions.get(command.group)
        if promotion is None or promotion.term != command.term:
            return _conflict(f"no promotion of {command.group} to term {command.term}")
        if promotion.chosen is None:
            return _conflict(f"no primary of {command.group} has been chosen")
        if _has_newer_call(promotion, command.token):
            return _open_call(promotion)
        group = self._groups[command.group]
        *earlier, chosen_start = group.term_starts
        start = Position(command.term, max(chosen_start.offset, command.offset))
        del self._promotions[command.group]
        self._groups[command.group] = replace(
            group,
            phase=Phase.STEADY,
            term_starts=(*earlier, start),
            epoch=command.epoch,
            ended=_ended_before(group, command),
        )
        return Outcome(True, index=index, version=command.term)

    def adopt(self, index: int, command: AdoptPrimary) -> Outcome:
        """Record a primary that already serves, ending a promotion in progress."""
        group = self._groups.get(command.group)
        if group is None or group.term != command.expected_term:
            return _conflict(f"group {command.group} is at another term")
        promotion = self._promotions.get(command.group)
        if promotion is None and command.token:
            return _conflict(f"the change of {command.group} has ended")
        if promotion is not None and _has_newer_call(promotion, command.token):
            return _open_call(promotion)
        self._promotions.pop(command.group, None)
        term = group.term + 1
        self._groups[command.group] = replace(
            group,
            term=term,
            primary=command.server,
            phase=Phase.STEADY,
            given_up=_without(group.given_up, command.server),
            epoch=command.epoch,
            ended=_ended_before(group, command),
        )
        return Outcome(True, index=index, version=term)

    def record_epoch(self, index: int, command: RecordEpoch) -> Outcome:
        """Record the lead of a steady group's primary."""
        group = self._groups.get(command.group)
        if group is None or group.term != command.expected_term:
            return _conflict(f"group {command.group} is at another term")
        is_steady = group.phase is Phase.STEADY
        if not is_steady or group.primary != command.epoch.server:
            return _conflict(f"{command.epoch.server} does not lead {command.group}")
        self._groups[command.group] = replace(group, epoch=command.epoch, ended=())
        return Outcome(True, index=index, version=group.term)

    def issue_token(self, index: int, command: IssueToken) -> Outcome:
        """Record a promotion call before it is sent; its token is the log index."""
        if command.group not in self._groups:
            return Outcome(False, CODE_INVALID, f"unknown group {command.group}")
        promotion = self._promotions.get(command.group)
        if command.server and not _is_call_of(promotion, command):
            return _conflict(f"the change of {command.group} has gone on")
        if promotion is not None and command.server:
            called = dict.fromkeys((*promotion.called, command.server))
            self._promotions[command.group] = replace(
                promotion, newest_token=index, called=tuple(called)
            )
        return Outcome(True, version=index)

    def abandon_switchover(
        self,
        index: int,
        command: AbandonSwitchover,
        servers: Mapping[str, BackendServer],
    ) -> Outcome:
        """Continue a planned change as a failover, which gives the old primary up."""
        current = self._promotions.get(command.group)
        if current is None or current.term != command.expected_term:
            return _conflict(f"group {command.group} is at another term")
        if current.chosen is not None:
            return _conflict(f"{current.chosen} is already chosen")
        promotion = replace(current, reason=PromotionReason.FAILED)
        group = self._groups[command.group]
        self._promotions[command.group] = promotion
        self._groups[command.group] = replace(
            group, given_up=_given_up(group, promotion, servers)
        )
        return Outcome(True, index=index, version=promotion.term)

    def _begin(
        self,
        index: int,
        command: BeginPromotion,
        servers: Mapping[str, BackendServer],
    ) -> Outcome:
        group = self._groups.get(command.group)
        if group is None:
            return Outcome(False, CODE_INVALID, f"no group {command.group}")
        if group.term != command.expected_term:
            return _conflict(f"group {command.group} is at term {group.term}")
        if not _is_candidate(command.candidate, group, servers):
            message = f"{command.candidate} cannot become the primary"
            return Outcome(False, CODE_INVALID, message)
        promotion = self._next_promotion(group, command)
        if promotion is None:
            return _conflict(f"a promotion of {command.group} is in progress")
        self._promotions[group.name] = promotion
        self._groups[group.name] = replace(
            group,
            term=promotion.term,
            primary=None,
            phase=Phase.PROMOTING,
            given_up=_given_up(group, promotion, servers),
        )
        return Outcome(True, index=index, version=promotion.term)

    def _next_promotion(
        self, group: GroupState, command: BeginPromotion
    ) -> Promotion | None:
        current = self._promotions.get(group.name)
        term = group.term + 1
        if current is None:
            if command.is_retry or group.primary is None:
                return None
            return Promotion(
                group=group.name,
                term=term,
                old_term=group.term,
                old_primary=group.primary,
                reason=command.reason,
                candidate=command.candidate,
            )
        if not command.is_retry or current.chosen is None:
            return None
        # The chosen server may have been promoted to its term although its answer was
        # lost. No grant was ever issued for that term; a newer term keeps its entries
        # distinct from those of the server that is chosen next.
        return replace(
            current,
            term=term,
            reason=PromotionReason.FAILED,
            candidate=None,
            chosen=None,
        )

    def _record_outcome(self, change_id: str, outcome: Outcome) -> None:
        if not change_id:
            return
        self._change_outcomes[change_id] = outcome
        while len(self._change_outcomes) > MAX_CHANGE_IDS:
            del self._change_outcomes[next(iter(self._change_outcomes))]


def _is_candidate(
    candidate: str | None, group: GroupState, servers: Mapping[str, BackendServer]
) -> bool:
    if candidate is None:
        return True
    server = servers.get(candidate)
    if server is None or server.group != group.name:
        return False
    return group.primary != candidate


def _given_up(
    group: GroupState, promotion: Promotion, servers: Mapping[str, BackendServer]
) -> tuple[str, ...]:
    """Return the servers given up so far that are still recorded.

    The old primary of a planned change serves until the new one takes over.
    """
    names = [*group.given_up]
    if promotion.reason is PromotionReason.FAILED:
        names += [promotion.old_primary, group.primary or ""]
    return tuple(name for name in dict.fromkeys(names) if name in servers)


def _ended_before(
    group: GroupState, command: EndPromotion | AdoptPrimary
) -> tuple[tuple[str, int], ...]:
    """Return the servers that had ended before a new epoch of a group.

    Without an earlier epoch, writes are passed on before this one is recorded, and a
    server that has ended since may have confirmed them.
    """
    if group.epoch is None or command.epoch is None:
        return ()
    return tuple(one for one in command.ended if one[0] != command.epoch.server)


def _without(names: tuple[str, ...], name: str) -> tuple[str, ...]:
    return tuple(one for one in names if one != name)


def _has_newer_call(promotion: Promotion, token: int) -> bool:
    """Tell whether a newer call than that of a token may be carried out later.

    Leaders of earlier builds state no token. All builds must decide alike.
    """
    return 0 < token < promotion.newest_token


def _is_call_of(promotion: Promotion | None, command: IssueToken) -> bool:
    """Tell whether a call is one that the committed change may send now."""
    if promotion is None or promotion.term != command.term:
        return False
    return promotion.chosen in (None, command.server)


def _open_call(promotion: Promotion) -> Outcome:
    return _conflict(
        f"promotion call {promotion.newest_token} of {promotion.group} may be open"
    )


def _conflict(message: str) -> Outcome:
    return Outcome(False, CODE_CONFLICT, message)
