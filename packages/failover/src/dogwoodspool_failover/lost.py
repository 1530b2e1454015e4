"""Record the end of servers that have ended without announcing it."""

import threading
from collections.abc import Iterator
from dataclasses import replace

from dogwoodspool_common import BackendServer, Phase, log_event
from dogwoodspool_common.const import MILLISECONDS, NEVER
from dogwoodspool_control.commands import Command, RecordServer

from .const import (
    CHECKS_PER_TICK,
    HEARTBEAT_SILENCE,
    LOST_CHECK_SECONDS,
    PROBE_TIMEOUT,
    REFUSED_END_SECONDS,
    REFUSING_SECONDS,
)
from .dependencies import ChangeDependencies
from .errors import ServerCallError, ServerRefusingError
from .reports import ReportTracker


class LostServers:
    """Find servers that send no heartbeats and at whose address nothing listens.

    A change of primary bears one missing member. A server that has ended without a word
    is therefore recorded as ended while its group has a primary, which can then be
    asked what it had; see ``Departures``. Its record lets it return.

    A cut between failure domains may refuse connections too. Besides the leader, a
    proxy of the server's own failure domain has to be refused.
    """

    def __init__(
        self, dependencies: ChangeDependencies, reports: ReportTracker
    ) -> None:
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._reports = reports
        self._lock = threading.Lock()
        self._checked_at = NEVER
        # By name and incarnation: since when the leader has been refused.
        self._refused_since: dict[tuple[str, int], float] = {}
        self._in_flight: set[tuple[str, int]] = set()

    def reset(self) -> None:
        """Discard all observations at the start of a leadership."""
        with self._lock:
            self._refused_since.clear()
            self._checked_at = NEVER

    def due_commands(self) -> Iterator[Command]:
        """Yield the commands that are due now; ask some servers."""
        now = self._clock.now()
        if now - self._checked_at < LOST_CHECK_SECONDS:
            return
        self._checked_at = now
        suspected = [
            one
            for one in self._dependencies.state.servers.values()
            if self._is_suspected(one)
        ]
        self._keep_only(suspected)
        for server in suspected:
            if self._refused_for(server) >= REFUSED_END_SECONDS:
                self._log(server)
                yield RecordServer(replace(server, is_gone=True))
            else:
                self._ask_later(server)

    def _is_suspected(self, server: BackendServer) -> bool:
        """Tell whether a replica of a steady group is silent and refuses proxies."""
        group = self._dependencies.state.group(server.group)
        if server.is_gone or group is None or group.phase is not Phase.STEADY:
            return False
        if group.primary in (None, server.name):
            return False
        if self._dependencies.heartbeats.silence(server.name) < HEARTBEAT_SILENCE:
            return False
        return any(
            one.failure_domain == server.failure_domain
            and one.report.refusing_ms / MILLISECONDS >= REFUSING_SECONDS
            for one in self._reports.reporters(server.name)
        )

    def _keep_only(self, suspected: list[BackendServer]) -> None:
        keys = {(one.name, one.incarnation) for one in suspected}
        with self._lock:
            self._refused_since = {
                key: since for key, since in self._refused_since.items() if key in keys
            }

    def _refused_for(self, server: BackendServer) -> float:
        key = server.name, server.incarnation
        with self._lock:
            since = self._refused_since.get(key)
            is_asked = key in self._in_flight
        return 0.0 if since is None or is_asked else self._clock.now() - since

    def _ask_later(self, server: BackendServer) -> None:
        key = server.name, server.incarnation
        with self._lock:
            if key in self._in_flight or len(self._in_flight) >= CHECKS_PER_TICK:
                return
            self._in_flight.add(key)
        self._dependencies.executor.submit(self._ask, server)

    def _ask(self, server: BackendServer) -> None:
        key = server.name, server.incarnation
        is_refusing = False
        try:
            self._dependencies.servers.status(server, PROBE_TIMEOUT)
        except ServerRefusingError:
            is_refusing = True
        except ServerCallError as error:
            log_event("server_call_failed", server=server.name, reason=error)
        finally:
            with self._lock:
                self._in_flight.discard(key)
                if is_refusing:
                    self._refused_since.setdefault(key, self._clock.now())
                else:
                    self._refused_since.pop(key, None)

    def _log(self, server: BackendServer) -> None:
        log_event(
            "server_lost",
            level="WARNING",
            group=server.group,
            server=server.name,
            incarnation=server.incarnation,
            silent=round(self._dependencies.heartbeats.silence(server.name), 3),
            refused=round(self._refused_for(server), 3),
        )
