"""Compare positions across the terms of a database group.

A group's history is the list of its term starts: ``Position(term, offset)`` means
that the term branched from its predecessor after the entry ``offset``. A position
of an older term is part of the newer history only up to the branch.
"""

from collections.abc import Sequence

from dogwoodspool_common import Position


def is_lost(position: Position, term: int, term_starts: Sequence[Position]) -> bool:
    """Return whether a position lies past a branch on the way to a newer term.

    Such a position refers to log entries that the group no longer has.

    Example:
        >>> is_lost(Position(1, 9), 2, [Position(2, 7)])
        True
    """
    return any(
        position.term < start.term <= term and position.offset > start.offset
        for start in term_starts
    )


def is_covered(
    position: Position, by: Position, term_starts: Sequence[Position]
) -> bool:
    """Return whether data at ``by`` is known to include everything up to ``position``.

    Data of an older term never covers a position of a newer one, however large its
    offset is: past the branch the two terms have different entries.

    Example:
        >>> is_covered(Position(1, 5), Position(2, 8), [Position(2, 7)])
        True
        >>> is_covered(Position(2, 8), Position(1, 9), [Position(2, 7)])
        False
    """
    if by.term < position.term:
        return False
    if is_lost(position, by.term, term_starts):
        return False
    return by.offset >= position.offset
