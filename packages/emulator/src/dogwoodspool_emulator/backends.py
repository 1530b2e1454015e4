"""The pools and limits of an emulated proxy, one of each for each server."""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from dogwoodspool_common import BackendServer, Clock
from dogwoodspool_connections import ConnectionPool, LeastUsed, PoolSettings
from dogwoodspool_limits import Priority, StatementQueue
from dogwoodspool_pooler.ceiling import ConnectionCeiling
from dogwoodspool_pooler.const import (
    CONTROL_CONNECTIONS,
    QUEUE_LIMIT,
    SHARED_QUEUE_LIMIT,
    SLOT_OVERSUBSCRIPTION,
)
from dogwoodspool_pooler.queue_orders import ORDERS, QueueOrderName
from dogwoodspool_pooler.read_cost import AdmissionState
from dogwoodspool_pooler.turns import ConnectionTurns
from dogwoodspool_sharing import (
    ConnectionPart,
    PoolRole,
    PrimaryShare,
    ProxyDirectory,
    RemoteOwners,
    ServerLimits,
)
from dogwoodspool_sharing.const import CLOSE_ROOM

from .servers import Connection, Server


@dataclass(frozen=True, slots=True)
class Backend:
    """One server, with the pool and the limits of a proxy's work on it."""

    server: Server
    pool: ConnectionPool[Connection]
    queue: StatementQueue
    ceiling: ConnectionCeiling
    turns: ConnectionTurns

    def apply_ceiling(self) -> None:
        """Apply the current ceiling to the pool and the queue."""
        limit = self.ceiling.value()
        if limit != self.pool.limit:
            close_room = CLOSE_ROOM if self.ceiling.is_part else 0
            self.pool.set_limit(limit, close_room=close_room)
            self.queue.set_max_in_flight(self.pool.caller_limit)


class _Connector:
    def __init__(
        self,
        server: Server,
        ceiling: ConnectionCeiling,
        turns: ConnectionTurns,
        opened: list[Connection],
    ) -> None:
        self._server = server
        self._ceiling = ceiling
        self._turns = turns
        self._opened = opened

    def connect(
        self, server: BackendServer, deadline: float, account: str = ""
    ) -> Connection:
        connection = self._server.connect()
        self._opened.append(connection)
        self._ceiling.record_connection_opened()
        self._turns.record_connection_opened()
        return connection


@dataclass(frozen=True, slots=True)
class BackendOptions:
    """What the backends of a proxy have in common.

    Attributes:
        connection_share: greatest part of a server's connections that it may hold.
        has_parts: whether it holds a part that depends on its role instead.
        has_rated_accounts: see ``Variant``.
        rng: random numbers for its turns at servers.
        started_at: clock seconds at which the proxy started.
    """

    pool_settings: PoolSettings
    connection_share: float
    order: QueueOrderName
    has_parts: bool
    has_rated_accounts: bool
    rng: random.Random
    started_at: float


class Backends:
    """Build the backends of one proxy as they are needed."""

    def __init__(
        self,
        failure_domain: str,
        directory: ProxyDirectory,
        remote: RemoteOwners,
        options: BackendOptions,
        clock: Clock,
    ) -> None:
        self._failure_domain = failure_domain
        self._directory = directory
        self._remote = remote
        self._options = options
        self._clock = clock
        self._backends: dict[str, Backend] = {}
        # Connections that were opened, some of which may be closed again.
        self.opened: list[Connection] = []

    def all(self) -> Iterable[Backend]:
        """Return the backends in use."""
        return self._backends.values()

    def is_shared(self, group: str) -> bool:
        """Return whether this proxy is an owner of a group's pools."""
        return self._directory.owner_share(group) is not None

    def admission_state(self, server: str) -> AdmissionState | None:
        """Return the state of a server's queue; None without a backend for it."""
        backend = self._backends.get(server)
        if backend is None:
            return None
        queue = backend.queue
        wait = queue.estimated_wait(Priority.READ)
        return AdmissionState(queue.limit, queue.waiting, wait)

    def get(self, server: Server) -> Backend:
        """Return the backend for a server; the first call builds it."""
        name = server.server_info.name
        found = self._backends.get(name)
        if found is None:
            found = self._build(server)
            self._backends[name] = found
        return found

    def _build(self, server: Server) -> Backend:
        server_info, clock = server.server_info, self._clock
        part = self._part(server)
        ceiling = ConnectionCeiling(
            clock,
            int(server_info.connections * self._options.connection_share)
            if part is None
            else part.connections,
            self._options.started_at,
            is_part=part is not None,
        )
        turn_share = 1.0 if part is None else part.turn_share
        turns = ConnectionTurns(clock, turn_share, self._options.rng)
        first = ceiling.value()
        pool = ConnectionPool(
            server_info,
            _Connector(server, ceiling, turns, self.opened),
            clock,
            self._options.pool_settings,
            0,
        )
        if self._options.has_rated_accounts:
            pool.set_eviction(LeastUsed(clock))
        queue = StatementQueue(clock, server_info.slots, first, QUEUE_LIMIT)
        order = ORDERS[self._options.order]()
        if order is not None and self.is_shared(server_info.group):
            queue.set_queue_limit(SHARED_QUEUE_LIMIT)
            queue.set_order(order)
            queue.set_slots(self._slots(server))
        backend = Backend(server, pool, queue, ceiling, turns)
        backend.apply_ceiling()
        return backend

    def apply_part(self, backend: Backend) -> None:
        """Apply the part that follows from the present role of this proxy."""
        part = self._part(backend.server)
        if part is not None:
            settles = not backend.turns.is_always
            backend.ceiling.set_highest(part.connections, is_part=True, settles=settles)
            backend.turns.set_share(part.turn_share)
            backend.apply_ceiling()

    def _part(self, server: Server) -> ConnectionPart | None:
        if not self._options.has_parts:
            return None
        info = server.server_info
        available = max(1, info.connections - CONTROL_CONNECTIONS)
        part = self._directory.connection_part(info.group, available)
        primary = self._primary_share(server)
        if part is None or primary is None or part.role is not PoolRole.OWNER:
            return part
        return replace(part, connections=primary.connections)

    def _slots(self, server: Server) -> int:
        """Return the statements that it may have in flight; see ``BackendRegistry``."""
        primary = self._primary_share(server)
        if primary is not None:
            return primary.slots
        info = server.server_info
        share = self._directory.owner_share(info.group)
        is_near = info.failure_domain == self._failure_domain
        if share is None or (is_near and not server.is_primary):
            return info.slots
        return min(info.slots, math.ceil(SLOT_OVERSUBSCRIPTION * info.slots * share))

    def _primary_share(self, server: Server) -> PrimaryShare | None:
        """Return its share of a primary that few owners serve for all proxies."""
        server_info = server.server_info
        is_near = server_info.failure_domain == self._failure_domain
        group = server_info.group
        if not self._remote.is_primary(group, server_info.name):
            return None
        if not is_near and not self._remote.is_elsewhere(group):
            return None
        connections = server_info.connections - CONTROL_CONNECTIONS
        limits = ServerLimits(server_info.slots, connections)
        return self._directory.primary_share(group, limits, is_near=is_near)
