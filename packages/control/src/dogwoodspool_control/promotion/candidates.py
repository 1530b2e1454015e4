"""Choose the new primary of a promotion."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from dogwoodspool_common import BackendServer, Position, ServerStatus
from dogwoodspool_sessions import is_covered, is_lost
from expression import Error, Ok, Result

from ..models import AcknowledgedWrites, ChoiceRefusal, Promotion, PromotionReason


@dataclass(frozen=True, slots=True)
class Choice:
    """The server to promote and the offset at which its term branches."""

    server: str
    offset: int


@dataclass(frozen=True, slots=True)
class ChoiceInput:
    """Input of the choice of a new primary.

    Attributes:
        servers: all servers of the group, the old primary included.
        statuses: answers of the servers that answered, requested after the release.
        acks: what is known about acknowledged writes.
        term_starts: the branch positions of the group's terms.
        may_keep_primary: whether the old primary may be chosen again.
        must_catch_up: whether to wait for a replica that has all entries of the
            old primary, including unacknowledged ones.
    """

    promotion: Promotion
    servers: Sequence[BackendServer]
    statuses: Mapping[str, ServerStatus]
    acks: AcknowledgedWrites
    term_starts: Sequence[Position]
    may_keep_primary: bool
    must_catch_up: bool = False


def choose_candidate(given: ChoiceInput) -> Result[Choice, ChoiceRefusal]:
    """Choose a server that is certain to have every acknowledged write.

    A replica qualifies in one of three ways:

    - It covers the old primary's position, read after all grants had ended.
    - Every acknowledged position is known, and it covers them all.
    - Each acknowledged write is on some replica, all replicas have answered, and it
      is the most advanced of them.

    A replica that may lack an acknowledged write is never chosen: the promotion waits
    for the old primary, which has all writes.
    """
    replicas = [
        server for server in given.servers if server.name != given.promotion.old_primary
    ]
    silent = [server.name for server in replicas if server.name not in given.statuses]
    covering = [server for server in replicas if _covers_known(given, server.name)]
    caught_up = [server for server in covering if _covers_primary(given, server.name)]
    if given.must_catch_up:
        return _choose_caught_up(given, caught_up)
    if caught_up:
        return Ok(_choice(given, max(caught_up, key=lambda one: _rank(given, one))))
    if given.promotion.reason is PromotionReason.PLANNED:
        # Revert the change: the candidate did not catch up, and the old primary is
        # healthy and also has the unacknowledged writes.
        reverted = _choose_old_primary(given, silent)
        if reverted.is_ok():
            return reverted
    if given.acks.is_complete and covering:
        return Ok(_choice(given, max(covering, key=lambda one: _rank(given, one))))
    if given.acks.is_replicated and replicas and not silent:
        most_advanced = max(replicas, key=lambda one: _history_extent(given, one))
        if most_advanced in covering:
            return Ok(_choice(given, most_advanced))
    return _choose_old_primary(given, silent)


def _choose_caught_up(
    given: ChoiceInput, caught_up: Sequence[BackendServer]
) -> Result[Choice, ChoiceRefusal]:
    requested = given.promotion.candidate
    for server in sorted(caught_up, key=lambda one: _rank(given, one), reverse=True):
        if requested in (None, server.name):
            return Ok(_choice(given, server))
    waiting_for = () if requested is None else (requested,)
    return Error(ChoiceRefusal("no replica has caught up yet", waiting_for))


def _choose_old_primary(
    given: ChoiceInput, silent: Sequence[str]
) -> Result[Choice, ChoiceRefusal]:
    old_primary = given.promotion.old_primary
    if given.may_keep_primary and _covers_known(given, old_primary):
        return Ok(Choice(old_primary, given.statuses[old_primary].position.offset))
    if given.acks.is_replicated:
        reason = "replicas do not answer or lack an acknowledged write"
        return Error(ChoiceRefusal(reason, (*silent, old_primary)))
    reason = "acknowledged writes may be on the old primary only"
    return Error(ChoiceRefusal(reason, (old_primary,)))


def _covers_known(given: ChoiceInput, name: str) -> bool:
    status = given.statuses.get(name)
    if status is None or not _is_in_history(given, status.position):
        return False
    return all(
        is_covered(acked, status.position, given.term_starts)
        for acked in given.acks.positions
    )


def _covers_primary(given: ChoiceInput, name: str) -> bool:
    primary = given.statuses.get(given.promotion.old_primary)
    if primary is None or primary.position.term != given.promotion.old_term:
        return False
    position = given.statuses[name].position
    return is_covered(primary.position, position, given.term_starts)


def _is_in_history(given: ChoiceInput, position: Position) -> bool:
    """Tell whether a server holds no entries discarded by an earlier promotion."""
    return not is_lost(position, given.promotion.old_term, given.term_starts)


def _choice(given: ChoiceInput, server: BackendServer) -> Choice:
    return Choice(server.name, given.statuses[server.name].position.offset)


def _history_extent(given: ChoiceInput, server: BackendServer) -> tuple[int, int]:
    """Return a sort key: how much of the group's history a server holds.

    For a server of an older term, only the entries up to the next branch are part
    of the history.
    """
    position = given.statuses[server.name].position
    branches = [
        start.offset
        for start in given.term_starts
        if position.term < start.term <= given.promotion.old_term
    ]
    return min([position.offset, *branches]), position.term


def _rank(given: ChoiceInput, server: BackendServer) -> tuple[bool, bool, int, int]:
    """Return a sort key that prefers the most suitable of the qualified servers."""
    status = given.statuses[server.name]
    is_requested = server.name == given.promotion.candidate
    is_staying = not (server.is_leaving or status.is_leaving)
    return is_requested, is_staying, *_history_extent(given, server)
