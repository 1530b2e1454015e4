"""Connection pool of one backend server, shared by the callers of one process."""

import threading
from collections import deque
from collections.abc import Callable
from typing import Generic

from dogwoodspool_common import BackendServer, Clock

from .closes import RecentCloses
from .const import DEMAND_WINDOW, PROBE_RESERVE
from .errors import PoolClosedError, PoolTimeoutError
from .eviction import EvictionOrder, LongestIdle
from .health import ConnectionHealth
from .models import PoolSettings
from .peak import Peak
from .pooled import ConnectionT, Connector
from .process_run import ProcessRun
from .waiter import Waiter


class ConnectionPool(Generic[ConnectionT]):
    """A bounded pool of connections to one backend server.

    The limit is this process's share of the server's connections and may change at any
    time; idle connections above it are closed at once, those in use on release. Callers
    are served in order of arrival.

    A connection is opened for one client account and never serves another. At the limit
    a caller whose account has no idle connection replaces an idle one, by default the
    one that has been idle the longest, so that no account can keep others waiting with
    idle connections.

    The server counts a closed connection until the close has arrived. If ``close_room``
    is set, the pool counts it as well, and a caller waits while the server might count
    more than the limit and that room.

    If the limit is two or more, one connection is reserved for probes, and probes are
    served before callers. Otherwise a server that hangs would occupy every connection
    with a statement that never ends. No probe could reach the server, and it would
    count as healthy until the statements' deadlines.

    An idle connection is checked before use if it has been idle for a while or if
    another connection to the server went silent since its last answer. The first failed
    check closes all suspected connections, so that a caller waits for one check and not
    for one check per silent connection.
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
        self._eviction: EvictionOrder = LongestIdle()
        self._lock = threading.Lock()
        self._idle: deque[ConnectionT] = deque()
        self._in_use = 0
        # Those in use that are open, by identity; the rest is being opened or closed.
        self._used: dict[int, ConnectionT] = {}
        self._probing = 0
        self._close_room = 0
        self._closes = RecentCloses(clock)
        self._waiters: deque[Waiter[ConnectionT]] = deque()
        self._health = ConnectionHealth(server, clock, settings)
        self._peak = Peak(clock, DEMAND_WINDOW)
        self._run = ProcessRun()
        self._keeps_last = False
        self._generation = 0
        self._is_unloaded = False

    @property
    def server(self) -> BackendServer:
        """The backend server."""
        return self._server

    @property
    def limit(self) -> int:
        """Maximum number of open connections."""
        with self._lock:
            return self._limit

    @property
    def caller_limit(self) -> int:
        """Connections that callers may hold at a time; the rest is for probes."""
        with self._lock:
            return self._caller_limit()

    @property
    def in_use(self) -> int:
        """Connections in use, including those being opened or closed."""
        with self._lock:
            return self._in_use

    @property
    def open_count(self) -> int:
        """Connections that are idle or in use."""
        with self._lock:
            return self._open_count()

    @property
    def close_room(self) -> int:
        """Closed connections that the server may count in addition to the limit."""
        with self._lock:
            return self._close_room

    @property
    def closing(self) -> int:
        """Closed connections that the server may still count."""
        with self._lock:
            return self._closes.count

    @property
    def waiting(self) -> int:
        """Callers that wait for a connection."""
        with self._lock:
            return len(self._waiters)

    @property
    def demand(self) -> int:
        """Connections that would have been used at the peak of the last second.

        This includes connections in use, waiting callers and the probe reserve.
        """
        with self._lock:
            self._peak.record(self._in_use + len(self._waiters))
            used = self._peak.value()
            return used + PROBE_RESERVE if used else 0

    def acquire(
        self,
        deadline: float,
        *,
        open_by: float | None = None,
        account: str = "",
        is_probe: bool = False,
        rank: Callable[[ConnectionT], float] | None = None,
    ) -> ConnectionT:
        """Acquire a connection for one caller, who must release it.

        Args:
            deadline: clock seconds until which the caller waits in the queue.
            open_by: clock seconds by which connecting and checking must end, by default
                the deadline. A caller that waited until shortly before the deadline
                still needs time to connect; without it, the server would wrongly be
                considered unreachable.
            account: client account that the connection must belong to.
            is_probe: whether this is a probe, which may use the reserved connection and
                those of any account, and is served before callers.
            rank: of several idle connections the one with the lowest rank is taken; of
                equal ones the one used last.

        Raises:
            PoolTimeoutError: no connection became free in time.
            ConnectFailedError: a new connection was needed and could not be opened.
        """
        usable_by = deadline if open_by is None else max(deadline, open_by)
        while True:
            waiter = Waiter[ConnectionT](self._lock, account, is_probe=is_probe)
            waiter.rank = rank
            self._wait_for_turn(waiter, deadline)
            connection = waiter.connection
            if connection is None:
                return self._open(waiter, usable_by)
            if self._health.is_usable(connection, usable_by):
                connection.used_at = self._clock.now()
                return connection
            if connection.went_silent:
                self._close_suspected()
            self._close(connection)

    @property
    def running_since(self) -> float | None:
        """Clock seconds since which the server's process is expected to have run.

        This is the least that the next answer over an open connection could show. One
        that is in use shows no more than the last answer of the server: whether it has
        ended is known only after its use. None without an open connection, whose end
        would show the end of the process.
        """
        with self._lock:
            known = [self._run.expected(one.running_since) for one in self._idle]
            known += [
                max(self._run.since, self._run.expected(one.running_since))
                for one in self._used.values()
            ]
            return min(known, default=None)

    def record_answer(self, connection: ConnectionT) -> float:
        """Record an answer over an acquired connection; return as ``running_since``.

        The time is that of the process which gave the answer.
        """
        with self._lock:
            since = self._run.record(connection.running_since, connection.used_at)
            connection.running_since = since
            return since

    def release(self, connection: ConnectionT, *, reuse: bool) -> None:
        """Return a connection to the pool; without ``reuse`` it is closed.

        A connection whose session state a statement may have changed is reset first, so
        that no state of one caller remains for the next.
        """
        self._health.record_silence(connection)
        if connection.answered_at > connection.used_at:
            self.record_answer(connection)
        is_current = connection.generation == self._generation
        if not reuse or not is_current or not self._health.reset_for_reuse(connection):
            self._close(connection)
            return
        with self._lock:
            self._in_use -= 1
            self._used.pop(id(connection), None)
            self._probing -= connection.is_probing
            connection.is_probing = False
            self._idle.append(connection)
            self._serve_waiters()
        self.close_expired()

    def set_limit(self, limit: int, *, close_room: int = 0) -> None:
        """Set the maximum number of open connections.

        Args:
            limit: the maximum number.
            close_room: closed connections that the server may still count in addition;
                0 if closed connections are not counted.
        """
        with self._lock:
            self._limit = max(0, limit)
            self._close_room = close_room
        self.close_expired()
        with self._lock:
            self._serve_waiters()

    def set_eviction(self, eviction: EvictionOrder) -> None:
        """Replace the rule by which idle connections are closed for other accounts."""
        with self._lock:
            self._eviction = eviction

    def set_keeps_last(self, keeps_last: bool) -> None:
        """Set whether one connection stays open however long it is idle.

        It is the one that shows for the longest time that the server's process runs.
        """
        with self._lock:
            self._keeps_last = keeps_last

    def update_settings(
        self, connector: Connector[ConnectionT], settings: PoolSettings
    ) -> None:
        """Use other settings from now on.

        Connections opened with the old settings are closed: idle ones at once, those in
        use on release.
        """
        with self._lock:
            self._connector = connector
            self._settings = settings
            self._generation += 1
        self._health.update_settings(settings)
        self.close_idle()

    def unload(self) -> None:
        """Close idle connections and refuse callers; those in use close on release."""
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
        """Close all idle connections; callers can still open new ones."""
        if not self._idle:
            return  # Checked without the lock: of many pools, most have none.
        with self._lock:
            closing = list(self._idle)
            self._idle.clear()
            self._in_use += len(closing)
        for connection in closing:
            self._close(connection)

    def close_expired(self) -> None:
        """Close idle connections above the limit and those idle for too long.

        Every release does this as well. It must also be called periodically, because an
        unused pool would otherwise keep the connections of its last burst of callers.
        """
        if not self._idle:
            return  # Checked without the lock: of many pools, most have none.
        with self._lock:
            kept = self._kept()
            closing: list[ConnectionT] = []
            for connection in self._idle:
                if connection is kept:
                    continue
                if not self._is_expired(connection, len(closing)):
                    break
                closing.append(connection)
            if kept is not None and self._is_excess(len(closing)):
                closing.append(kept)
            for connection in closing:
                self._idle.remove(connection)
            self._in_use += len(closing)
        for connection in closing:
            self._close(connection)

    def _open_count(self) -> int:
        return len(self._idle) + self._in_use

    def _caller_limit(self) -> int:
        return max(min(1, self._limit), self._limit - PROBE_RESERVE)

    def _wait_for_turn(self, waiter: Waiter[ConnectionT], deadline: float) -> None:
        """Wait until the waiter has a connection or may open one."""
        with self._lock:
            if waiter.is_probe:
                self._waiters.appendleft(waiter)
            else:
                self._waiters.append(waiter)
            self._eviction.record_use(waiter.account)
            self._peak.record(self._in_use + len(self._waiters))
            self._serve_waiters()
            while not waiter.is_served:
                remaining = deadline - self._clock.now()
                if self._is_unloaded or remaining <= 0:
                    self._waiters.remove(waiter)
                    break
                self._clock.wait(waiter.condition, self._closes.until_next(remaining))
                self._serve_waiters()
            if waiter.is_served:
                return
            if self._is_unloaded:
                raise PoolClosedError(
                    f"connection pool of {self._server.name} is closed"
                )
        raise PoolTimeoutError(
            f"no connection to {self._server.name} became free in time"
        )

    def _serve_waiters(self) -> None:
        """Serve the first waiters of the queue; the lock must be held."""
        while self._waiters and not self._is_unloaded:
            waiter = self._waiters[0]
            callers = self._in_use - self._probing
            if not waiter.is_probe and callers >= self._caller_limit():
                return
            waiter.connection = self._pop_idle(waiter)
            if waiter.connection is not None:
                waiter.connection.is_probing = waiter.is_probe
                self._used[id(waiter.connection)] = waiter.connection
            elif not self._make_room(waiter):
                # It may have begun to wait before the closes that leave no room.
                waiter.condition.notify_all()
                return
            self._in_use += 1
            self._probing += waiter.is_probe
            self._waiters.popleft()
            waiter.condition.notify_all()

    def _make_room(self, waiter: Waiter[ConnectionT]) -> bool:
        """Return whether a waiter may open a connection; an idle one may be evicted."""
        counted = self._open_count() + self._closes.count
        if self._close_room and counted >= self._limit + self._close_room:
            return False
        if self._open_count() < self._limit:
            waiter.may_open = True
        elif self._idle:
            kept = self._kept()
            others = [one for one in self._idle if one is not kept]
            waiter.evicted = self._eviction.choose(others or self._idle)
            self._idle.remove(waiter.evicted)
            self._record_close()
            waiter.may_open = True
        return waiter.may_open

    def _record_close(self) -> None:
        if self._close_room:
            self._closes.record()

    def _pop_idle(self, waiter: Waiter[ConnectionT]) -> ConnectionT | None:
        """Remove and return the best idle connection for a waiter, if there is one."""
        usable = [
            connection
            for connection in reversed(self._idle)
            if waiter.is_probe or connection.account == waiter.account
        ]
        if not usable:
            return None
        best = usable[0] if waiter.rank is None else min(usable, key=waiter.rank)
        self._idle.remove(best)
        return best

    def _open(self, waiter: Waiter[ConnectionT], deadline: float) -> ConnectionT:
        # The connection was counted in advance, so that no two callers open the last
        # one.
        bounded = min(deadline, self._clock.now() + self._settings.connect_timeout)
        generation = self._generation
        try:
            if waiter.evicted is not None:
                # Closed first, so that the server never counts both.
                waiter.evicted.close()
            connection = self._connector.connect(self._server, bounded, waiter.account)
        except BaseException:
            self._release_capacity(is_probe=waiter.is_probe)
            raise
        connection.account = waiter.account
        connection.is_probing = waiter.is_probe
        connection.generation = generation
        connection.running_since = connection.used_at = self._clock.now()
        with self._lock:
            self._used[id(connection)] = connection
        return connection

    def _close_suspected(self) -> None:
        with self._lock:
            closing = [c for c in self._idle if self._health.is_suspected(c)]
            for connection in closing:
                self._idle.remove(connection)
            self._in_use += len(closing)
        for connection in closing:
            self._close(connection)

    def _kept(self) -> ConnectionT | None:
        """Return the idle connection that stays open; the lock must be held.

        None if one in use shows as much.
        """
        if not self._keeps_last or not self._idle:
            return None
        kept = min(self._idle, key=lambda one: one.running_since)
        since = self._run.expected(kept.running_since)
        for one in self._used.values():
            if self._run.expected(one.running_since) <= since:
                return None
        return kept

    def _is_excess(self, closing: int) -> bool:
        """Return whether connections beyond those that close must close as well."""
        return self._is_unloaded or self._open_count() - closing > self._limit

    def _is_expired(self, connection: ConnectionT, closing: int) -> bool:
        """Return whether to close an idle connection, given how many others close."""
        open_count = self._open_count() - closing
        if self._is_excess(closing):
            return True
        expiry = self._settings.idle_expiry
        surplus_expiry = self._settings.surplus_expiry
        if open_count > 1 and surplus_expiry is not None and not connection.account:
            expiry = surplus_expiry
        return connection.answered_at < self._clock.now() - expiry

    def _close(self, connection: ConnectionT) -> None:
        # The capacity is released only after the close, so that the server never sees
        # more connections than the limit.
        with self._lock:
            self._used.pop(id(connection), None)
        try:
            connection.close()
        finally:
            with self._lock:
                self._record_close()
            self._release_capacity(is_probe=connection.is_probing)

    def _release_capacity(self, *, is_probe: bool) -> None:
        with self._lock:
            self._in_use -= 1
            self._probing -= is_probe
            self._serve_waiters()
