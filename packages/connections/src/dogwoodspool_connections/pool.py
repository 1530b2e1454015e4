"""Connections to one backend server, shared by the callers of one process."""

import threading
from collections import deque
from collections.abc import Callable
from typing import Generic

from dogwoodspool_common import BackendServer, Clock

from .const import DEMAND_WINDOW, PROBE_RESERVE
from .errors import PoolClosedError, PoolTimeoutError
from .health import ConnectionHealth
from .models import PoolSettings
from .peak import Peak
from .pooled import ConnectionT, Connector
from .waiter import Waiter


class ConnectionPool(Generic[ConnectionT]):
    """Connections to one backend server, never more open than its limit.

    The limit is this process's share of the server's connections and may change
    at any time; idle connections above it are closed at once, those in use when
    they come back. Callers are served in the order in which they came.

    Where the limit is two or more, callers leave one connection to probes, and
    probes go before callers. Else a server that stands still would hold every
    connection with a statement that never ends, no probe could ask it, and it would
    count as healthy until the statements' deadlines.

    An idle connection is checked before its use when it has been idle for a while
    or when another connection to the server went silent since its last answer. The
    first check that fails drops every connection that is suspected: one caller
    waits for one check, not for one check per silent connection.
    """

    def __init__(
        self,
        server: BackendServer,
        connector: Connector[ConnectionT],
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
        self._idle: deque[ConnectionT] = deque()
        self._in_use = 0
        self._probing = 0
        self._waiters: deque[Waiter[ConnectionT]] = deque()
        self._health = ConnectionHealth(server, clock, settings)
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
    def caller_limit(self) -> int:
        """Connections that callers may hold at a time; the rest is for probes."""
        with self._lock:
            return self._caller_limit()

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
        """Connections that would have been used at the peak of the last second.

        Callers and those who waited count, and what they leave to probes.
        """
        with self._lock:
            self._peak.note(self._in_use + len(self._waiters))
            used = self._peak.value()
            return used + PROBE_RESERVE if used else 0

    def acquire(
        self,
        deadline: float,
        *,
        open_by: float | None = None,
        is_probe: bool = False,
        rank: Callable[[ConnectionT], int] | None = None,
    ) -> ConnectionT:
        """Return a connection for one caller; it must be released.

        Args:
            deadline: clock seconds until which the caller waits for its turn.
            open_by: clock seconds at which connecting and checking end; without it
                the deadline. A caller whose turn comes late needs some time for
                them, and one that had none would take the server for unreachable.
            is_probe: a short question that may take the connection that callers
                leave, and goes before them.
            rank: of several idle connections the one with the lowest rank is
                taken, of equal ones the one used last.

        Raises:
            PoolTimeoutError: no connection came free in time.
            ConnectFailedError: a new connection was needed and did not come up.
        """
        usable_by = deadline if open_by is None else max(deadline, open_by)
        while True:
            connection = self._take(deadline, is_probe=is_probe, rank=rank)
            if connection is None:
                return self._open(usable_by, is_probe=is_probe)
            if self._health.is_usable(connection, usable_by):
                return connection
            if connection.went_silent:
                self._drop_suspected()
            self._close(connection)

    def release(self, connection: ConnectionT, *, reuse: bool) -> None:
        """Take a connection back; without ``reuse`` it is closed.

        A connection on which a statement may have changed the session is reset
        first, so that nothing of one caller is left for the next.
        """
        self._health.note(connection)
        is_current = connection.generation == self._generation
        if not reuse or not is_current or not self._health.reset_for_reuse(connection):
            self._close(connection)
            return
        with self._lock:
            self._in_use -= 1
            self._probing -= connection.is_probing
            connection.is_probing = False
            self._idle.append(connection)
            self._serve_waiters()
        self.close_expired()

    def set_limit(self, limit: int) -> None:
        """Change how many connections may be open."""
        with self._lock:
            self._limit = max(0, limit)
        self.close_expired()
        with self._lock:
            self._serve_waiters()

    def update_settings(
        self, connector: Connector[ConnectionT], settings: PoolSettings
    ) -> None:
        """Put other settings in force.

        Connections opened under the old ones are closed: idle ones at once, those
        in use when they come back.
        """
        with self._lock:
            self._connector = connector
            self._settings = settings
            self._generation += 1
        self._health.update_settings(settings)
        self.close_idle()

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

    def close_idle(self) -> None:
        """Close all idle connections; callers may go on to open others."""
        if not self._idle:
            return  # Looked at without the lock: most pools of many have none.
        with self._lock:
            closing = list(self._idle)
            self._idle.clear()
            self._in_use += len(closing)
        for connection in closing:
            self._close(connection)

    def close_expired(self) -> None:
        """Close idle connections above the limit and those idle for too long.

        The end of a caller's use does so as well; a pool that is not used for a while
        would keep what its last burst of callers has left.
        """
        if not self._idle:
            return  # Looked at without the lock: most pools of many have none.
        with self._lock:
            closing: list[ConnectionT] = []
            while self._idle and self._is_expired(self._idle[0], len(closing)):
                closing.append(self._idle.popleft())
                self._in_use += 1
        for connection in closing:
            self._close(connection)

    def _open_count(self) -> int:
        return len(self._idle) + self._in_use

    def _caller_limit(self) -> int:
        return max(min(1, self._limit), self._limit - PROBE_RESERVE)

    def _take(
        self,
        deadline: float,
        *,
        is_probe: bool,
        rank: Callable[[ConnectionT], int] | None,
    ) -> ConnectionT | None:
        """Take an idle connection, or the room for a new one (None)."""
        waiter = Waiter[ConnectionT](self._lock, is_probe=is_probe)
        waiter.rank = rank
        with self._lock:
            if is_probe:
                self._waiters.appendleft(waiter)
            else:
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
            waiter = self._waiters[0]
            callers = self._in_use - self._probing
            if not waiter.is_probe and callers >= self._caller_limit():
                return
            if self._idle:
                waiter.connection = self._pop_idle(waiter.rank)
                waiter.connection.is_probing = waiter.is_probe
            elif self._open_count() < self._limit:
                waiter.may_open = True
            else:
                return
            self._in_use += 1
            self._probing += waiter.is_probe
            self._waiters.popleft()
            waiter.condition.notify_all()

    def _pop_idle(self, rank: Callable[[ConnectionT], int] | None) -> ConnectionT:
        if rank is None:
            return self._idle.pop()
        best = min(reversed(self._idle), key=rank)
        self._idle.remove(best)
        return best

    def _open(self, deadline: float, *, is_probe: bool) -> ConnectionT:
        # The room was counted before, so that no two callers open the last one.
        bounded = min(deadline, self._clock.now() + self._settings.connect_timeout)
        generation = self._generation
        try:
            connection = self._connector.connect(self._server, bounded)
        except BaseException:
            self._give_back_room(is_probe=is_probe)
            raise
        connection.is_probing = is_probe
        connection.generation = generation
        return connection

    def _drop_suspected(self) -> None:
        with self._lock:
            closing = [c for c in self._idle if self._health.is_suspected(c)]
            for connection in closing:
                self._idle.remove(connection)
            self._in_use += len(closing)
        for connection in closing:
            self._close(connection)

    def _is_expired(self, connection: ConnectionT, closing: int) -> bool:
        """Tell whether an idle connection is to be closed after some others."""
        open_count = self._open_count() - closing
        if self._is_unloaded or open_count > self._limit:
            return True
        expiry = self._settings.idle_expiry
        if open_count > 1 and self._settings.surplus_expiry is not None:
            expiry = self._settings.surplus_expiry
        return connection.answered_at < self._clock.now() - expiry

    def _close(self, connection: ConnectionT) -> None:
        # The room is given back only after the close, so that the server never
        # sees one connection more than the limit.
        try:
            connection.close()
        finally:
            self._give_back_room(is_probe=connection.is_probing)

    def _give_back_room(self, *, is_probe: bool) -> None:
        with self._lock:
            self._in_use -= 1
            self._probing -= is_probe
            self._serve_waiters()
