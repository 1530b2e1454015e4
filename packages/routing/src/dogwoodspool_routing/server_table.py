"""The proxy's table of backend servers."""

import threading
from collections.abc import Iterable

from dogwoodspool_api import Announcement, Observation, StatusMessage
from dogwoodspool_common import BackendServer, Clock, ServerStatus
from dogwoodspool_common.const import LEAVING_GRACE_SECONDS, MILLISECONDS, NEVER

from .const import DEFAULT_ANNOUNCEMENT_EXPIRY
from .group_latencies import GroupLatencies
from .models import ServerView
from .server_record import ServerRecord


class ServerTable:
    """State of all backend servers as known to one proxy.

    It is updated by the objects that follow control's view, receive announcements,
    probe servers and run statements; all others only read it. Servers come from
    control's view and from announcements that are not older than the expiry, so that
    a failure domain that is disconnected from control still knows its own servers.

    Args:
        announcement_expiry: seconds after which an announcement is dropped.
        leaving_grace: seconds for which a leaving primary still gets new work.
    """

    def __init__(
        self,
        clock: Clock,
        announcement_expiry: float = DEFAULT_ANNOUNCEMENT_EXPIRY,
        leaving_grace: float = LEAVING_GRACE_SECONDS,
    ) -> None:
        self._clock = clock
        self._announcement_expiry = announcement_expiry
        self._leaving_grace = leaving_grace
        self._lock = threading.Lock()
        self._records: dict[str, ServerRecord] = {}
        self._latencies = GroupLatencies()
        self._announcements: dict[str, Announcement] = {}

    def servers(self, group: str | None = None) -> list[ServerView]:
        """Return the servers of a group, or all servers, ordered by name."""
        with self._lock:
            self._drop_expired()
            now = self._clock.now()
            return [
                self._view(record, now)
                for _name, record in sorted(self._records.items())
                if group is None or record.server.group == group
            ]

    def get(self, name: str) -> ServerView | None:
        """Return one server, or None if it is not known."""
        with self._lock:
            self._drop_expired()
            record = self._records.get(name)
            return None if record is None else self._view(record, self._clock.now())

    def answered_outside(self, failure_domain: str) -> float:
        """Return when a server outside a failure domain last answered."""
        with self._lock:
            return max(
                (
                    record.answered_at
                    for record in self._records.values()
                    if record.server.failure_domain != failure_domain
                ),
                default=NEVER,
            )

    def failing_groups(self) -> set[str]:
        """Return the groups of servers whose last attempt failed."""
        with self._lock:
            return {
                record.server.group
                for record in self._records.values()
                if record.is_failing
            }

    def observations(self) -> list[Observation]:
        """Return this proxy's observations of the servers it has tried to reach."""
        with self._lock:
            self._drop_expired()
            now = self._clock.now()
            return [
                _observation(name, record, now)
                for name, record in sorted(self._records.items())
                if record.status is not None or record.is_failing
            ]

    def announcements(self) -> list[Announcement]:
        """Return the announcements that have not expired."""
        with self._lock:
            self._drop_expired()
            return [self._announcements[name] for name in sorted(self._announcements)]

    def adopt_committed(self, servers: Iterable[BackendServer]) -> None:
        """Replace the committed servers by those of control's newest view."""
        with self._lock:
            committed = {server.name: server for server in servers}
            for name, server in committed.items():
                self._drop_replaced(name, server)
                self._record(name).committed = server
            for name, record in self._records.items():
                if name not in committed:
                    record.committed = None
                record.record_description(self._clock.now())
            self._drop_expired()

    def record_announcement(self, announcement: Announcement) -> None:
        """Record an announcement of a server of this proxy's failure domain."""
        with self._lock:
            record = self._record(announcement.server)
            record.announced = announcement.backend_server()
            record.announced_at = self._clock.now()
            record.record_description(self._clock.now())
            self._announcements[announcement.server] = announcement

    def record_status(self, status: ServerStatus, asked_at: float) -> None:
        """Record a server's status.

        Args:
            status: the status that the server reported.
            asked_at: clock seconds taken before the request was sent: the server may
                have determined the status at any moment after it.
        """
        with self._lock:
            record = self._records.get(status.server)
            if record is None:
                return
            record.record_answer(self._clock.now())
            # Answers on two connections may arrive out of order.
            if record.status is None or asked_at >= record.asked_at:
                record.status, record.asked_at = status, asked_at
                record.record_description(self._clock.now())

    def record_failure(self, name: str, *, is_down: bool = False) -> None:
        """Record that a server could not be reached; a full pool is no failure.

        Args:
            name: the server.
            is_down: whether its machine refused the connection.
        """
        with self._lock:
            if name in self._records:
                self._records[name].record_failure(self._clock.now(), is_down=is_down)

    def record_reachable(self, name: str) -> None:
        """Record that a server answered, whether with a result or with an error."""
        with self._lock:
            if name in self._records:
                self._records[name].record_answer(self._clock.now())

    def begin(self, name: str) -> None:
        """Record that a statement is sent to a server."""
        with self._lock:
            if name in self._records:
                record = self._records[name]
                record.set_in_flight(record.in_flight + 1, self._clock.now())

    def end(self, name: str, latency: float | None, *, is_answered: bool) -> None:
        """Record that a statement ended, after ``begin``.

        Args:
            name: the server.
            latency: seconds that the server worked; None if it did no work, for
                example when it refused the statement.
            is_answered: whether a complete answer came.
        """
        with self._lock:
            record = self._records.get(name)
            if record is None:
                return
            record.set_in_flight(record.in_flight - 1, self._clock.now())
            if is_answered:
                record.record_answer(self._clock.now())
            if is_answered and latency is not None:
                group = record.server.group
                untried = self._latencies.untried(group)
                average = record.record_latency(latency, untried, self._clock.now())
                self._latencies.record(group, name, average)

    def _record(self, name: str) -> ServerRecord:
        if name not in self._records:
            self._records[name] = ServerRecord(known_at=self._clock.now())
        return self._records[name]

    def _drop_replaced(self, name: str, server: BackendServer) -> None:
        """Forget what is known of a server's earlier process.

        Failures, latencies and positions of a process that ended say nothing about the
        one that started under the same name.
        """
        known = self._records.get(name)
        if known is None or known.committed is None:
            return
        if known.committed.incarnation != server.incarnation:
            self._latencies.forget(name)
            self._records[name] = ServerRecord(
                known_at=self._clock.now(),
                announced=known.announced,
                announced_at=known.announced_at,
            )

    def _view(self, record: ServerRecord, now: float) -> ServerView:
        untried = self._latencies.untried(record.server.group)
        return ServerView(
            server=record.server,
            status=record.status,
            elapsed_ms=(now - record.asked_at) * MILLISECONDS,
            leaving_for=record.leaving_for(now),
            is_failing=record.is_failing,
            latency=record.latency(untried, now),
            in_flight=record.in_flight,
            load=record.load(now),
            is_past_grace=record.is_past_grace(now, self._leaving_grace),
        )

    def _drop_expired(self) -> None:
        oldest = self._clock.now() - self._announcement_expiry
        for name, record in list(self._records.items()):
            if record.announced is not None and record.announced_at < oldest:
                record.announced = None
                self._announcements.pop(name, None)
            if record.announced is None and record.committed is None:
                self._latencies.forget(name)
                del self._records[name]


def _observation(name: str, record: ServerRecord, now: float) -> Observation:
    status = None if record.status is None else StatusMessage.of(record.status)
    unreachable_ms = record.unreachable(now) * MILLISECONDS
    return Observation(
        server=name,
        unreachable_ms=unreachable_ms,
        down_ms=record.down(now) * MILLISECONDS,
        status=status,
    )
