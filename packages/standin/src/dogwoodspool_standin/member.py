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
    """Decide what this server may write and which log it has.

    Every commit and every change of role or fence holds one lock, so that after
    a fence, a promotion or a new link has been answered no commit of before can
    still land.

    Args:
        name: name of the server.
        failure_domain: where it runs.
        initial: state of the very first start; a saved one goes before it.
        storage: rows and log.
        store: where the state is kept.
        clock: the runtime's clock.
        is_leaving: whether the server asks for no new work.
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
        self._round_of_waits = 0
        self._fresh_at: float | None = None
        self._state = store.load() or initial
        store.save(self._state)

    @property
    def is_primary(self) -> bool:
        """Whether the server takes itself for the primary."""
        return self._state.role is Role.PRIMARY

    def close(self) -> None:
        """Close the files."""
        with self._condition:
            self._log_connection.close()
            self._store.close()

    def status(self) -> ServerStatus:
        """Return what ``SHOW STANDIN STATUS`` says."""
        with self._condition:
            return ServerStatus(
                server=self._name,
                role=self._state.role,
                position=Position(self._state.term, self._offset),
                lag_ms=self._lag_ms(),
                is_leaving=self._is_leaving(),
            )

    def link(self) -> Link | None:
        """Return what to follow now."""
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
            ReadOnlyError: the server lost the right to write since the
                transaction began; nothing is committed.
        """
        with self._condition:
            self.check_writable()
            entry = LogEntry(self._offset + 1, self._state.term, statements)
            connection.commit([entry])
            self._offset = entry.offset
            self._condition.notify_all()

    def wait_for(self, position: Position, timeout: float) -> ServerStatus:
        """Wait until the position is reached or the time (seconds) ran out."""
        deadline = self._clock.now() + timeout
        with self._condition:
            round_of_waits = self._round_of_waits
            while not self._has(position) and round_of_waits == self._round_of_waits:
                remaining = deadline - self._clock.now()
                if remaining <= 0:
                    break
                self._clock.wait(self._condition, remaining)
        return self.status()

    def end_waits(self) -> None:
        """Let every wait for a position end now, reached or not.

        Else a wait would keep the server from dropping rows, or from stopping.
        """
        with self._condition:
            self._round_of_waits += 1
            self._condition.notify_all()

    def promote(self, term: int) -> ServerStatus:
        """Become the primary of a term; the same order again changes nothing.

        Raises:
            StaleTermError: an order of a newer term was obeyed before.
        """
        with self._condition:
            state = self._state
            if state.role is Role.PRIMARY and state.term == term:
                return self.status()
            if term <= self._obeyed_term() or term < state.fenced_term:
                raise StaleTermError(f"term {term} is not newer than the one in force")
            self._change(
                replace(state, role=Role.PRIMARY, term=term, follow=None, follow_term=0)
            )
        log_event("promoted", term=term, offset=self._offset)
        return self.status()

    def follow(self, address: Address, term: int) -> ServerStatus:
        """Become a replica of another server.

        The status keeps the old term until the log was compared with that of the
        followed server: entries past the branch are none of the new term's.

        Raises:
            StaleTermError: an order of a newer term was obeyed before, or this
                server is the primary of that very term.
        """
        with self._condition:
            state = self._state
            is_own_term = state.role is Role.PRIMARY and state.term == term
            obeyed = max(self._obeyed_term(), state.fenced_term)
            if term < obeyed or is_own_term:
                raise StaleTermError(f"term {term} is not newer than the one in force")
            if state.follow == address and state.follow_term == term:
                return self.status()
            self._change(
                replace(state, role=Role.REPLICA, follow=address, follow_term=term)
            )
        log_event("following", address=address, term=term)
        return self.status()

    def fence(self, term: int) -> ServerStatus:
        """Refuse writes under terms older than this one, from the answer on.

        It waits for a commit in flight; an open transaction cannot commit then.
        """
        with self._condition:
            if term > self._state.fenced_term:
                self._save(replace(self._state, fenced_term=term))
                log_event("fenced", term=term, offset=self._offset)
        return self.status()

    def read_log(self, last: Position, limit: int, wait: float) -> LogBatch:
        """Return entries after the puller's last one, waiting for the first.

        Args:
            last: term and offset of the puller's last entry.
            limit: most entries in one answer.
            wait: seconds to hold the answer back while there is nothing new.

        Raises:
            ReadOnlyError: this server is no primary, so it has no log to give.
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
                raise ReadOnlyError("The server is a replica; it gives no log")
            term, offset = self._state.term, self._offset
            waited_ms = (self._clock.now() - started) * MILLISECONDS
        with self._log_lock:
            is_match = self._log_connection.term_at(last.offset) == last.term
            entries = self._log_connection.read_log(last.offset, limit)
        if generation != self._generation:
            raise ReadOnlyError("The server changed its role during the answer")
        known = tuple(entry for entry in entries if entry.offset <= offset)
        return LogBatch(
            source_term=term,
            last_offset=offset,
            is_match=is_match,
            waited_ms=waited_ms,
            failure_domain=self._failure_domain,
            entries=known if is_match else (),
        )

    def commit_replicated(
        self, link: Link, connection: StorageConnection, entries: tuple[LogEntry, ...]
    ) -> None:
        """Commit entries that were pulled over a link and run already.

        Raises:
            ReplicationError: the link is not in force any more.
        """
        with self._condition:
            self._check_link(link)
            connection.commit(entries)
            self._offset = entries[-1].offset
            self._condition.notify_all()

    def commit_dropped(self, link: Link, connection: StorageConnection) -> None:
        """Commit that all rows and the whole log were dropped."""
        with self._condition:
            self._check_link(link)
            self._fresh_at = None
            connection.commit()
            self._offset = 0
            self._condition.notify_all()

    def adopt_lineage(self, link: Link, term: int) -> None:
        """Note that the log was found to be a part of the source's log."""
        with self._condition:
            self._check_link(link)
            if term == self._state.term:
                return
            self._save(replace(self._state, term=term))
            self._condition.notify_all()
        log_event("lineage_adopted", term=term, offset=self._offset)

    def note_fresh(self, link: Link, fresh_at: float) -> None:
        """Note a time at which this server's rows were all that its primary had."""
        with self._condition:
            self._check_link(link)
            self._fresh_at = max(fresh_at, self._fresh_at or fresh_at)

    def _lag_ms(self) -> float | None:
        if self._state.role is Role.PRIMARY:
            return 0.0
        if self._fresh_at is None:
            return None
        return (self._clock.now() - self._fresh_at) * MILLISECONDS

    def _has(self, position: Position) -> bool:
        return self._state.term >= position.term and self._offset >= position.offset

    def _obeyed_term(self) -> int:
        return max(self._state.term, self._state.follow_term)

    def _check_link(self, link: Link) -> None:
        if link.generation != self._generation:
            raise ReplicationError("the link is not in force any more")

    def _change(self, state: DurableState) -> None:
        self._save(state)
        self._generation += 1
        # Freshness against another primary says nothing about this one.
        self._fresh_at = None
        self._condition.notify_all()

    def _save(self, state: DurableState) -> None:
        self._store.save(state)
        self._state = state
