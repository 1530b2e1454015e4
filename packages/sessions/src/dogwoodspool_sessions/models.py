"""Data classes of the sessions library."""

from dataclasses import dataclass
from enum import StrEnum

from dogwoodspool_common import Position


class SessionRefusal(StrEnum):
    """Why a session's position cannot be served.

    Attributes:
        LOST: the group has lost writes of the session.
        TERM_UNKNOWN: the position's term is newer than the one known to this proxy.
    """

    LOST = "lost"
    TERM_UNKNOWN = "from_the_future"


@dataclass(frozen=True, slots=True)
class ReadPosition:
    """The position that a session's read must reach.

    Attributes:
        position: lower bound for the server's data; None if there is none.
        is_known: whether the session's earlier writes are known; if not, only
            the primary is safe.
    """

    position: Position | None
    is_known: bool
