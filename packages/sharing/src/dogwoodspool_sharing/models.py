"""Data classes and messages of the sharing library."""

from dataclasses import dataclass, replace
from typing import Self

from dogwoodspool_api import HostPort, MemberMessage, Message, Name
from dogwoodspool_common import Address
from pydantic import Field


@dataclass(frozen=True, order=True, slots=True)
class Neighbour:
    """A proxy of the same failure domain.

    Attributes:
        name: unique within the system.
        address: address for other processes of the system, as ``HOST:PORT``.
    """

    name: str
    address: str

    @property
    def endpoint(self) -> Address:
        """The parsed address."""
        return Address.parse(self.address)


@dataclass(frozen=True, slots=True)
class Owners:
    """The proxies of a failure domain whose pools serve a group.

    Attributes:
        in_use: owners that requests go to.
        in_reserve: owners that requests go to when none of those in use answers.
    """

    in_use: tuple[Neighbour, ...]
    in_reserve: tuple[Neighbour, ...]

    def without(self, excluded: Neighbour) -> Self:
        """Return the other owners."""
        return replace(
            self,
            in_use=tuple(one for one in self.in_use if one != excluded),
            in_reserve=tuple(one for one in self.in_reserve if one != excluded),
        )


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Capacity of each server of a group.

    Attributes:
        slots: statements that it runs at a time.
        connections: maximum connections from all processes together.
    """

    slots: int
    connections: int


class Presence(Message):
    """Heartbeat of a proxy to a control process.

    Attributes:
        is_leaving: whether it no longer takes requests of other proxies.
        known: digest of the last answer that it received; empty for none.
    """

    proxy: Name
    failure_domain: Name
    address: HostPort
    is_leaving: bool = False
    known: str = ""


class NeighbourMessage(Message):
    """A proxy of the sender's failure domain."""

    proxy: Name
    address: HostPort


class PresenceResponse(Message):
    """The proxies of the sender's failure domain and the control processes.

    Attributes:
        digest: digest of both lists; they are omitted if the sender has them already.
        next_ms: milliseconds until the next heartbeat is due.
    """

    digest: str
    next_ms: int = Field(ge=0)
    proxies: list[NeighbourMessage] | None = None
    members: list[MemberMessage] | None = None
