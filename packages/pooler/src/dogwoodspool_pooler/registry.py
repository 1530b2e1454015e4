"""Pools and admission queues of the backend servers that this process uses."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from dogwoodspool_common import BackendServer, Clock
from dogwoodspool_connections import ConnectionPool, Connector, PoolSettings
from dogwoodspool_following import ProxyView, ViewStore
from dogwoodspool_limits import (
    Admission,
    AdmissionQueue,
    ArrivalOrder,
    Priority,
    PriorityOrder,
    QueueOrder,
    Refusal,
)
from dogwoodspool_sharing import PrimaryShare
from expression import Result

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
    SHARED_QUEUE_LIMIT,
    SURPLUS_EXPIRY_SECONDS,
)
from .read_cost import AdmissionState
from .requests import AdmissionRequest

POOL_SETTINGS = PoolSettings(
    connect_timeout=CONNECT_TIMEOUT,
    check_timeout=CHECK_TIMEOUT,
    check_after_idle=CHECK_AFTER_IDLE,
    reset_timeout=RESET_TIMEOUT,
    idle_expiry=IDLE_EXPIRY_SECONDS,
    surplus_expiry=SURPLUS_EXPIRY_SECONDS,
)


@dataclass(frozen=True, slots=True)
class Backend:
    """One backend server with its pool, admission queue and connection ceiling."""

    server: BackendServer
    pool: ConnectionPool[ServerConnection]
    admission: AdmissionQueue
    ceiling: ConnectionCeiling
    is_shared: Callable[[], bool]
    own_order: QueueOrder = field(default_factory=ArrivalOrder)
    shared_order: QueueOrder = field(default_factory=PriorityOrder)

    def admit(
        self, request: AdmissionRequest, now: float
    ) -> Result[Admission, Refusal]:
        """Wait for admission, as an owner of pools where the pools are shared."""
        work = request.work
        if work is None or not self.is_shared():
            start_by = max(request.start_by, now)
            return self.admission.admit(start_by, request.priority)
        return self.admission.admit_work(work)

    def wait_until(self, request: AdmissionRequest, now: float) -> float:
        """Return the clock time until which an admitted request waits for a connection.

        Connections that idle transactions hold are not counted in flight, so that an
        admitted request may find none.
        """
        if request.target is None or not self.is_shared():
            return max(request.start_by, now)
        return request.target if now < request.target else request.deadline

    def adjust(self) -> None:
        """Apply the current ceiling, and the queue discipline of owners of pools."""
        if self.is_shared():
            self.admission.set_order(self.shared_order)
            self.admission.set_queue_limit(SHARED_QUEUE_LIMIT)
        else:
            self.admission.set_order(self.own_order)
            self.admission.set_queue_limit(QUEUE_LIMIT)
        limit = self.ceiling.value()
        if limit != self.pool.limit:
            self.pool.set_limit(limit)
            self.admission.set_max_in_flight(limit)


class BackendRegistry:
    """Keep a pool and an admission queue for each backend server.

    A restarted server is a different process, so the connections to its predecessor
    are dropped.

    Args:
        owner_share: returns the part of each server's connections that an owner of a
            group's pools may hold; None if the pools are not shared.
        primary_share: returns what this process may use of a server that few owners
            serve for all proxies; None if the usual share applies.
    """

    def __init__(
        self,
        views: ViewStore,
        connector: Connector[ServerConnection],
        clock: Clock,
        owner_share: Callable[[str], float | None] = lambda _group: None,
        primary_share: Callable[[BackendServer], PrimaryShare | None] = (
            lambda _server: None
        ),
    ) -> None:
        self._views = views
        self._owner_share = owner_share
        self._primary_share = primary_share
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
        """Return the backend of a server, created if there is none for its process."""
        with self._lock:
            known = self._backends.get(server.name)
            if known is not None and _is_same_process(known.server, server):
                return known
            backend = self._build(server)
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

    def _build(self, server: BackendServer) -> Backend:
        highest = self._highest(server)
        started_at = self._serving_since
        if started_at is None:
            started_at = self._clock.now()
        ceiling = ConnectionCeiling(self._clock, highest, started_at)
        first = ceiling.value()
        pool = ConnectionPool(
            server, self._connector, self._clock, POOL_SETTINGS, first
        )
        admission = AdmissionQueue(
            self._clock, server.slots, first, QUEUE_LIMIT, name=server.name
        )
        admission.set_min_in_flight(self._min_in_flight(server))
        return Backend(
            server,
            pool,
            admission,
            ceiling,
            lambda: self._owner_share(server.group) is not None,
        )

    def _highest(self, server: BackendServer) -> int:
        primary = self._primary_share(server)
        if primary is not None:
            return primary.connections
        connections = self._views.connections_of(server) or DEFAULT_CONNECTIONS
        share = self._owner_share(server.group)
        if share is None:
            return int(connections * CONNECTION_SHARE)
        # Where few owners share a server, each may hold an equal part of its
        # connections; with many, their use is too uneven for equal parts.
        equal_part = int((connections - CONTROL_CONNECTIONS) * share)
        return max(equal_part, int(connections * CONNECTION_SHARE))

    def _min_in_flight(self, server: BackendServer) -> int:
        primary = self._primary_share(server)
        return 1 if primary is None else primary.min_in_flight

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
        self.adjust()

    def adjust(self) -> None:
        """Apply the current shares to all pools."""
        for backend in self.all():
            backend.ceiling.set_highest(self._highest(backend.server))
            backend.admission.set_min_in_flight(self._min_in_flight(backend.server))
            backend.adjust()


def _is_same_process(one: BackendServer, other: BackendServer) -> bool:
    return (one.address, one.incarnation) == (other.address, other.incarnation)
