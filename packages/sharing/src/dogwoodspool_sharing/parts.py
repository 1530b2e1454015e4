"""Divide a server's connections among the processes that may open them.

Owners in use get most of them. A small number is set aside for owners in reserve and
for the proxies that serve their own callers while no owner answers. The latter may be
thousands, so each of them may hold a connection only for a part of the time.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Self

from .const import (
    CLOSE_ROOM,
    CONNECTIONS_PER_RESERVE_OWNER,
    MAX_CONNECTIONS_OUTSIDE,
    MIN_CONNECTIONS_OUTSIDE,
    SHARE_OUTSIDE,
    USED_OUTSIDE,
)


class PoolRole(StrEnum):
    """Role of a process for the pools of one group.

    Attributes:
        OWNER: its pools serve the requests of its neighbours.
        RESERVE: they do so when no owner in use answers.
        OUTSIDE: they serve only its own callers, and only when no owner answers.
    """

    OWNER = "owner"
    RESERVE = "reserve"
    OUTSIDE = "outside"


@dataclass(frozen=True, slots=True)
class ConnectionPart:
    """Connections to each server of a group that one process may hold.

    Attributes:
        turn_share: fraction of the time in which it may hold them.
    """

    role: PoolRole
    connections: int
    turn_share: float = 1.0


@dataclass(frozen=True, slots=True)
class ConnectionParts:
    """The division of one server's connections.

    Attributes:
        owner: connections of each owner in use.
        reserve: connections of each owner in reserve.
        outside: connections of all other proxies together.
    """

    owner: int
    reserve: int
    outside: int

    @classmethod
    def divide(cls, available: int, in_use: int, in_reserve: int) -> Self:
        """Divide the connections that a server accepts from proxies.

        Each process gets at least one connection, even if the server accepts fewer.

        Args:
            available: connections that the server accepts from all proxies together.
            in_use: number of owners in use, in all failure domains.
            in_reserve: number of owners in reserve, in all failure domains.

        Example:
            >>> ConnectionParts.divide(51, in_use=3, in_reserve=3)
            ConnectionParts(owner=14, reserve=1, outside=4)
        """
        outside = int(available * SHARE_OUTSIDE)
        outside = min(MAX_CONNECTIONS_OUTSIDE, max(MIN_CONNECTIONS_OUTSIDE, outside))
        reserve = CONNECTIONS_PER_RESERVE_OWNER
        # A connection that an owner has closed is counted by the server for a moment.
        # Where there is an owner in reserve, it hardly needs its connection meanwhile.
        closing = CLOSE_ROOM * max(0, in_use - in_reserve)
        remaining = available - outside - reserve * in_reserve - closing
        return cls(max(1, remaining // max(1, in_use)), reserve, outside)


def outside_part(
    connections: float, proxies: int, used: float = USED_OUTSIDE
) -> ConnectionPart:
    """Return the part of a proxy that is no owner.

    Args:
        connections: connections that all such proxies may hold together.
        proxies: number of such proxies.
        used: fraction of the connections for which proxies have a turn on average.

    Example:
        >>> outside_part(4, proxies=80).turn_share
        0.025
    """
    if proxies <= connections:
        return ConnectionPart(PoolRole.OUTSIDE, 1)
    return ConnectionPart(PoolRole.OUTSIDE, 1, connections * used / proxies)
