"""Pools and admission queues of the backend servers that this process uses."""

import math
import threading
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from dogwoodspool_common import BackendServer, Clock
from dogwoodspool_connections import (
    ConnectionPool,
    Connector,
    LeastUsed,
    LongestIdle,
    PoolSettings,
)
from dogwoodspool_following import ProxyView, ViewStore
from dogwoodspool_limits import (
    Admission,
    AdmissionQueue,
    ArrivalOrder,
    Priority,
    QueueOrder,
    Refusal,
)
from dogwoodspool_sharing import ConnectionPart, PoolRole, PrimaryShare
from dogwoodspool_sharing.const import CLOSE_ROOM
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
    SLOT_OVERSUBSCRIPTION,
    SURPLUS_EXPIRY_SECONDS,
)
from .read_cost import AdmissionState
from .recording import RecordingConnector
from .requests import AdmissionRequest
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


@dataclass(frozen=True, slots=True)
class Backend:
    """One backend server with its pool, admission queue and connection ceiling."""

    server: BackendServer
    pool: ConnectionPool[ServerConnection]
    admission: AdmissionQueue
    ceiling: ConnectionCeiling
    turns: ConnectionTurns
    connector: RecordingConnector
    own_order: QueueOrder = field(default_factory=ArrivalOrder)
    shared_order: QueueOrder | None = None

    @property
    def is_shared(self) -> bool:
        """Whether the pools of the server's group are shared among proxies."""
        return self.ceiling.is_part

    @property
    def is_ordered_by_target(self) -> bool:
        """Whether requests wait until their targets, and all statements are counted."""
        return self.is_shared and self.shared_order is not None

    def admit(self, request: AdmissionRequest) -> Result[Admission, Refusal]:
        """Wait for admission in the order of the queue."""
        work = request.work
        if work is None or not self.is_ordered_by_target:
            return self.admission.admit(
                request.deadline, request.priority, wait_until=request.start_by
            )
        return self.admission.admit_work(work)

    def wait_until(self, request: AdmissionRequest, now: float) -> float:
        """Return the clock time until which an admitted request waits for a connection.

        Connections that idle transactions hold are not counted in flight, so that an
        admitted request may find none.
        """
        if request.target is None or not self.is_ordered_by_target:
            return max(request.start_by, now)
        return request.target if now < request.target else request.deadline

    def adjust(self) -> None:
        """Apply the current ceiling, and the queue discipline of owners of pools."""
        if self.is_shared and self.shared_order is not None:
            self.admission.set_order(self.shared_order)
            self.admission.set_queue_limit(SHARED_QUEUE_LIMIT)
        else:
            self.admission.set_order(self.own_order)
            self.admission.set_queue_limit(QUEUE_LIMIT)
        limit = self.ceiling.value()
        close_room = CLOSE_ROOM if self.ceiling.is_part else 0
        if limit != self.pool.limit or close_room != self.pool.close_room:
            self.pool.set_limit(limit, close_room=close_room)
            # A statement beyond these would wait in the pool, which does not estimate
            # how long.
            self.admission.set_max_in_flight(self.pool.caller_limit)

    def set_part(self, part: ConnectionPart) -> None:
        """Change the connections that this process may hold."""
        # An owner in reserve needs no turns, and takes over from one that does not
        # answer. A process with turns becomes an owner while its predecessor may still
        # use the connections.
        settles = not self.turns.is_always
        self.ceiling.set_highest(part.connections, is_part=True, settles=settles)
        self.turns.set_share(part.turn_share)
        self.adjust()

    def expire_connections(self) -> None:
        """Close connections that have been idle for too long or are out of turn."""
        if self.turns.wait() > 0:
            self.pool.close_idle()
        else:
            self.pool.close_expired()


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
