"""A caller's session: the positions of its writes, which its reads must reach."""

from collections.abc import Mapping

from dogwoodspool_common import GroupState, Position
from expression import Error, Ok, Result

from .history import is_lost
from .models import ReadPosition, SessionRefusal


class Session:
    """Positions of one session, per database group.

    The writes of a session in a group are known from a token, from the caller's
    statement that the session is new, or from a position that was read from the
    primary after all its earlier writes. Otherwise the session may have written through
    other proxies, and its reads go to the primary, which is always safe.
    """

    def __init__(self) -> None:
        self._positions: dict[str, Position] = {}
        self._is_complete = False

    @property
    def positions(self) -> Mapping[str, Position]:
        """The position that reads must reach, for each group with writes."""
        return dict(self._positions)

    def mark_complete(self) -> None:
        """Record that the session has no writes beyond the positions held here."""
        self._is_complete = True

    def adopt(self, positions: Mapping[str, Position]) -> None:
        """Merge the positions of a token.

        A token that is older than this connection's positions never lowers them.
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
        """Return the position that a read in the group must reach.

        Returns:
            An error if the group has lost writes of the session, or if the session
            refers to a newer term than the one known to this proxy.
        """
        position = self._positions.get(state.name)
        if position is None:
            return Ok(ReadPosition(None, self._is_complete))
        if position.term > state.term:
            return Error(SessionRefusal.TERM_UNKNOWN)
        if is_lost(position, state.term, state.term_starts):
            return Error(SessionRefusal.LOST)
        return Ok(ReadPosition(position, True))
