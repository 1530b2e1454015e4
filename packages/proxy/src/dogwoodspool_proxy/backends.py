"""Connection pools and admission queues of the backend servers."""

import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from dogwoodspool_backend import (
    BackendError,
    ConnectFailedError,
    Credentials,
    MySqlConnector,
    MySqlPool,
    PoolSettings,
    ServerDownError,
)
from dogwoodspool_common import BackendServer, Clock, log_event
from dogwoodspool_following import ProxyView, ViewStore
from dogwoodspool_limits import AdmissionQueue, base_share
from dogwoodspool_routing import ServerTable
from dogwoodspool_settings import EffectiveSettings


@dataclass(frozen=True, slots=True)
class Backend:
    """A backend server with its connection pool and admission queue."""

    server: BackendServer
    pool: MySqlPool
    admission: AdmissionQueue
    settings: EffectiveSettings


@dataclass(frozen=True, slots=True)
class BackendUsage:
    """Connections and statements of this proxy at a backend server."""

    server: str
    limit: int
    open: int
    in_use: int
    waiting: int


class BackendRegistry:
    """Keep a pool and an admission queue for each backend server.

    A server that returns under its name with another address gets new ones; those
    of a server that control has removed are closed.
    """

    def __init__(
        self,
        proxy: str,
        views: ViewStore,
        table: ServerTable,
        probe_now: Callable[[str], None],
        clock: Clock,
    ) -> None:
        self._proxy = proxy
        self._probe_now = probe_now
        self._views = views
        self._table = table
        self._clock = clock
        self._lock = threading.Lock()
        self._backends: dict[str, Backend] = {}
        self._shares: dict[str, int] = {}
        self._shares_until = 0.0

    def set_up(self) -> None:
        """Start following the view."""
        self._views.add_listener(self._apply_view)

    def unload(self) -> None:
        """Close idle connections."""
        with self._lock:
            backends = list(self._backends.values())
            self._backends.clear()
        for backend in backends:
            backend.pool.unload()

    def backend(self, server: BackendServer) -> Backend:
        """Return a server's pool and admission queue; create them if needed."""
        with self._lock:
            known = self._backends.get(server.name)
            if known is not None and known.server.address == server.address:
                return known
            backend = self._build(server)
            self._backends[server.name] = backend
        if known is not None:
            known.pool.unload()
        return backend

    def demand(self) -> dict[str, int]:
        """Return the number of connections needed for each backend server."""
        with self._lock:
            backends = list(self._backends.values())
        return {
            backend.server.name: backend.pool.demand + backend.admission.waiting
            for backend in backends
        }

    def usage(self) -> list[BackendUsage]:
        """Return the usage of each backend server."""
        with self._lock:
            backends = list(self._backends.values())
        return [
            BackendUsage(
                server=backend.server.name,
                limit=backend.pool.limit,
                open=backend.pool.open_count,
                in_use=backend.pool.in_use,
                waiting=backend.pool.waiting,
            )
            for backend in backends
        ]

    def grant_shares(self, shares: Mapping[str, int], until: float) -> None:
        """Apply leased connection shares until a clock time in seconds."""
        with self._lock:
            self._shares = dict(shares)
            self._shares_until = until
            backends = list(self._backends.values())
        self._set_limits(backends)

    def expire_shares(self) -> None:
        """Fall back to the permanent base shares once the leased ones have expired.

        While this proxy is cut off, control leases the same connections to other
        proxies; only the base share remains reserved for this one.
        """
        with self._lock:
            if not self._shares or self._clock.now() < self._shares_until:
                return
            self._shares = {}
            backends = list(self._backends.values())
        log_event("shares_expired")
        self._set_limits(backends)

    def report_failure(self, server: BackendServer, error: BackendError) -> None:
        """Record a failed statement or connection, and probe the server at once.

        The next probe decides whether the server is unreachable: on a working server
        a single connection may be lost or a single statement slow.
        """
        log_event("backend_failed", level="DEBUG", server=server.name, error=error)
        if isinstance(error, ConnectFailedError) and error.suggests_unreachable:
            is_down = isinstance(error, ServerDownError)
            self._table.record_failure(server.name, is_down=is_down)
        self._probe_now(server.name)

    def _build(self, server: BackendServer) -> Backend:
        settings = self._views.settings(server.group)
        limit = self._limit(server)
        pool = MySqlPool(
            server,
            self._connector(settings),
            self._clock,
            PoolSettings.of(settings),
            limit,
        )
        admission = AdmissionQueue(
            self._clock, server.slots, pool.caller_limit, settings.queue_limit
        )
        return Backend(server, pool, admission, settings)

    def _connector(self, settings: EffectiveSettings) -> MySqlConnector:
        return MySqlConnector(
            Credentials(settings.backend_user, settings.backend_password),
            self._views.failure_domain,
            settings.statements,
            self._clock,
        )

    def _apply_view(self, view: ProxyView) -> None:
        """Drop removed servers and apply changed settings."""
        with self._lock:
            removed = [
                self._backends.pop(name)
                for name in list(self._backends)
                if name not in view.servers
            ]
            changed = [
                (backend, self._with_current_settings(name, backend))
                for name, backend in self._backends.items()
                if self._views.settings(backend.server.group) != backend.settings
            ]
        for backend in removed:
            backend.pool.unload()
        for before, after in changed:
            settings = after.settings
            after.admission.set_queue_limit(settings.queue_limit)
            if _connects_differently(before.settings, settings):
                connector = self._connector(settings)
                after.pool.update_settings(connector, PoolSettings.of(settings))
        self._set_limits(list(self._backends.values()))

    def _with_current_settings(self, name: str, backend: Backend) -> Backend:
        settings = self._views.settings(backend.server.group)
        self._backends[name] = replace(backend, settings=settings)
        return self._backends[name]

    def _set_limits(self, backends: Iterable[Backend]) -> None:
        for backend in backends:
            limit = self._limit(backend.server)
            backend.pool.set_limit(limit)
            # Admitting more statements than callers may hold connections would move
            # the wait into the pool, where it is not estimated.
            backend.admission.set_max_in_flight(backend.pool.caller_limit)

    def _limit(self, server: BackendServer) -> int:
        if self._proxy not in self._views.view.proxies:
            # Control may have no room for this proxy; its base share then belongs to
            # another one.
            return 0
        base = base_share(server.connections, self._views.settings(server.group))
        return max(base, self._shares.get(server.name, 0))


def _connects_differently(before: EffectiveSettings, after: EffectiveSettings) -> bool:
    """Return whether the new settings require new connections."""
    return (
        PoolSettings.of(before) != PoolSettings.of(after)
        or before.backend_user != after.backend_user
        or before.backend_password != after.backend_password
        or before.statements != after.statements
    )
