"""Data classes shared by all libraries."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Self


@dataclass(frozen=True, order=True, slots=True)
class Position:
    """A place in a database group's log.

    Terms grow with each change of primary; offsets count log entries from the
    beginning of the group's life and go on across terms. Positions of one term
    compare by offset. Across terms a comparison needs the group's term history,
    see ``dogwoodspool_sessions``.

    Example:
        >>> Position(term=2, offset=7) > Position(term=2, offset=5)
        True
    """

    term: int
    offset: int


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and TCP port.

    Example:
        >>> Address.parse("127.0.0.1:7001").port
        7001
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parse ``HOST:PORT``; raise ``ValueError`` for anything else."""
        host, separator, port = text.rpartition(":")
        if not separator or not host or not port.isdigit():
            raise ValueError(f"{text!r} is not HOST:PORT")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Role(StrEnum):
    """What a backend server is in its database group."""

    PRIMARY = "primary"
    REPLICA = "replica"


class Phase(StrEnum):
    """Whether a database group is changing its primary."""

    STEADY = "steady"
    PROMOTING = "promoting"


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server as it announced itself.

    Attributes:
        name: unique within the system.
        group: its database group.
        failure_domain: where it runs.
        address: where it answers statements.
        slots: statements that it runs at a time; more wait inside it.
        connections: connections that it takes; one more is refused.
        is_leaving: it asks for no new work.
    """

    name: str
    group: str
    failure_domain: str
    address: Address
    slots: int
    connections: int
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """What a backend server said of itself when it was asked.

    Attributes:
        server: name of the backend server.
        role: its own view of its role.
        position: how far its data is, in the lineage of the term it follows.
        lag_ms: upper bound for the age of its data; None when it has never
            caught up with a primary.
        is_leaving: it asks for no new work.
    """

    server: str
    role: Role
    position: Position
    lag_ms: float | None
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class GroupState:
    """A database group as control has committed it.

    Attributes:
        name: name of the group, also the callers' database name.
        term: grows with each change of primary.
        primary: name of the primary; None while a promotion has not chosen one.
        phase: whether a promotion is under way.
        term_starts: for each term since the first, the position at which it
            branched from the one before: entries after ``offset`` are of the
            new term, and an older term's entries after it are lost.
    """

    name: str
    term: int
    primary: str | None
    phase: Phase
    term_starts: tuple[Position, ...]
