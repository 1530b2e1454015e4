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
        incarnation: grows with each start of the server's process, so that a late
            word of an earlier process is told from one of the present; 0 where
            the server says nothing of it.
        is_gone: its process has ended. It stays recorded until another server is
            known to hold every write that was acknowledged with its help.
    """

    name: str
    group: str
    failure_domain: str
    address: Address
    slots: int
    connections: int
    is_leaving: bool = False
    incarnation: int = 0
    is_gone: bool = False


class Consistency(StrEnum):
    """Which commits a read must reflect.

    Attributes:
        PRIMARY: every commit that was acknowledged before it.
        BOUNDED_STALENESS: every commit older than a stated age.
        READ_YOUR_WRITES: as before, and every commit of its own session.
    """

    PRIMARY = "primary"
    BOUNDED_STALENESS = "bounded_staleness"
    READ_YOUR_WRITES = "read_your_writes"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A database name that callers connect to, and what they are promised there.

    Attributes:
        name: unique within the system.
        database: what callers name when they connect.
        group: the database group that serves it.
        consistency: which commits its reads reflect.
        deadline_ms: time for one statement.
        target_latency_ms: time in which a request should be answered.
        priority: who goes first when requests wait; 0 is the highest.
        max_age_ms: greatest age of data that reads may see, where it is bounded.
    """

    name: str
    database: str
    group: str
    consistency: Consistency
    deadline_ms: int
    target_latency_ms: int
    priority: int
    max_age_ms: int | None = None


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
