"""Servers, statuses and announcements for the routing tests."""

from dogwoodspool_api import Announcement, PositionMessage
from dogwoodspool_common import (
    Address,
    BackendServer,
    GroupState,
    ManualClock,
    Phase,
    Position,
    Role,
    ServerStatus,
)
from dogwoodspool_routing import ServerTable

GROUP = GroupState("orders", 2, "a1", Phase.STEADY, (Position(2, 10),))


def server(name: str, is_leaving: bool = False) -> BackendServer:
    """Return a server whose first letter is its failure domain."""
    address = Address("127.0.0.1", 7000)
    return BackendServer(name, "orders", name[0], address, 3, 20, is_leaving)


def status(
    name: str,
    offset: int,
    term: int = 2,
    lag_ms: float | None = 0.0,
    is_leaving: bool = False,
) -> ServerStatus:
    """Return a replica's status."""
    position = Position(term, offset)
    return ServerStatus(name, Role.REPLICA, position, lag_ms, is_leaving)


def announcement(name: str, is_leaving: bool = False) -> Announcement:
    """Return a server's announcement."""
    return Announcement(
        server=name,
        group="orders",
        failure_domain=name[0],
        address="127.0.0.1:7001",
        role=Role.REPLICA,
        position=PositionMessage(term=2, offset=10),
        slots=3,
        connections=20,
        is_leaving=is_leaving,
    )


def table_of(clock: ManualClock, *statuses: ServerStatus) -> ServerTable:
    """Return a table of a1, b1 and c1 with statuses requested at the present time."""
    table = ServerTable(clock)
    table.adopt_committed([server("a1"), server("b1"), server("c1")])
    for reported in statuses:
        table.record_status(reported, clock.now())
    return table
