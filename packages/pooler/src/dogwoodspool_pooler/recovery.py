"""Probe servers that failed or are suspected until they can be reached."""

import threading
from concurrent.futures import ThreadPoolExecutor

from dogwoodspool_common import BackendServer, Clock, log_event
from dogwoodspool_connections import BackendError, ServerDownError
from dogwoodspool_following import Coordinator, ViewStore
from dogwoodspool_routing import ServerTable

from .const import RECOVERY_PROBE_SECONDS, RECOVERY_THREADS
from .registry import BackendRegistry


class RecoveryProber(Coordinator):
    """Probe suspected servers until they accept a connection again.

    Healthy servers are not probed: their replies to requests are evidence enough.
    """

    def __init__(
        self,
        views: ViewStore,
        registry: BackendRegistry,
        table: ServerTable,
        clock: Clock,
    ) -> None:
        super().__init__("recovery-probe", clock)
        self._views = views
        self._registry = registry
        self._table = table
        self._lock = threading.Lock()
        # How often each server was suspected since it was last found reachable.
        self._suspected: dict[str, int] = {}
        self._executor = ThreadPoolExecutor(RECOVERY_THREADS, "recovery-probe")

    def suspect(self, server: str) -> None:
        """Probe a server at once, or once more if it is being probed already.

        A failure that occurs while a probe succeeds may be recorded after the probe has
        ended. Without another probe it would stay recorded for good: a server that
        counts as failing gets no statements that could show that it works.
        """
        with self._lock:
            is_new = server not in self._suspected
            self._suspected[server] = self._suspected.get(server, 0) + 1
        if is_new:
            self.wake()

    def step(self) -> float:
        """Probe every suspected server once."""
        with self._lock:
            suspected = dict(self._suspected)
        servers = self._views.view.servers
        unknown = suspected.keys() - servers.keys()
        known = [servers[name] for name in sorted(suspected.keys() & servers.keys())]
        reached = self._executor.map(self._probe, known)
        ended = {
            server.name
            for server, is_reached in zip(known, reached, strict=True)
            if is_reached
        }
        with self._lock:
            for name in unknown | ended:
                if self._suspected[name] == suspected[name]:
                    del self._suspected[name]
        return RECOVERY_PROBE_SECONDS

    def _probe(self, server: BackendServer) -> bool:
        backend = self._registry.backend(server)
        pool = backend.pool
        deadline = self._clock.now() + RECOVERY_PROBE_SECONDS
        try:
            connection = pool.acquire(deadline, is_probe=True)
        except BackendError as error:
            if error.is_sign_of_life:
                self._table.record_reachable(server.name)
                return True
            if not error.suggests_unreachable:
                return False
            is_down = isinstance(error, ServerDownError)
            self._table.record_failure(server.name, is_down=is_down)
            log_event("server_unreachable", server=server.name, reason=error)
            return False
        pool.release(connection, reuse=backend.turns.wait() <= 0)
        self._table.record_reachable(server.name)
        log_event("server_reachable", server=server.name)
        return True
