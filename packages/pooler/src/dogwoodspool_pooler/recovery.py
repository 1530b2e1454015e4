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
        self._suspected: set[str] = set()
        self._executor = ThreadPoolExecutor(RECOVERY_THREADS, "recovery-probe")

    def suspect(self, server: str) -> None:
        """Try a server at once."""
        with self._lock:
            if server in self._suspected:
                return
            self._suspected.add(server)
        self.wake()

    def step(self) -> float:
        """Try every server in trouble once."""
        with self._lock:
            suspected = set(self._suspected)
        servers = self._views.view.servers
        unknown = suspected - servers.keys()
        known = [servers[name] for name in sorted(suspected & servers.keys())]
        reached = self._executor.map(self._try, known)
        ended = {
            server.name
            for server, is_reached in zip(known, reached, strict=True)
            if is_reached
        }
        with self._lock:
            self._suspected -= unknown | ended
        return RECOVERY_PROBE_SECONDS

    def _try(self, server: BackendServer) -> bool:
        pool = self._registry.backend(server).pool
        deadline = self._clock.now() + RECOVERY_PROBE_SECONDS
        try:
            connection = pool.acquire(deadline, is_probe=True)
        except BackendError as error:
            if error.is_sign_of_life:
                self._table.note_reachable(server.name)
                return True
            if not error.suggests_unreachable:
                return False
            is_down = isinstance(error, ServerDownError)
            self._table.note_failure(server.name, is_down=is_down)
            log_event("server_unreachable", server=server.name, reason=error)
            return False
        pool.release(connection, reuse=True)
        self._table.note_reachable(server.name)
        log_event("server_reachable", server=server.name)
        return True
