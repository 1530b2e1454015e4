"""Data classes of the failover library."""

from dataclasses import dataclass

from dogwoodspool_common import BackendServer, Position, Role


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a backend server said of itself.

    Attributes:
        server: its description; its incarnation is the time of its start.
        sequence: grows with each heartbeat of one incarnation.
        role: its own view of its role; None where it gave none that is known.
    """

    server: BackendServer
    sequence: int
    role: Role | None


@dataclass(frozen=True, slots=True)
class ServerState:
    """A backend server's answer to a question or order.

    Attributes:
        term: the newest term that it knows.
        received: how far its log is; a replica applies it later.
        paused_term: the term of the pause that it is in; 0 for none.
        lag_ms: age of its data.
    """

    role: Role
    term: int
    received: Position
    paused_term: int
    lag_ms: float


@dataclass(frozen=True, slots=True)
class Choice:
    """The server that becomes the primary, and how far its log was."""

    server: str
    received: Position
