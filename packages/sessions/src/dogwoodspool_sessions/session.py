"""A caller's session: what it has written and therefore must be able to read."""

from collections.abc import Mapping

from dogwoodspool_common import GroupState, Position
from expression import Error, Ok, Result

from .history import is_lost
from .models import ReadPosition, SessionRefusal


class Session:
    """Positions of one session, per database group.

    A session is known in a group from a token, from the caller's word that it
    is new, or from a position of the primary read after all its earlier writes.
    Otherwise earlier writes through other proxies may exist, and reads go
    where that is always safe.
    """

    def __init__(self) -> None:
        self._positions: dict[str, Position] = {}
        self._is_complete = False

    @property
    def positions(self) -> Mapping[str, Position]:
        """The position that reads must reach, for each group with writes."""
        return dict(self._positions)

    def mark_complete(self) -> None:
        """Note that no writes exist beyond the positions held here."""
        self._is_complete = True

    def adopt(self, positions: Mapping[str, Position]) -> None:
        """Take over the positions of a token.

        A token older than what this connection has seen never lowers a position.
        """
        for group, position in positions.items():
            self.advance(group, position)
        self._is_complete = True

    def advance(self, group: str, position: Position) -> None:
        """Raise the position that reads in a group must reach."""
        known = self._positions.get(group)
        if known is None or position > known:
            self._positions[group] = position

    def read_position(self, state: GroupState) -> Result[ReadPosition, SessionRefusal]:
        """Decide what a read in the group must reach.

        Returns:
            An error when the group no longer has what the session has written,
            or when the session knows a term that this proxy does not know yet.
        """
        position = self._positions.get(state.name)
        if position is None:
            return Ok(ReadPosition(None, self._is_complete))
        if position.term > state.term:
            return Error(SessionRefusal.FROM_THE_FUTURE)
        if is_lost(position, state.term, state.term_starts):
            return Error(SessionRefusal.LOST)
        return Ok(ReadPosition(position, True))
