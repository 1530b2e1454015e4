"""Find out whether servers that gave trouble can be reached."""

import threading
from concurrent.futures import ThreadPoolExecutor

from dogwoodspool_common import BackendServer, Clock, log_event
from dogwoodspool_connections import BackendError, ServerDownError
from dogwoodspool_following import Coordinator, ViewStore
from dogwoodspool_routing import ServerTable

from .const import RECOVERY_PROBE_SECONDS, RECOVERY_THREADS
from .registry import BackendRegistry


class RecoveryProber(Coordinator):
    """Try to connect to servers in trouble until they take a connection again.

    Servers that work are not probed: their answers to requests say enough.
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
        # How often each was suspected since it was last found well.
        self._suspected: dict[str, int] = {}
        self._executor = ThreadPoolExecutor(RECOVERY_THREADS, "recovery-probe")

    def suspect(self, server: str) -> None:
        """Try a server at once, or once more where it is being tried.

        A failure that comes in while a probe finds the server well may be noted after
        the probe's end: without another probe it would stand for good, since a server
        that counts as failing gets no statements that could show it works.
        """
        with self._lock:
            is_new = server not in self._suspected
            self._suspected[server] = self._suspected.get(server, 0) + 1
        if is_new:
            self.wake()

    def step(self) -> float:
        """Try every server in trouble once."""
        with self._lock:
            suspected = dict(self._suspected)
        servers = self._views.view.servers
        unknown = suspected.keys() - servers.keys()
        known = [servers[name] for name in sorted(suspected.keys() & servers.keys())]
        reached = self._executor.map(self._try, known)
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

    def _try(self, server: BackendServer) -> bool:
        pool = self._registry.backend(server).pool
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
        pool.release(connection, reuse=True)
        self._table.record_reachable(server.name)
        log_event("server_reachable", server=server.name)
        return True
