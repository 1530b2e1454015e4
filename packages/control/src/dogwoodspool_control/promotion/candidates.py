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
    """What the choice is decided on.

    Attributes:
        servers: all servers of the group, the old primary included.
        statuses: answers of those that answered, asked after the release.
        acks: what is known of acknowledged writes.
        term_starts: the group's history.
        may_keep_primary: whether the old primary is of use as primary again.
        must_catch_up: whether to wait for a replica that has all entries of the
            old primary, those without an acknowledgement included.
    """

    promotion: Promotion
    servers: Sequence[BackendServer]
    statuses: Mapping[str, ServerStatus]
    acks: AcknowledgedWrites
    term_starts: Sequence[Position]
    may_keep_primary: bool
    must_catch_up: bool = False


def choose_candidate(given: ChoiceInput) -> Result[Choice, ChoiceRefusal]:
    """Choose a server that surely has every acknowledged write.

    A replica qualifies in three ways. It covers the old primary's position, read
    after all grants had ended. Or every acknowledged position is known, and it
    covers them all. Or each acknowledged write is on some replica, all replicas
    have answered, and it is the furthest of them. A replica that may lack an
    acknowledged write is never chosen: the promotion waits for the old primary,
    which has everything.
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
        # Undone: its candidate did not catch up, and nothing is wrong with the
        # primary, which also has the writes without an acknowledgement.
        undone = _choose_old_primary(given, silent)
        if undone.is_ok():
            return undone
    if given.acks.is_complete and covering:
        return Ok(_choice(given, max(covering, key=lambda one: _rank(given, one))))
    if given.acks.is_replicated and replicas and not silent:
        furthest = max(replicas, key=lambda one: _reach(given, one))
        if furthest in covering:
            return Ok(_choice(given, furthest))
    return _choose_old_primary(given, silent)


def _choose_caught_up(
    given: ChoiceInput, caught_up: Sequence[BackendServer]
) -> Result[Choice, ChoiceRefusal]:
    wanted = given.promotion.candidate
    for server in sorted(caught_up, key=lambda one: _rank(given, one), reverse=True):
        if wanted in (None, server.name):
            return Ok(_choice(given, server))
    waiting_for = () if wanted is None else (wanted,)
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
    reason = "acknowledged writes may be at the old primary alone"
    return Error(ChoiceRefusal(reason, (old_primary,)))


def _covers_known(given: ChoiceInput, name: str) -> bool:
    status = given.statuses.get(name)
    if status is None or not _is_of_history(given, status.position):
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


def _is_of_history(given: ChoiceInput, position: Position) -> bool:
    """Tell whether a server holds no entries that an earlier promotion dropped."""
    return not is_lost(position, given.promotion.old_term, given.term_starts)


def _choice(given: ChoiceInput, server: BackendServer) -> Choice:
    return Choice(server.name, given.statuses[server.name].position.offset)


def _reach(given: ChoiceInput, server: BackendServer) -> tuple[int, int]:
    """Order servers by how much of the group's history they hold.

    Of a server that follows an older term only the entries up to the next branch
    are part of it.
    """
    position = given.statuses[server.name].position
    branches = [
        start.offset
        for start in given.term_starts
        if position.term < start.term <= given.promotion.old_term
    ]
    return min([position.offset, *branches]), position.term


def _rank(given: ChoiceInput, server: BackendServer) -> tuple[bool, bool, int, int]:
    """Order servers that all qualify by which one serves best."""
    status = given.statuses[server.name]
    is_asked_for = server.name == given.promotion.candidate
    is_staying = not (server.is_leaving or status.is_leaving)
    return is_asked_for, is_staying, *_reach(given, server)
