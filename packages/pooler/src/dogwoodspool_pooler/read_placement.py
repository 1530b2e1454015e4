"""Decide what a read must reflect and on which server it runs."""

from dogwoodspool_common import BackendServer, Consistency, log_rate_limited
from dogwoodspool_following import ViewStore
from dogwoodspool_routing import ServerTable

from .held import ConnectionAccess, HeldConnection, ReadBound
from .known_primaries import KnownPrimaries
from .placement import rank_for_read
from .requests import Request


class ReadPlacement:
    """Choose servers for reads and read-only transactions."""

    def __init__(
        self,
        views: ViewStore,
        table: ServerTable,
        known: KnownPrimaries,
        access: ConnectionAccess[HeldConnection],
    ) -> None:
        self._views = views
        self._table = table
        self._known = known
        self._access = access

    def bound(self, request: Request) -> ReadBound | None:
        """Return what a server must reflect; None if only the primary may serve it."""
        endpoint = request.endpoint
        if endpoint.consistency is Consistency.PRIMARY or request.max_age is None:
            return None
        is_own = endpoint.consistency is Consistency.READ_YOUR_WRITES
        at_least = request.session_position if is_own else None
        bound = ReadBound(request.max_age, at_least)
        if not self._access.can_satisfy(endpoint.group, bound):
            return None
        return bound

    def choose(self, request: Request, excluded: set[str]) -> BackendServer | None:
        """Return the best server for a read; None if all are excluded or unusable."""
        group = request.endpoint.group
        ranked = rank_for_read(
            self._table.servers(group),
            primary=self._known.current(group),
            failure_domain=self._views.failure_domain,
            excluded=excluded,
        )
        return ranked[0].server if ranked else None

    def is_primary(self, server: BackendServer) -> bool:
        """Return whether a server is probably the primary of its group."""
        return server.name == self._known.current(server.group)


def log_read_moved(request: Request, server: BackendServer, reason: object) -> None:
    """Log that a read or the begin of a read-only transaction tries another server."""
    log_rate_limited(
        "read_moved",
        request=request.statement.request_id,
        database=request.endpoint.database,
        server=server.name,
        reason=reason,
    )
