"""Decide whether the data of a backend server satisfies a read."""

from collections.abc import Sequence

from dogwoodspool_common import GroupState, Position, ServerStatus
from dogwoodspool_sessions import is_covered

from .models import ReadNeed


def satisfies(
    status: ServerStatus, need: ReadNeed, group: GroupState, elapsed_ms: float
) -> bool:
    """Return whether a server is known to satisfy a read.

    Args:
        status: the status that the server reported.
        need: what the read must reflect; ``needs_primary`` is left to the router.
        group: the group's committed state.
        elapsed_ms: time since the status was requested.
    """
    return _is_on_history(status.position, group) and _is_fresh(
        status, need, elapsed_ms, group.term_starts
    )


def may_satisfy(status: ServerStatus, need: ReadNeed, group: GroupState) -> bool:
    """Return whether a newer status of the server could satisfy a read."""
    return _is_on_history(status.position, group) and (
        need.max_age_ms is None
        or (status.lag_ms is not None and status.lag_ms <= need.max_age_ms)
    )


def _is_on_history(position: Position, group: GroupState) -> bool:
    """Return whether a server's log belongs to the history of the group's term.

    A server of an older term from which a newer one has branched may hold entries
    past the branch, which the group has lost, and its lag is measured against a
    replaced primary. During a promotion the new term has no start yet, and servers of
    the previous term are current. Nothing is known here about a term newer than the
    committed one.
    """
    if position.term > group.term:
        return False
    return not any(
        position.term < start.term <= group.term for start in group.term_starts
    )


def _is_fresh(
    status: ServerStatus,
    need: ReadNeed,
    elapsed_ms: float,
    term_starts: Sequence[Position],
) -> bool:
    if need.max_age_ms is not None and (
        status.lag_ms is None or status.lag_ms + elapsed_ms > need.max_age_ms
    ):
        return False
    if need.position is not None:
        return is_covered(need.position, status.position, term_starts)
    # A replica that has never caught up may be empty, so its data has no known age.
    return status.lag_ms is not None
