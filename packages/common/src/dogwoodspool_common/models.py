"""Data classes shared by all libraries."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Self


@dataclass(frozen=True, order=True, slots=True)
class Position:
    """A position in a database group's log.

    Terms increase with each change of primary; offsets count log entries from the
    creation of the group and continue across terms. Positions of one term compare
    by offset. Across terms a comparison needs the group's term history, see
    ``dogwoodspool_sessions``.

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
    """Role of a backend server in its database group."""

    PRIMARY = "primary"
    REPLICA = "replica"


class Phase(StrEnum):
    """Whether a database group is changing its primary."""

    STEADY = "steady"
    PROMOTING = "promoting"


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server, as it last announced itself.

    Attributes:
        name: unique within the system.
        group: its database group.
        failure_domain: failure domain that it runs in.
        address: address at which it accepts statements.
        slots: maximum statements that it runs at a time; more are queued in it.
        connections: maximum connections; more are refused.
        is_leaving: whether it wants no new work.
        incarnation: increases with each start of the server's process, to detect
            delayed messages of an earlier process; 0 where the server does not
            report it.
        is_retired: whether it has been leaving for so long that it gets no new work,
            also as the primary.
        is_gone: whether its process has ended. It stays recorded until another
            server is known to hold every write acknowledged with its help.
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
    is_retired: bool = False


class Consistency(StrEnum):
    """Which commits a read must reflect.

    Attributes:
        PRIMARY: every commit that was acknowledged before the read.
        BOUNDED_STALENESS: every commit older than a configured age.
        READ_YOUR_WRITES: as BOUNDED_STALENESS, and every commit of its own session.
    """

    PRIMARY = "primary"
    BOUNDED_STALENESS = "bounded_staleness"
    READ_YOUR_WRITES = "read_your_writes"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A database name that callers connect to, with its service guarantees.

    Attributes:
        name: unique within the system.
        database: database name that callers send when they connect.
        group: database group that serves it.
        consistency: commits that its reads must reflect.
        deadline_ms: time limit for one statement.
        target_latency_ms: target for the latency of a request.
        priority: precedence of queued requests; 0 is the highest.
        max_age_ms: maximum age of data that reads may see; None for no limit.
        is_public: whether callers need no key of a client account.
    """

    name: str
    database: str
    group: str
    consistency: Consistency
    deadline_ms: int
    target_latency_ms: int
    priority: int
    max_age_ms: int | None = None
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Limit on the operations of a client account, enforced as a token bucket.

    Attributes:
        per_second: operations per second in the long run.
        burst: operations that may exceed the rate at one time.
    """

    per_second: float
    burst: float


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A customer whose callers are identified by keys.

    Attributes:
        name: unique within the system; backend servers see it.
        key_digests: digests of the keys, see ``key_digest``; the keys themselves are
            never distributed.
        priority: precedence among accounts; 0 is the highest.
        rate_limit: limit on its operations at all proxies together; None for none.
    """

    name: str
    key_digests: tuple[str, ...]
    priority: int = 0
    rate_limit: RateLimit | None = None


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """Status that a backend server reported when queried.

    Attributes:
        server: name of the backend server.
        role: role as the server itself reports it.
        position: position of its data, in the lineage of the term it follows.
        lag_ms: upper bound for the age of its data; None when it has never
            caught up with a primary.
        is_leaving: whether it wants no new work.
    """

    server: str
    role: Role
    position: Position
    lag_ms: float | None
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class PrimaryEpoch:
    """The lead of one primary, which control knows to be the only one in force.

    No promotion call that was sent before the epoch was recorded can still be carried
    out, so that only a recorded change of primary ends it. What a server acknowledges
    outside of a recorded epoch may be lost.

    Attributes:
        server: name of the primary.
        incarnation: its process when the epoch was recorded.
        term: term of the group's servers in which it leads, as in the positions of
            its writes.
        offset: offset that its log had reached when it was seen to lead. What was
            acknowledged in earlier terms is at or before it. 0 where the log was empty
            or, in an epoch that an earlier build recorded, its end is not known.
    """

    server: str
    incarnation: int
    term: int
    offset: int = 0

    @property
    def start(self) -> Position | None:
        """Position that the primary had reached when it was seen to lead.

        None if its log was empty or the position is not known.
        """
        return Position(self.term, self.offset) if self.offset else None


@dataclass(frozen=True, slots=True)
class GroupState:
    """Committed control state of a database group.

    Attributes:
        name: name of the group, also the callers' database name.
        term: increases with each change of primary.
        primary: name of the primary; None while a promotion has not chosen one.
        phase: whether a promotion is in progress.
        term_starts: for each term after the first, the position at which it
            branched from the previous one: entries after ``offset`` belong to the
            new term, and entries of an older term after it are lost.
        given_up: servers that failovers have moved the group away from. What such a
            server acknowledges may be lost, even before the new primary takes over.
        epoch: the latest recorded lead, also while a change is in progress; None where
            the servers' terms are not known.
        ended: name and incarnation of each server that had ended when the epoch was
            recorded, so that it has confirmed no write of this epoch.
    """

    name: str
    term: int
    primary: str | None
    phase: Phase
    term_starts: tuple[Position, ...]
    given_up: tuple[str, ...] = ()
    epoch: PrimaryEpoch | None = None
    ended: tuple[tuple[str, int], ...] = ()
