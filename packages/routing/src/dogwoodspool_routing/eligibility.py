"""Decide whether a backend server's data satisfies a read."""

from collections.abc import Sequence

from dogwoodspool_common import GroupState, Position, ServerStatus
from dogwoodspool_sessions import is_covered

from .models import ReadNeed


def satisfies(
    status: ServerStatus, need: ReadNeed, group: GroupState, elapsed_ms: float
) -> bool:
    """Tell whether a server surely satisfies a read.

    Args:
        status: what the server said of itself.
        need: what the read must reflect; ``needs_primary`` is the router's.
        group: the group's committed state.
        elapsed_ms: time since the status was asked for.
    """
    return _is_on_history(status.position, group) and _is_fresh(
        status, need, elapsed_ms, group.term_starts
    )


def may_satisfy(status: ServerStatus, need: ReadNeed, group: GroupState) -> bool:
    """Tell whether a newer status of the server could satisfy a read."""
    return _is_on_history(status.position, group) and (
        need.max_age_ms is None
        or (status.lag_ms is not None and status.lag_ms <= need.max_age_ms)
    )


def _is_on_history(position: Position, group: GroupState) -> bool:
    """Tell whether a server follows the lineage of the group's present term.

    A server of a term that has been branched from may hold entries past the branch,
    which the group has lost, and its lag counts from a replaced primary. During a
    promotion the new term has no start yet, and the servers of the term before
    are current. Of a term newer than the committed one nothing is known here.
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
    # A replica that has never caught up may be empty: its data has no age.
    return status.lag_ms is not None
