"""Data classes of the sessions library."""

from dataclasses import dataclass
from enum import StrEnum

from dogwoodspool_common import Position


class SessionRefusal(StrEnum):
    """Why a session's position cannot be served."""

    LOST = "lost"
    FROM_THE_FUTURE = "from_the_future"


@dataclass(frozen=True, slots=True)
class ReadPosition:
    """What a session's read must reach.

    Attributes:
        position: lower bound for the server's data; None when there is none.
        is_known: whether the session's earlier writes are known; if not, only
            the primary is safe.
    """

    position: Position | None
    is_known: bool
