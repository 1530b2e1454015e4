"""Pools and admission queues of the backend servers that this process uses."""

import math
import threading
from collections.abc import Callable
from dataclasses import replace

from dogwoodspool_common import BackendServer, Clock
from dogwoodspool_connections import (
    ConnectionPool,
    Connector,
    LeastUsed,
    LongestIdle,
    PoolSettings,
)
from dogwoodspool_following import ProxyView, ViewStore
from dogwoodspool_limits import AdmissionQueue, Priority, QueueOrder
from dogwoodspool_sharing import ConnectionPart, PoolRole, PrimaryShare

from .backend import Backend
from .ceiling import ConnectionCeiling
from .connection import ServerConnection
from .const import (
    CHECK_AFTER_IDLE,
    CHECK_TIMEOUT,
    CONNECT_TIMEOUT,
    CONNECTION_SHARE,
    CONTROL_CONNECTIONS,
    DEFAULT_CONNECTIONS,
    IDLE_EXPIRY_SECONDS,
    QUEUE_LIMIT,
    RESET_TIMEOUT,
    SLOT_OVERSUBSCRIPTION,
    SURPLUS_EXPIRY_SECONDS,
)
from .read_cost import AdmissionState
from .recording import RecordingConnector
from .turns import ConnectionTurns

PartLookup = Callable[[str, int], ConnectionPart | None]

POOL_SETTINGS = PoolSettings(
    connect_timeout=CONNECT_TIMEOUT,
    check_timeout=CHECK_TIMEOUT,
    check_after_idle=CHECK_AFTER_IDLE,
    reset_timeout=RESET_TIMEOUT,
    idle_expiry=IDLE_EXPIRY_SECONDS,
    surplus_expiry=SURPLUS_EXPIRY_SECONDS,
)


