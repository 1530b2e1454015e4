"""Role, term and log position of one server within its database group."""

import threading
from collections.abc import Callable
from dataclasses import replace

from dogwoodspool_common import Address, Clock, Position, Role, ServerStatus, log_event
from dogwoodspool_common.const import MILLISECONDS

from .errors import ReadOnlyError, ReplicationError, StaleTermError
from .models import DurableState, Link, LogBatch, LogEntry, LoggedStatement
from .state import StateStore
from .storage import Storage, StorageConnection


class GroupMember:
    """Decide what this server may write and which log it holds.

    Every commit and every change of role or fence holds one lock, so that no
    earlier commit can still complete after a fence, a promotion or a new link has
    been confirmed.

    Args:
        name: name of the server.
        failure_domain: where it runs.
        initial: state for the first start; a saved state takes precedence.
        storage: rows and log.
        store: durable storage of the state.
        clock: the runtime's clock.
        is_leaving: whether the server reports that it takes no new work.
    """

    def __init__(
        self,
        *,
        name: str,
        failure_domain: str,
        initial: DurableState,
        storage: Storage,
        store: StateStore,
        clock: Clock,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._name = name
        self._failure_domain = failure_domain
        self._storage = storage
        self._store = store
        self._clock = clock
        self._is_leaving = is_leaving
        self._condition = threading.Condition()
        self._log_lock = threading.Lock()
        self._log_connection = storage.connect()
        self._log_connection.create_log()
        self._offset = self._log_connection.last_offset()
        self._generation = 1
        self._wait_generation = 0
        self._fresh_at: float | None = None
        self._state = store.load() or initial
        store.save(self._state)

    @property
    def is_primary(self) -> bool:
        """Whether the server's own role is primary."""
        return self._state.role is Role.PRIMARY

    def close(self) -> None:
        """Close the files."""
        with self._condition:
            self._log_connection.close()
            self._store.close()

    def status(self) -> ServerStatus:
        """Return the status that ``SHOW STANDIN STATUS`` reports."""
        with self._condition:
            return ServerStatus(
                server=self._name,
                role=self._state.role,
                position=Position(self._state.term, self._offset),
                lag_ms=self._lag_ms(),
                is_leaving=self._is_leaving(),
            )

    def link(self) -> Link | None:
        """Return the current link, None if the server follows no other."""
        with self._condition:
            if self._state.role is Role.PRIMARY or self._state.follow is None:
                return None
            return Link(self._state.follow, self._state.follow_term, self._generation)

    def last_entry(self) -> Position:
        """Return term and offset of the last log entry, (0, 0) for none."""
        with self._log_lock:
            offset = self._log_connection.last_offset()
            return Position(self._log_connection.term_at(offset) or 0, offset)

    def check_writable(self) -> None:
        """Raise ``ReadOnlyError`` unless a write may be committed now."""
        state = self._state
        if state.role is not Role.PRIMARY:
            raise ReadOnlyError("The server is a replica and runs read-only")
        if state.term < state.fenced_term:
            raise ReadOnlyError(
                f"Term {state.term} is fenced by term {state.fenced_term}; read-only"
            )

    def commit(
        self, connection: StorageConnection, statements: tuple[LoggedStatement, ...]
    ) -> None:
        """Commit a caller's write transaction as one log entry.

        Raises:
            ReadOnlyError: the server lost the right to write after the
                transaction began; nothing is committed.
        """
        with self._condition:
            self.check_writable()
            entry = LogEntry(self._offset + 1, self._state.term, statements)
            connection.commit([entry])
            self._offset = entry.offset
            self._condition.notify_all()

    def wait_for(self, position: Position, timeout: float) -> ServerStatus:
        """Wait until the position is reached or the timeout (seconds) expires.

        Returns:
            The status at the end of the wait.
        """
        deadline = self._clock.now() + timeout
        with self._condition:
            wait_generation = self._wait_generation
            while (
                not self._has_reached(position)
                and wait_generation == self._wait_generation
            ):
                remaining = deadline - self._clock.now()
                if remaining <= 0:
                    break
                self._clock.wait(self._condition, remaining)
        return self.status()

    def interrupt_waits(self) -> None:
        """End every wait for a position now, whether it was reached or not.

        Otherwise a wait would prevent the server from dropping rows or stopping.
        """
        with self._condition:
            self._wait_generation += 1
            self._condition.notify_all()

    def promote(self, term: int) -> ServerStatus:
        """Become the primary of a term; repeating the command has no effect.

        Raises:
            StaleTermError: the term is not newer than the accepted one, or it is
                older than the fenced one.
        """
        with self._condition:
            state = self._state
            if state.role is Role.PRIMARY and state.term == term:
                return self.status()
            if term <= self._highest_accepted_term() or term < state.fenced_term:
                raise StaleTermError(f"term {term} is not newer than the current one")
            self._change_role(
                replace(state, role=Role.PRIMARY, term=term, follow=None, follow_term=0)
            )
        log_event("promoted", term=term, offset=self._offset)
        return self.status()

    def follow(self, address: Address, term: int) -> ServerStatus:
        """Become a replica of another server.

        The status keeps the old term until the log has been compared with that of
        the followed server: entries after the point where the logs diverge do not
        belong to the new term.

        Raises:
            StaleTermError: a newer term was already accepted or fenced, or this
                server is the primary of the given term.
        """
        with self._condition:
            state = self._state
            is_own_term = state.role is Role.PRIMARY and state.term == term
            highest_term = max(self._highest_accepted_term(), state.fenced_term)
            if term < highest_term or is_own_term:
                raise StaleTermError(f"term {term} is not newer than the current one")
            if state.follow == address and state.follow_term == term:
                return self.status()
            self._change_role(
                replace(state, role=Role.REPLICA, follow=address, follow_term=term)
            )
        log_event("following", address=address, term=term)
        return self.status()

    def fence(self, term: int) -> ServerStatus:
        """Reject writes under terms older than this one once this has returned.

        A commit in progress is waited for; a transaction that is still open can
        no longer commit.
        """
        with self._condition:
            if term > self._state.fenced_term:
                self._save(replace(self._state, fenced_term=term))
                log_event("fenced", term=term, offset=self._offset)
        return self.status()

    def read_log(self, last: Position, limit: int, wait: float) -> LogBatch:
        """Return the entries after the replica's last one, waiting for the first.

        Args:
            last: term and offset of the replica's last entry.
            limit: maximum number of entries in one answer.
            wait: maximum time to wait for a new entry, in seconds.

        Raises:
            ReadOnlyError: this server is not the primary, so it serves no log, or
                its role changed during the call.
        """
        started = self._clock.now()
        with self._condition:
            generation = self._generation
            while self._offset == last.offset and self._generation == generation:
                remaining = started + wait - self._clock.now()
                if remaining <= 0:
                    break
                self._clock.wait(self._condition, remaining)
            if self._state.role is not Role.PRIMARY:
                raise ReadOnlyError(
                    "The server is a replica and does not serve its log"
                )
            term, offset = self._state.term, self._offset
            waited_ms = (self._clock.now() - started) * MILLISECONDS
        with self._log_lock:
            is_match = self._log_connection.term_at(last.offset) == last.term
            entries = self._log_connection.read_log(last.offset, limit)
        if generation != self._generation:
            raise ReadOnlyError("The role of the server changed while the log was read")
        committed = tuple(entry for entry in entries if entry.offset <= offset)
        return LogBatch(
            source_term=term,
            last_offset=offset,
            is_match=is_match,
            waited_ms=waited_ms,
            failure_domain=self._failure_domain,
            entries=committed if is_match else (),
        )

    def commit_replicated(
        self, link: Link, connection: StorageConnection, entries: tuple[LogEntry, ...]
    ) -> None:
        """Commit entries that were pulled over a link and already executed.

        Raises:
            ReplicationError: the link is no longer current.
        """
        with self._condition:
            self._check_link(link)
            connection.commit(entries)
            self._offset = entries[-1].offset
            self._condition.notify_all()

    def commit_reset(self, link: Link, connection: StorageConnection) -> None:
        """Commit the removal of all rows and the whole log.

        Raises:
            ReplicationError: the link is no longer current.
        """
        with self._condition:
            self._check_link(link)
            self._fresh_at = None
            connection.commit()
            self._offset = 0
            self._condition.notify_all()

    def adopt_lineage(self, link: Link, term: int) -> None:
        """Adopt the source's term: this log is a prefix of the source's log.

        Raises:
            ReplicationError: the link is no longer current.
        """
        with self._condition:
            self._check_link(link)
            if term == self._state.term:
                return
            self._save(replace(self._state, term=term))
            self._condition.notify_all()
        log_event("lineage_adopted", term=term, offset=self._offset)

    def record_caught_up(self, link: Link, fresh_at: float) -> None:
        """Record a time at which this server had all rows of its primary.

        Raises:
            ReplicationError: the link is no longer current.
        """
        with self._condition:
            self._check_link(link)
            self._fresh_at = max(fresh_at, self._fresh_at or fresh_at)

    def _lag_ms(self) -> float | None:
        if self._state.role is Role.PRIMARY:
            return 0.0
        if self._fresh_at is None:
            return None
        return (self._clock.now() - self._fresh_at) * MILLISECONDS

    def _has_reached(self, position: Position) -> bool:
        return self._state.term >= position.term and self._offset >= position.offset

    def _highest_accepted_term(self) -> int:
        return max(self._state.term, self._state.follow_term)

    def _check_link(self, link: Link) -> None:
        if link.generation != self._generation:
            raise ReplicationError("the link is no longer current")

    def _change_role(self, state: DurableState) -> None:
        self._save(state)
        self._generation += 1
        # Freshness relative to another primary does not apply to this one.
        self._fresh_at = None
        self._condition.notify_all()

    def _save(self, state: DurableState) -> None:
        self._store.save(state)
        self._state = state
