"""Pull the log of the followed primary and apply it."""

import sqlite3
import threading
from collections import deque
from dataclasses import dataclass
from typing import Protocol

import pymysql
from dogwoodspool_common import Clock, DogwoodspoolError, Position, log_event
from dogwoodspool_common.const import MILLISECONDS

from . import const
from .errors import ReplicationError, StatementError
from .faults import FaultSwitches
from .log_source import LogSource
from .member import GroupMember
from .models import Link, LogBatch, LogEntry
from .storage import Storage, StorageConnection


class CallerConnections(Protocol):
    """Connections of callers; none may be open while rows are dropped."""

    def begin_rebuilding(self) -> None:
        """Drop all connections and refuse new ones."""
        ...

    def end_rebuilding(self) -> None:
        """Accept callers again."""
        ...


@dataclass(frozen=True, slots=True)
class PendingBatch:
    """Pulled entries whose application is delayed to simulate lag.

    Attributes:
        received: monotonic time at which they were received.
        fresh_at: a time at which the source had no entry after these; None if
            the source had more entries.
    """

    received: float
    entries: tuple[LogEntry, ...]
    fresh_at: float | None


class Replicator:
    """Keep this server's log a prefix of its primary's log.

    One thread follows the current link. A failed link is reopened with backoff;
    each wait is bounded.

    Args:
        member: this server.
        storage: rows and log of this server.
        callers: connections of callers, closed while rows are dropped.
        faults: the injected faults.
        shared_key: password with which replicas log in.
        failure_domain: failure domain of this server.
        clock: the runtime's clock.
    """

    def __init__(
        self,
        *,
        member: GroupMember,
        storage: Storage,
        callers: CallerConnections,
        faults: FaultSwitches,
        shared_key: str,
        failure_domain: str,
        clock: Clock,
    ) -> None:
        self._member = member
        self._storage = storage
        self._callers = callers
        self._faults = faults
        self._shared_key = shared_key
        self._failure_domain = failure_domain
        self._clock = clock
        self._connection: StorageConnection | None = None
        self._source: LogSource | None = None
        self._backoff = const.REPLICATION_FIRST_BACKOFF
        self._pending: deque[PendingBatch] = deque()
        self._stopped = threading.Event()
        self._woken = threading.Event()
        self._thread = threading.Thread(target=self._run, name="replication")
        self._thread.daemon = True

    def set_up(self) -> None:
        """Start replication."""
        self._thread.start()

    def unload(self) -> None:
        """Stop replication."""
        self._stopped.set()
        self.link_changed()
        self._thread.join(const.STOP_TIMEOUT)

    def link_changed(self) -> None:
        """Switch to the current link at once.

        Otherwise a pull from an unresponsive primary, or the backoff after a
        failure, would first run to its end, and the replica would receive the
        first write of the new primary that much later, while the caller of that
        write may be waiting for exactly this replica.
        """
        source = self._source
        if source is not None:
            source.interrupt()
        self._woken.set()

    def _run(self) -> None:
        self._connection = self._storage.connect()
        while not self._stopped.is_set():
            self._woken.clear()
            link = self._usable_link()
            if link is None:
                self._woken.wait(const.REPLICATION_FIRST_BACKOFF)
                continue
            try:
                self._follow(link)
            except (
                pymysql.MySQLError,
                sqlite3.Error,
                OSError,
                DogwoodspoolError,
            ) as error:
                log_event(
                    "replication_failed",
                    level="WARNING",
                    source=link.address,
                    error=str(error),
                )
                self._woken.wait(self._backoff)
                self._backoff = min(self._backoff * 2, const.REPLICATION_LAST_BACKOFF)
        self._connection.close()

    def _usable_link(self) -> Link | None:
        link = self._member.link()
        if link is None or self._faults.current.stop_replication:
            return None
        return None if self._faults.is_address_cut(link.address) else link

    def _follow(self, link: Link) -> None:
        """Pull and apply until the link is replaced or fails."""
        self._pending.clear()
        source = LogSource(link, self._shared_key, self._failure_domain)
        self._source = source
        try:
            if self._usable_link() != link:
                return
            source.open()
            fetched = self._member.last_entry()
            while not self._stopped.is_set() and self._usable_link() == link:
                self._faults.pause_while_frozen()
                fetched = self._pull(link, source, fetched)
                self._apply_due(link)
        finally:
            self._source = None
            source.close()

    def _pull(self, link: Link, source: LogSource, fetched: Position) -> Position:
        """Pull once; return the position of the last entry pulled so far."""
        if self._pending_entries() >= const.REPLICATION_MAX_PENDING:
            self._stopped.wait(const.REPLICATION_FIRST_BACKOFF)
            return fetched
        requested_at = self._clock.now()
        batch = source.pull(fetched, self._wait_ms())
        if self._usable_link() != link:
            # The link was replaced or disabled during the pull.
            return fetched
        if self._faults.is_cut(batch.failure_domain):
            raise ReplicationError(
                f"cut off from failure domain {batch.failure_domain}"
            )
        if batch.source_term < link.term:
            raise ReplicationError(
                f"source has term {batch.source_term}, expected {link.term} or newer"
            )
        if not batch.is_match:
            return self._handle_divergence(link, batch, fetched)
        self._member.adopt_lineage(link, batch.source_term)
        self._backoff = const.REPLICATION_FIRST_BACKOFF
        return self._enqueue(batch, fetched, requested_at)

    def _enqueue(
        self, batch: LogBatch, fetched: Position, requested_at: float
    ) -> Position:
        last = fetched
        if batch.entries:
            last = Position(batch.entries[-1].term, batch.entries[-1].offset)
        # The source built its answer no earlier than ``requested_at + waited`` on this
        # server's clock.
        waited = batch.waited_ms / MILLISECONDS * const.REPLICATION_CLOCK_MARGIN
        is_up_to_date = last.offset == batch.last_offset
        fresh_at = requested_at + waited if is_up_to_date else None
        self._pending.append(PendingBatch(self._clock.now(), batch.entries, fresh_at))
        return last

    def _handle_divergence(
        self, link: Link, batch: LogBatch, fetched: Position
    ) -> Position:
        """Drop all rows if they diverge from the primary's log, to replay it whole."""
        self._pending.clear()
        applied = self._member.last_entry()
        if applied != fetched:
            return applied
        log_event(
            "log_diverged",
            level="WARNING",
            term=applied.term,
            offset=applied.offset,
            source_term=batch.source_term,
        )
        try:
            self._member.interrupt_waits()
            self._callers.begin_rebuilding()
            self._drop_all_tables(link)
            self._member.adopt_lineage(link, batch.source_term)
        finally:
            self._callers.end_rebuilding()
        return Position(0, 0)

    def _drop_all_tables(self, link: Link) -> None:
        connection = self._acquire_connection()
        try:
            connection.begin(is_write=True)
            connection.drop_all_tables()
            self._member.commit_reset(link, connection)
        finally:
            connection.rollback()
            self._storage.write_lock.release()

    def _apply_due(self, link: Link) -> None:
        """Apply the pending batches whose delay has passed."""
        while self._pending and self._time_until_due() <= 0:
            batch = self._pending[0]
            if batch.entries:
                self._apply(link, batch.entries)
            self._pending.popleft()
            if batch.fresh_at is not None:
                self._member.record_caught_up(link, batch.fresh_at)

    def _apply(self, link: Link, entries: tuple[LogEntry, ...]) -> None:
        connection = self._acquire_connection()
        try:
            connection.begin(is_write=True)
            for entry in entries:
                for statement in entry.statements:
                    connection.replay(statement)
            self._member.commit_replicated(link, connection, entries)
        finally:
            connection.rollback()
            self._storage.write_lock.release()

    def _acquire_connection(self) -> StorageConnection:
        if self._connection is None:
            raise StatementError("replication has not started")
        self._storage.write_lock.acquire(const.REPLICATION_TIMEOUT)
        return self._connection

    def _wait_ms(self) -> int:
        if not self._pending:
            return const.REPLICATION_POLL_MS
        until_due = max(0.0, self._time_until_due()) * MILLISECONDS
        return min(const.REPLICATION_POLL_MS, int(until_due))

    def _time_until_due(self) -> float:
        held = self._clock.now() - self._pending[0].received
        return self._faults.replication_lag - held

    def _pending_entries(self) -> int:
        return sum(len(batch.entries) for batch in self._pending)