class BackendRegistry:
    """Keep a pool and an admission queue for each backend server.

    A restarted server is a different process, so the connections to its predecessor
    are dropped.

    Args:
        part_of: returns the connections to a server of a group that this process may
            hold, given those that the server accepts from all proxies; None if the
            group's pools are not shared.
        load_share: returns the part of the work of a group's primary that an owner
            serves; None if the pools of the group are not shared.
        primary_share: returns what this process may use of a server that few owners
            serve for all proxies; None if the usual part applies.
        build_order: returns a new order in which requests wait at an owner of shared
            pools; None for the same order as in pools that are not shared.
    """

    def __init__(
        self,
        views: ViewStore,
        connector: Connector[ServerConnection],
        clock: Clock,
        part_of: PartLookup = lambda _group, _available: None,
        load_share: Callable[[str], float | None] = lambda _group: None,
        primary_share: Callable[[BackendServer], PrimaryShare | None] = (
            lambda _server: None
        ),
        build_order: Callable[[], QueueOrder | None] = lambda: None,
    ) -> None:
        self._views = views
        self._part_of = part_of
        self._load_share = load_share
        self._primary_share = primary_share
        self._build_order = build_order
        self._connector = connector
        self._clock = clock
        self._lock = threading.Lock()
        self._backends: dict[str, Backend] = {}
        self._serving_since: float | None = None

    def set_up(self) -> None:
        """Begin to apply new views."""
        self._views.add_listener(self._apply_view)

    def unload(self) -> None:
        """Close idle connections."""
        with self._lock:
            backends = list(self._backends.values())
            self._backends.clear()
        for backend in backends:
            backend.pool.unload()

    def backend(self, server: BackendServer) -> Backend:
        """Return the backend of a server, created if there is none for its process.

        A request may have chosen a process before the view named its successor. It
        must not take away the pool of the successor, and gets one that is closed.
        """
        with self._lock:
            known = self._backends.get(server.name)
            if known is not None and _is_same_process(known.server, server):
                return known
            backend = self._build(server)
            if self._is_replaced(server):
                backend.pool.unload()
                return backend
            self._backends[server.name] = backend
        if known is not None:
            known.pool.unload()
        return backend

    def admission_state(self, server: str) -> AdmissionState | None:
        """Return the state of a server's admission queue; None if there is none yet."""
        with self._lock:
            known = self._backends.get(server)
        if known is None:
            return None
        queue = known.admission
        return AdmissionState(
            queue.limit, queue.waiting, queue.estimated_wait(Priority.READ)
        )

    def all(self) -> list[Backend]:
        """Return all backends in use."""
        with self._lock:
            return list(self._backends.values())

    def refresh(self) -> None:
        """Apply the present part of this process to every pool.

        A process that has lost a role closes its surplus connections at once.
        """
        for backend in self.all():
            server = backend.server
            backend.admission.set_slots(self._slots(server))
            part = self._part(server)
            if part is not None:
                if not backend.is_shared:
                    backend.pool.set_eviction(LeastUsed(self._clock))
                backend.set_part(part)
                continue
            if backend.is_shared:
                backend.turns.set_share(1.0)
                backend.pool.set_eviction(LongestIdle())
            backend.ceiling.set_highest(self._highest(server))
            backend.adjust()

    def _is_replaced(self, server: BackendServer) -> bool:
        named = self._views.view.servers.get(server.name)
        return named is not None and not _is_same_process(named, server)

    def _build(self, server: BackendServer) -> Backend:
        part = self._part(server)
        started_at = self._serving_since
        if started_at is None:
            started_at = self._clock.now()
        ceiling = ConnectionCeiling(
            self._clock,
            self._highest(server) if part is None else part.connections,
            started_at,
            is_part=part is not None,
        )
        turns = ConnectionTurns(self._clock, 1.0 if part is None else part.turn_share)
        connector = RecordingConnector(self._connector, ceiling, turns)
        first = ceiling.value()
        pool = ConnectionPool(server, connector, self._clock, POOL_SETTINGS, 0)
        if part is not None:
            pool.set_eviction(LeastUsed(self._clock))
        admission = AdmissionQueue(
            self._clock, server.slots, first, QUEUE_LIMIT, name=server.name
        )
        admission.set_slots(self._slots(server))
        backend = Backend(
            server,
            pool,
            admission,
            ceiling,
            turns,
            connector,
            shared_order=self._build_order(),
        )
        backend.adjust()
        return backend

    def _part(self, server: BackendServer) -> ConnectionPart | None:
        available = max(1, self._connections_of(server) - CONTROL_CONNECTIONS)
        part = self._part_of(server.group, available)
        primary = self._primary_share(server)
        if part is None or primary is None or part.role is not PoolRole.OWNER:
            return part
        return replace(part, connections=primary.connections)

    def _highest(self, server: BackendServer) -> int:
        return int(self._connections_of(server) * CONNECTION_SHARE)

    def _connections_of(self, server: BackendServer) -> int:
        return self._views.connections_of(server) or DEFAULT_CONNECTIONS

    def _slots(self, server: BackendServer) -> int:
        """Return the statements that this process may have in flight on a server.

        A replica serves mostly the reads of its own failure domain, whose owner may
        use all of its slots. All owners send statements to the primary.
        """
        primary = self._primary_share(server)
        if primary is not None:
            return primary.slots
        share = self._load_share(server.group)
        group = self._views.view.groups.get(server.group)
        is_primary = group is not None and group.primary == server.name
        is_near = server.failure_domain == self._views.failure_domain
        if share is None or (is_near and not is_primary):
            return server.slots
        part = math.ceil(SLOT_OVERSUBSCRIPTION * server.slots * share)
        return min(server.slots, part)

    def _apply_view(self, view: ProxyView) -> None:
        with self._lock:
            if self._serving_since is None:
                self._serving_since = self._clock.now()
            dropped = [
                self._backends.pop(name)
                for name, backend in list(self._backends.items())
                if name not in view.servers
                or not _is_same_process(backend.server, view.servers[name])
            ]
        for backend in dropped:
            backend.pool.unload()
        self.refresh()


def _is_same_process(one: BackendServer, other: BackendServer) -> bool:
    return (one.address, one.incarnation) == (other.address, other.incarnation)
