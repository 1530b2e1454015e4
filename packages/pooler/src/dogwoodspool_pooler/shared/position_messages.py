"""Messages between owners about the positions of primaries."""

from dogwoodspool_api import Message, Name, PositionMessage
from pydantic import Field


class PositionsRequest(Message):
    """Ask an owner for the positions of the primaries of its groups."""

    groups: list[Name]


class GroupPositionMessage(Message):
    """A position that a group's primary had certainly reached.

    Attributes:
        age: seconds since the primary was asked for it.
    """

    group: Name
    position: PositionMessage
    age: float = Field(ge=0)


class PositionsResponse(Message):
    """The newest positions that an owner knows; other groups are left out."""

    positions: list[GroupPositionMessage]
