"""Data classes of the failover library."""

from dataclasses import dataclass

from dogwoodspool_common import BackendServer, Position, PrimaryEpoch, Role


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A backend server's report of itself.

    Attributes:
        server: its description; its incarnation is the time of its start.
        sequence: increases with each heartbeat of one incarnation.
        role: the role it reports; None if it reports none or an unknown one.
    """

    server: BackendServer
    sequence: int
    role: Role | None


@dataclass(frozen=True, slots=True)
class ServerState:
    """A backend server's answer to a status request or command.

    Attributes:
        term: the newest term known to the server.
        received: end of its log; a replica applies it later.
        paused_term: the term for which it is paused; 0 if it is not paused.
        lag_ms: age of its data, in milliseconds.
    """

    role: Role
    term: int
    received: Position
    paused_term: int
    lag_ms: float


def epoch_of(server: BackendServer, state: ServerState) -> PrimaryEpoch:
    """Return the epoch of a server that has answered as a primary."""
    return PrimaryEpoch(
        server.name, server.incarnation, state.term, state.received.offset
    )


@dataclass(frozen=True, slots=True)
class Choice:
    """The server that becomes the primary, and the end of its log.

    Attributes:
        members: the servers of the group that were considered.
    """

    server: str
    received: Position
    members: tuple[BackendServer, ...] = ()
