"""Connections to one backend server, shared by the callers of one process."""

import threading
from collections import deque
from typing import Final

from dogwoodspool_common import BackendServer, Clock, log_event

from .connection import BackendConnection
from .connector import Connector
from .const import DEMAND_WINDOW
from .errors import BackendError, PoolClosedError, PoolTimeoutError
from .models import PoolSettings
from .peak import Peak

NEVER: Final = float("-inf")


class _Waiter:
    """One caller in the queue, woken with a connection or with room for one."""

    def __init__(self, lock: threading.Lock) -> None:
        self.condition = threading.Condition(lock)
        self.connection: BackendConnection | None = None
        self.may_open = False

    @property
    def is_served(self) -> bool:
        """Tell whether the wait is over."""
        return self.may_open or self.connection is not None


class ConnectionPool:
    """Connections to one backend server, never more open than its limit.

    The limit is this process's share of the server's connections and may change
    at any time; idle connections above it are closed at once, those in use when
    they come back. Callers are served in the order in which they came.

    An idle connection is checked before its use when it has been idle for a while
    or when another connection to the server went silent since its last answer. The
    first check that fails drops every connection that is suspected: one caller
    waits for one check, not for one check per silent connection.
    """

    def __init__(
        self,
        server: BackendServer,
        connector: Connector,
        clock: Clock,
        settings: PoolSettings,
        limit: int,
    ) -> None:
        self._server = server
        self._connector = connector
        self._clock = clock
        self._settings = settings
        self._limit = limit
        self._lock = threading.Lock()
        self._idle: deque[BackendConnection] = deque()
        self._in_use = 0
        self._waiters: deque[_Waiter] = deque()
        self._silent_at = NEVER
        self._peak = Peak(clock, DEMAND_WINDOW)
        self._generation = 0
        self._is_unloaded = False

    @property
    def server(self) -> BackendServer:
        """The backend server."""
        return self._server

    @property
    def limit(self) -> int:
        """Connections that may be open."""
        with self._lock:
            return self._limit

    @property
    def in_use(self) -> int:
        """Connections that callers hold, those being opened included."""
        with self._lock:
            return self._in_use

    @property
    def open_count(self) -> int:
        """Connections that are open or being opened."""
        with self._lock:
            return self._open_count()

    @property
    def waiting(self) -> int:
        """Callers that wait for a connection."""
        with self._lock:
            return len(self._waiters)

    @property
    def demand(self) -> int:
        """Connections that would have been used at the peak of the last second."""
        with self._lock:
            return self._peak.value()

    def acquire(self, deadline: float) -> BackendConnection:
        """Return a connection for one caller; it must be released.

        Args:
            deadline: clock seconds; connecting and checking end by then, too.

        Raises:
            PoolTimeoutError: no connection came free in time.
            ConnectFailedError: a new connection was needed and did not come up.
        """
        while True:
            connection = self._take(deadline)
            if connection is None:
                return self._open(deadline)
            if self._is_usable(connection, deadline):
                return connection
            self._close(connection)

    def release(self, connection: BackendConnection, *, reuse: bool) -> None:
        """Take a connection back; without ``reuse`` it is closed.

        A connection on which a statement may have changed the session is reset
        first, so that nothing of one caller is left for the next.
        """
        if connection.went_silent:
            self._suspect()
        if not reuse or not self._make_clean(connection):
            self._close(connection)
            return
        with self._lock:
            is_kept = not self._is_unloaded and self._open_count() <= self._limit
            if is_kept:
                self._in_use -= 1
                self._idle.append(connection)
                self._serve_waiters()
        if not is_kept:
            self._close(connection)
        self._close_expired()

    def set_limit(self, limit: int) -> None:
        """Change how many connections may be open."""
        with self._lock:
            self._limit = max(0, limit)
        self._close_expired()
        with self._lock:
            self._serve_waiters()

    def change(self, connector: Connector, settings: PoolSettings) -> None:
        """Put other settings in force.

        Connections opened under the old ones are closed: idle ones at once, those
        in use when they come back.
        """
        with self._lock:
            self._connector = connector
            self._settings = settings
            self._generation += 1
            closing = list(self._idle)
            self._idle.clear()
            self._in_use += len(closing)
        for connection in closing:
            self._close(connection)

    def unload(self) -> None:
        """Close idle connections and refuse callers; held ones close on release."""
        with self._lock:
            self._is_unloaded = True
            closing = list(self._idle)
            self._idle.clear()
            waiters = list(self._waiters)
            for waiter in waiters:
                waiter.condition.notify_all()
        for connection in closing:
            connection.close()

    def _open_count(self) -> int:
        return len(self._idle) + self._in_use

    def _take(self, deadline: float) -> BackendConnection | None:
        """Take an idle connection, or the room for a new one (None)."""
        waiter = _Waiter(self._lock)
        with self._lock:
            self._waiters.append(waiter)
            self._peak.note(self._in_use + len(self._waiters))
            self._serve_waiters()
            while not waiter.is_served:
                remaining = deadline - self._clock.now()
                if self._is_unloaded or remaining <= 0:
                    self._waiters.remove(waiter)
                    break
                self._clock.wait(waiter.condition, remaining)
            if waiter.is_served:
                return waiter.connection
            if self._is_unloaded:
                raise PoolClosedError(f"pool of {self._server.name} is unloaded")
        raise PoolTimeoutError(f"no connection to {self._server.name} came free")

    def _serve_waiters(self) -> None:
        """Give what is free to the first callers of the queue; lock is held."""
        while self._waiters and not self._is_unloaded:
            if self._idle:
                self._waiters[0].connection = self._idle.pop()
            elif self._open_count() < self._limit:
                self._waiters[0].may_open = True
            else:
                return
            self._in_use += 1
            self._waiters.popleft().condition.notify_all()

    def _open(self, deadline: float) -> BackendConnection:
        # The room was counted before, so that no two callers open the last one.
        bounded = min(deadline, self._clock.now() + self._settings.connect_timeout)
        generation = self._generation
        try:
            connection = self._connector.connect(self._server, bounded)
        except BaseException:
            self._give_back_room()
            raise
        connection.generation = generation
        return connection

    def _is_usable(self, connection: BackendConnection, deadline: float) -> bool:
        if connection.has_unasked_input():
            return False
        now = self._clock.now()
        idle_for = now - connection.answered_at
        is_suspected = connection.answered_at <= self._silent_at
        if not is_suspected and idle_for < self._settings.check_after_idle:
            return True
        # A connection can go silent for good while new ones work: something
        # between the two ends has lost track of it. It shows only by the missing
        # answer, so the check comes before the caller's statement is sent, and the
        # statement can still go to another connection.
        timeout = min(self._settings.check_timeout, max(0.0, deadline - now))
        try:
            connection.ping(timeout)
        except BackendError as error:
            log_event(
                "backend_connection_silent", server=self._server.name, error=error
            )
            if connection.went_silent:
                self._suspect()
                self._drop_suspected()
            return False
        return True

    def _make_clean(self, connection: BackendConnection) -> bool:
        if not connection.is_open or connection.has_unread_answer:
            return False
        if connection.generation != self._generation:
            return False
        if not connection.needs_reset and not connection.in_transaction:
            return True
        try:
            connection.reset(self._settings.reset_timeout)
        except BackendError:
            if connection.went_silent:
                self._suspect()
            return False
        return True

    def _suspect(self) -> None:
        with self._lock:
            self._silent_at = self._clock.now()

    def _drop_suspected(self) -> None:
        with self._lock:
            closing = [c for c in self._idle if c.answered_at <= self._silent_at]
            for connection in closing:
                self._idle.remove(connection)
            self._in_use += len(closing)
        for connection in closing:
            self._close(connection)

    def _close_expired(self) -> None:
        """Close idle connections above the limit and those idle for too long."""
        with self._lock:
            oldest = self._clock.now() - self._settings.idle_expiry
            closing = []
            while self._idle and (
                self._open_count() > self._limit or self._idle[0].answered_at < oldest
            ):
                closing.append(self._idle.popleft())
                self._in_use += 1
        for connection in closing:
            self._close(connection)

    def _close(self, connection: BackendConnection) -> None:
        # The room is given back only after the close, so that the server never
        # sees one connection more than the limit.
        try:
            connection.close()
        finally:
            self._give_back_room()

    def _give_back_room(self) -> None:
        with self._lock:
            self._in_use -= 1
            self._serve_waiters()
