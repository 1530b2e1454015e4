"""Data classes and messages of the sharing library."""

from dataclasses import dataclass, replace
from typing import Self

from dogwoodspool_api import HostPort, MemberMessage, Message, Name
from dogwoodspool_common import Address
from pydantic import Field

from .const import MAX_FOLLOWED_GROUPS


@dataclass(frozen=True, order=True, slots=True)
class Neighbour:
    """A proxy that another one sends requests to.

    It is in the same failure domain, or an owner or contact in another one.

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


@dataclass(frozen=True, slots=True)
class PrimaryParts:
    """Greatest numbers of connections to a primary, from one process each.

    Attributes:
        near: for an owner in the primary's failure domain.
        elsewhere: for any other process.
    """

    near: int
    elsewhere: int


@dataclass(frozen=True, slots=True)
class PrimaryShare:
    """Connections and slots of a primary that one process may use.

    It applies where the owners near the primary serve it for all proxies.

    Attributes:
        connections: greatest number of connections.
        slots: slots of the server that it may keep in use.
    """

    connections: int
    slots: int = 1


@dataclass(frozen=True, slots=True)
class PrimaryLocation:
    """Where the primary of a group runs.

    Attributes:
        server: name of the server that is the primary.
    """

    server: str
    failure_domain: str


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
    """A proxy, as one process names it to another."""

    proxy: Name
    address: HostPort

    @classmethod
    def of(cls, neighbour: Neighbour) -> Self:
        """Build the message from the domain object."""
        return cls(proxy=neighbour.name, address=neighbour.address)

    def value(self) -> Neighbour:
        """Return the domain object."""
        return Neighbour(self.proxy, self.address)


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


class ContactsRequest(Message):
    """Ask a control process for proxies of a failure domain."""

    failure_domain: Name


class ContactsResponse(Message):
    """Some proxies of a failure domain, chosen at random."""

    proxies: list[NeighbourMessage]


class OwnersRequest(Message):
    """Ask a proxy for the owners of groups in its failure domain.

    Attributes:
        known: digest of the last response that the sender received; empty for none.
    """

    groups: list[Name] = Field(max_length=MAX_FOLLOWED_GROUPS)
    known: str = ""


class GroupOwnersMessage(Message):
    """The owners of one group in the responder's failure domain; see ``Owners``."""

    group: Name
    in_use: list[NeighbourMessage]
    in_reserve: list[NeighbourMessage]

    @classmethod
    def of(cls, group: str, owners: Owners) -> Self:
        """Build the message from the domain object."""
        return cls(
            group=group,
            in_use=[NeighbourMessage.of(one) for one in owners.in_use],
            in_reserve=[NeighbourMessage.of(one) for one in owners.in_reserve],
        )

    def value(self) -> Owners:
        """Return the domain object."""
        return Owners(
            tuple(one.value() for one in self.in_use),
            tuple(one.value() for one in self.in_reserve),
        )


class OwnersResponse(Message):
    """The owners of groups whose pools the responder's failure domain shares.

    Attributes:
        digest: digest of both lists; they are omitted if the sender has them already.
        contacts: proxies of the failure domain that may be asked as well.
    """

    digest: str
    owners: list[GroupOwnersMessage] | None = None
    contacts: list[NeighbourMessage] | None = None


class NeighbourViewResponse(Message):
    """The view of a proxy, as a neighbour sees it that finds no control process.

    Attributes:
        proxy: the proxy that answers.
        confirmed_age_ms: milliseconds since control confirmed it, until the answer;
            None if control does not confirm it, and nothing else is told then.
        version: version of the view.
        members: the control processes that the proxy follows.
    """

    proxy: Name
    confirmed_age_ms: int | None = None
    version: int = 0
    members: list[MemberMessage] = []
