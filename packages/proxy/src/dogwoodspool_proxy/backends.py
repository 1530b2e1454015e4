"""Pools and admission queues of the backend servers that this proxy uses."""

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
    """One backend server with what bounds the work on it."""

    server: BackendServer
    pool: MySqlPool
    admission: AdmissionQueue
    settings: EffectiveSettings


@dataclass(frozen=True, slots=True)
class BackendUsage:
    """How much of a backend server this proxy uses."""

    server: str
    limit: int
    open: int
    in_use: int
    waiting: int


class BackendRegistry:
    """Keep a pool and an admission queue for each backend server.

    A server that comes back under its name with another address gets new ones;
    a server that control has removed loses them.
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
        """Follow the view."""
        self._views.add_listener(self._follow)

    def unload(self) -> None:
        """Close idle connections."""
        with self._lock:
            backends = list(self._backends.values())
            self._backends.clear()
        for backend in backends:
            backend.pool.unload()

    def backend(self, server: BackendServer) -> Backend:
        """Return what bounds the work on a server."""
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
        """Return the connections wanted for each backend server."""
        with self._lock:
            backends = list(self._backends.values())
        return {
            backend.server.name: backend.pool.demand + backend.admission.waiting
            for backend in backends
        }

    def usage(self) -> list[BackendUsage]:
        """Return how much of each backend server is in use."""
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
        """Put leased shares of connections in force until a clock time."""
        with self._lock:
            self._shares = dict(shares)
            self._shares_until = until
            backends = list(self._backends.values())
        self._set_limits(backends)

    def expire_shares(self) -> None:
        """Fall back to the durable base shares once the leased ones ran out.

        While this proxy is cut off, control leases the same connections to
        others; only the base share is its own also then.
        """
        with self._lock:
            if not self._shares or self._clock.now() < self._shares_until:
                return
            self._shares = {}
            backends = list(self._backends.values())
        log_event("shares_expired")
        self._set_limits(backends)

    def report_failure(self, server: BackendServer, error: BackendError) -> None:
        """Note that a statement or connection failed, and probe the server at once.

        The next probe decides whether the server is unreachable: one connection
        may be lost, or one statement slow, on a server that works.
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

    def _follow(self, view: ProxyView) -> None:
        """Forget removed servers and put changed settings in force."""
        with self._lock:
            removed = [
                self._backends.pop(name)
                for name in list(self._backends)
                if name not in view.servers
            ]
            changed = [
                (backend, self._renewed(name, backend))
                for name, backend in self._backends.items()
                if self._views.settings(backend.server.group) != backend.settings
            ]
        for backend in removed:
            backend.pool.unload()
        for before, after in changed:
            settings = after.settings
            after.admission.set_queue_limit(settings.queue_limit)
            if _connects_otherwise(before.settings, settings):
                connector = self._connector(settings)
                after.pool.update_settings(connector, PoolSettings.of(settings))
        self._set_limits(list(self._backends.values()))

    def _renewed(self, name: str, backend: Backend) -> Backend:
        settings = self._views.settings(backend.server.group)
        self._backends[name] = replace(backend, settings=settings)
        return self._backends[name]

    def _set_limits(self, backends: Iterable[Backend]) -> None:
        for backend in backends:
            limit = self._limit(backend.server)
            backend.pool.set_limit(limit)
            # A place beyond the connections that callers may hold would only move
            # the wait into the pool, where nobody estimates it.
            backend.admission.set_max_in_flight(backend.pool.caller_limit)

    def _limit(self, server: BackendServer) -> int:
        if self._proxy not in self._views.view.proxies:
            # Control may have no room for this proxy; its base share is another's.
            return 0
        base = base_share(server.connections, self._views.settings(server.group))
        return max(base, self._shares.get(server.name, 0))


def _connects_otherwise(before: EffectiveSettings, after: EffectiveSettings) -> bool:
    """Tell whether open connections are not those that the settings ask for."""
    return (
        PoolSettings.of(before) != PoolSettings.of(after)
        or before.backend_user != after.backend_user
        or before.backend_password != after.backend_password
        or before.statements != after.statements
    )
