"""Tell whether servers that have announced their end have ended."""

import threading
from collections.abc import Iterable

from dogwoodspool_common import BackendServer, log_event

from .const import MAX_ENDED_KNOWN, SERVER_CALL_TIMEOUT, SILENT_END_SECONDS
from .dependencies import ChangeDependencies
from .errors import ServerCallError, ServerRefusingError


class EndedServers:
    """Ask servers whose end is recorded whether they still run.

    A server whose last message got no answer goes on for some seconds, receives the
    primary's writes and confirms them. It has ended once nothing listens at its
    address, or another server does, or it has been silent for long.

    A server that did not announce its end may return, so it is asked each time, and
    silence is no sign of its end.
    """

    def __init__(self, dependencies: ChangeDependencies) -> None:
        self._dependencies = dependencies
        self._lock = threading.Lock()
        self._ended: set[tuple[str, int]] = set()
        self._silent_since: dict[tuple[str, int], float] = {}

    def has_ended(self, server: BackendServer) -> bool:
        """Return whether a server has ended for good; may ask it."""
        if not server.is_gone:
            return False
        if not server.is_leaving:
            return self._is_refusing(server)
        key = server.name, server.incarnation
        with self._lock:
            if key in self._ended:
                return True
        if not self._is_over(server, key):
            return False
        with self._lock:
            if len(self._ended) >= MAX_ENDED_KNOWN:
                self._ended.clear()
            self._ended.add(key)
            self._silent_since.pop(key, None)
        return True

    def ask(self, servers: Iterable[BackendServer]) -> None:
        """Ask those whose end is recorded in the background."""
        for server in servers:
            if server.is_gone:
                self._dependencies.executor.submit(self.has_ended, server)

    def names(self, servers: Iterable[BackendServer]) -> tuple[tuple[str, int], ...]:
        """Return name and incarnation of those that are known to have ended."""
        keys = [(one.name, one.incarnation) for one in servers if one.is_gone]
        with self._lock:
            return tuple(key for key in keys if key in self._ended)

    def _is_refusing(self, server: BackendServer) -> bool:
        try:
            self._dependencies.servers.status(server, SERVER_CALL_TIMEOUT)
        except ServerRefusingError:
            return True
        except ServerCallError as error:
            log_event("server_call_failed", server=server.name, reason=error)
        return False

    def _is_over(self, server: BackendServer, key: tuple[str, int]) -> bool:
        now = self._dependencies.clock.now()
        try:
            self._dependencies.servers.status(server, SERVER_CALL_TIMEOUT)
        except ServerRefusingError:
            return True
        except ServerCallError:
            with self._lock:
                since = self._silent_since.setdefault(key, now)
            return now - since >= SILENT_END_SECONDS
        log_event("ended_server_answers", server=server.name)
        with self._lock:
            self._silent_since.pop(key, None)
        return False
