"""Wait until a replica has received a write, so that a failover cannot lose it."""

import threading

from dogwoodspool_backend import BackendConnection, BackendError, PoolTimeoutError
from dogwoodspool_common import BackendServer, Clock, Position, log_event
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_following import ProxyView, ViewStore
from dogwoodspool_routing import ServerTable
from dogwoodspool_sessions import is_covered

from .backends import Backend, BackendRegistry
from .const import ACK_IDLE_SECONDS, ACK_WAIT_SLICE_SECONDS, RETRY_PAUSE_SECONDS


class ReplicaAcks:
    """Confirm the writes of each group by one of its replicas.

    All waiting writes of a group share one connection to one replica, however many
    they are: connections are scarce, and a replica that has reached a later position
    has the earlier ones too.
    """

    def __init__(
        self,
        views: ViewStore,
        registry: BackendRegistry,
        table: ServerTable,
        clock: Clock,
    ) -> None:
        self._views = views
        self._table = table
        self._registry = registry
        self._clock = clock
        self._lock = threading.Lock()
        self._workers: dict[str, _ReplicaAckWorker] = {}

    def wait(self, group: str, position: Position, timeout: float) -> bool:
        """Wait until a replica has reached a position; return False on timeout."""
        return self._worker(group).wait(position, timeout)

    def unload(self) -> None:
        """Stop the workers of all groups."""
        with self._lock:
            workers = list(self._workers.values())
        for worker in workers:
            worker.unload()

    def _worker(self, group: str) -> "_ReplicaAckWorker":
        with self._lock:
            worker = self._workers.get(group)
            if worker is None:
                worker = _ReplicaAckWorker(
                    group, self._views, self._registry, self._table, self._clock
                )
                worker.set_up()
                self._workers[group] = worker
            return worker


class _ReplicaAckWorker:
    """Wait on one group's replicas while writes wait, one replica at a time."""

    def __init__(
        self,
        group: str,
        views: ViewStore,
        registry: BackendRegistry,
        table: ServerTable,
        clock: Clock,
    ) -> None:
        self._group = group
        self._table = table
        self._views = views
        self._registry = registry
        self._clock = clock
        self._changed = threading.Condition()
        self._waiting: list[Position] = []
        self._confirmed: Position | None = None
        self._is_stopped = False
        self._has_new_view = False
        self._candidate_index = 0
        self._primary = ""
        self._held: tuple[Backend, BackendConnection] | None = None
        self._thread = threading.Thread(
            target=self._run, name=f"replica-acks-{group}", daemon=True
        )

    def set_up(self) -> None:
        """Start the worker thread."""
        self._views.add_listener(self._on_view)
        self._thread.start()

    def unload(self) -> None:
        """Stop the worker thread and release its connection."""
        with self._changed:
            self._is_stopped = True
            self._changed.notify_all()
        self._thread.join()

    def wait(self, position: Position, timeout: float) -> bool:
        """Wait until a replica has reached a position; return False on timeout."""
        deadline = self._clock.now() + timeout
        with self._changed:
            self._waiting.append(position)
            self._changed.notify_all()
            try:
                while not self._is_confirmed(position):
                    remaining = deadline - self._clock.now()
                    if remaining <= 0 or self._is_stopped:
                        return False
                    self._clock.wait(self._changed, remaining)
                return True
            finally:
                self._waiting.remove(position)

    def _run(self) -> None:
        while True:
            target = self._next_target()
            if target is None:
                break
            try:
                if not self._await_replica(target):
                    self._candidate_index += 1
                    self._release_connection()
            except BackendError as error:
                if not isinstance(error, PoolTimeoutError):
                    log_event(
                        "replica_ack_failed",
                        level="DEBUG",
                        group=self._group,
                        error=error,
                    )
                self._candidate_index += 1
                self._release_connection()
                self._clock.sleep(RETRY_PAUSE_SECONDS / 2)
        self._release_connection()

    def _next_target(self) -> Position | None:
        """Return the lowest position that a write waits for; None once stopped."""
        with self._changed:
            while not self._is_stopped:
                if self._has_new_view:
                    self._has_new_view = False
                    self._release_connection()
                open_positions = [
                    position
                    for position in self._waiting
                    if not self._is_confirmed(position)
                ]
                if open_positions:
                    return min(open_positions)
                # With a share of one connection, the writer's next read waits for
                # this connection.
                self._release_connection()
                self._clock.wait(self._changed, ACK_IDLE_SECONDS)
            return None

    def _await_replica(self, target: Position) -> bool:
        """Wait on a replica for a position; return whether to keep using it."""
        connection = self._connection()
        if connection is None:
            self._clock.sleep(RETRY_PAUSE_SECONDS / 2)
            return False
        settings = self._views.settings(self._group)
        answer_timeout = settings.probe_timeout_ms / MILLISECONDS
        asked_at = self._clock.now()
        status = connection.wait_for(
            target, ACK_WAIT_SLICE_SECONDS, ACK_WAIT_SLICE_SECONDS + answer_timeout
        )
        # Lets the router send the writer's next read to this replica.
        self._table.record_status(status, asked_at)
        with self._changed:
            self._confirmed = status.position
            self._changed.notify_all()
            return self._is_confirmed(target)

    def _is_confirmed(self, position: Position) -> bool:
        state = self._views.view.groups.get(self._group)
        if self._confirmed is None or state is None:
            return False
        return is_covered(position, self._confirmed, state.term_starts)

    def _connection(self) -> BackendConnection | None:
        if self._held is not None:
            return self._held[1]
        candidates = self._candidates()
        if not candidates:
            return None
        server = candidates[self._candidate_index % len(candidates)]
        backend = self._registry.backend(server)
        deadline = self._clock.now() + ACK_WAIT_SLICE_SECONDS * 2
        self._held = backend, backend.pool.acquire(deadline, is_probe=True)
        return self._held[1]

    def _candidates(self) -> list[BackendServer]:
        """Return the group's replicas, those in other failure domains first.

        A replica in another failure domain survives the loss of the primary's whole
        failure domain.
        """
        view = self._views.view
        state = view.groups.get(self._group)
        if state is None:
            return []
        # Until a promotion has chosen a new primary, writes in flight at the previous
        # one still finish, and the release of the grant waits for them.
        self._primary = state.primary or self._primary
        primary = view.servers.get(self._primary)
        primary_domain = primary.failure_domain if primary else ""
        replicas = [
            server
            for server in view.servers.values()
            if server.group == self._group and server.name != self._primary
        ]
        return sorted(
            replicas,
            key=lambda server: (server.failure_domain == primary_domain, server.name),
        )

    def _on_view(self, _view: ProxyView) -> None:
        """Wake the worker, since its replica may have become the primary.

        The worker may hold this proxy's only connection to that server, and the first
        writes after a promotion would wait for it.
        """
        with self._changed:
            self._has_new_view = True
            self._changed.notify_all()

    def _release_connection(self) -> None:
        if self._held is None:
            return
        backend, connection = self._held
        self._held = None
        backend.pool.release(connection, reuse=connection.is_open)
