"""Rows and the log of write transactions in one SQLite file."""

import sqlite3
import threading
import time
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any, Final

from dogwoodspool_common import Clock
from dogwoodspool_common.const import MILLISECONDS

from .const import FILE_DATA, SQLITE_BUSY_TIMEOUT
from .errors import LockWaitTimeoutError, statement_error
from .models import LogEntry, LoggedStatement

LOG_TABLE: Final = "_standin_log"
_CREATE_LOG: Final = (
    f"CREATE TABLE IF NOT EXISTS {LOG_TABLE} "
    '("offset" INTEGER PRIMARY KEY, term INTEGER NOT NULL, statements TEXT NOT NULL)'
)
_INSERT_LOG: Final = f"INSERT INTO {LOG_TABLE} VALUES (?, ?, ?)"
_TABLES: Final = (
    "SELECT name FROM sqlite_master WHERE type = 'table' "
    "AND name NOT LIKE 'sqlite~_%' ESCAPE '~' AND name <> ? ORDER BY name"
)
_ROW_IDENTITY: Final = (
    "SELECT 1 FROM sqlite_master WHERE type = 'table' "
    "AND name = ? COLLATE NOCASE AND upper(sql) LIKE '%AUTOINCREMENT%'"
)


class WriteLock:
    """Serialize the write transactions of callers and replication.

    SQLite has such a lock itself, but waits for it by polling, and a statement
    that waits there would hold a slot that the lock's holder needs for its commit.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._condition = threading.Condition()
        self._is_held = False

    def acquire(self, timeout: float) -> None:
        """Acquire the lock.

        Args:
            timeout: maximum wait, in seconds.

        Raises:
            LockWaitTimeoutError: the lock was not released within the timeout.
        """
        deadline = self._clock.now() + timeout
        with self._condition:
            while self._is_held:
                remaining = deadline - self._clock.now()
                if remaining <= 0:
                    raise LockWaitTimeoutError(
                        "Lock wait timeout exceeded; try restarting transaction"
                    )
                self._clock.wait(self._condition, remaining)
            self._is_held = True

    def release(self) -> None:
        """Release the lock; any thread may do this."""
        with self._condition:
            self._is_held = False
            self._condition.notify()


class StorageConnection:
    """One SQLite connection with the MySQL functions that callers use.

    It is used by one thread at a time, not necessarily the same one.
    """

    def __init__(self, path: Path, clock: Clock) -> None:
        self.database = ""
        self.connection_id = 0
        self._clock = clock
        self._now = 0.0
        self._last_insert_id = 0
        self._is_replaying = False
        self._connection = sqlite3.connect(
            path,
            timeout=SQLITE_BUSY_TIMEOUT,
            isolation_level=None,
            check_same_thread=False,
        )
        self._connection.execute("PRAGMA journal_mode = WAL")
        # Committed data survives a killed process. It may be lost in a power
        # failure of the machine, which this stand-in does not simulate.
        self._connection.execute("PRAGMA synchronous = NORMAL")
        self._create_functions()

    @property
    def last_insert_id(self) -> int:
        """First generated key of this connection's last insert that generated one."""
        return self._last_insert_id

    @property
    def is_in_transaction(self) -> bool:
        """Whether SQLite has a transaction open."""
        return self._connection.in_transaction

    def execute(self, sql: str) -> sqlite3.Cursor:
        """Run one statement; ``NOW()`` returns the current time in it.

        Raises:
            sqlite3.Error: SQLite's own error, not converted.
        """
        self._now = time.time()  # Value of NOW(); no decision depends on it.
        return self._connection.execute(sql)

    def logged_statement(self, sql: str, last_insert_id: int) -> LoggedStatement:
        """Return the last executed statement with the values it depended on."""
        return LoggedStatement(sql, self._now, last_insert_id)

    def replay(self, statement: LoggedStatement) -> None:
        """Run a logged statement so that it writes the original values."""
        self._now = statement.now
        self._last_insert_id = statement.last_insert_id
        self._is_replaying = True
        try:
            self._connection.execute(statement.sql).close()
        finally:
            self._is_replaying = False

    def record_insert_id(self, table: str, cursor: sqlite3.Cursor) -> int:
        """Record and return the first generated key of an insert, 0 for none."""
        row = self._connection.execute(_ROW_IDENTITY, (table,)).fetchone()
        if row is None or cursor.rowcount < 1 or cursor.lastrowid is None:
            return 0
        self._last_insert_id = cursor.lastrowid - cursor.rowcount + 1
        return self._last_insert_id

    def begin(self, is_write: bool) -> None:
        """Begin a transaction; for a write, the calling code holds the write lock."""
        self._run("BEGIN IMMEDIATE" if is_write else "BEGIN")

    def commit(self, entries: Iterable[LogEntry] = ()) -> None:
        """Commit rows and their log entries atomically."""
        for entry in entries:
            row = (entry.offset, entry.term, entry.statements_json())
            self._connection.execute(_INSERT_LOG, row)
        self._run("COMMIT")

    def rollback(self) -> None:
        """Roll back the open transaction, if there is one."""
        if self._connection.in_transaction:
            self._run("ROLLBACK")

    def drop_all_tables(self) -> None:
        """Drop all tables, views and the log within the open transaction."""
        names = self._connection.execute(
            "SELECT type, name FROM sqlite_master "
            "WHERE type IN ('table', 'view') AND name NOT LIKE 'sqlite~_%' ESCAPE '~'"
        ).fetchall()
        for kind, name in names:
            self._connection.execute(f'DROP {kind} "{name}"')
        self._connection.execute(_CREATE_LOG)

    def read_log(self, after: int, limit: int) -> tuple[LogEntry, ...]:
        """Return up to ``limit`` log entries after an offset, in order."""
        rows = self._connection.execute(
            f'SELECT "offset", term, statements FROM {LOG_TABLE} '
            'WHERE "offset" > ? ORDER BY "offset" LIMIT ?',
            (after, limit),
        ).fetchall()
        return tuple(LogEntry.from_json(*row) for row in rows)

    def term_at(self, offset: int) -> int | None:
        """Return the term of a log entry, 0 for offset 0, None for a missing entry."""
        if offset == 0:
            return 0
        row = self._connection.execute(
            f'SELECT term FROM {LOG_TABLE} WHERE "offset" = ?', (offset,)
        ).fetchone()
        return None if row is None else int(row[0])

    def last_offset(self) -> int:
        """Return the offset of the last log entry, 0 for an empty log."""
        row = self._connection.execute(
            f'SELECT COALESCE(MAX("offset"), 0) FROM {LOG_TABLE}'
        ).fetchone()
        return int(row[0])

    def table_names(self) -> list[str]:
        """Return the names of the callers' tables."""
        rows = self._connection.execute(_TABLES, (LOG_TABLE,)).fetchall()
        return [str(row[0]) for row in rows]

    def create_log(self) -> None:
        """Create the log table if it does not exist."""
        self._connection.execute(_CREATE_LOG)

    def close(self) -> None:
        """Close; an open transaction is rolled back."""
        self._connection.close()

    def _run(self, sql: str) -> None:
        try:
            self._connection.execute(sql)
        except sqlite3.Error as error:
            raise statement_error(error) from error

    def _create_functions(self) -> None:
        create = self._connection.create_function
        create("NOW", -1, lambda *_: _timestamp(self._now))
        create("UTC_TIMESTAMP", -1, lambda *_: _timestamp(self._now))
        create("UNIX_TIMESTAMP", 0, lambda: int(self._now))
        create("LAST_INSERT_ID", 0, lambda: self._last_insert_id)
        create("CONNECTION_ID", 0, lambda: self.connection_id)
        create("DATABASE", 0, lambda: self.database or None)
        create("SLEEP", 1, self._sleep)
        create("CONCAT", -1, _concat)
        create("IF", 3, lambda test, then, other: then if test else other)

    def _sleep(self, seconds: float) -> int:
        if not self._is_replaying:
            self._clock.sleep(float(seconds))
        return 0


class Storage:
    """The SQLite file of one server."""

    def __init__(self, folder: Path, clock: Clock) -> None:
        self._path = folder / FILE_DATA
        self._clock = clock
        self._write_lock = WriteLock(clock)

    @property
    def write_lock(self) -> WriteLock:
        """The lock that every write transaction holds."""
        return self._write_lock

    def connect(self) -> StorageConnection:
        """Open a new connection."""
        return StorageConnection(self._path, self._clock)


def _timestamp(seconds: float) -> str:
    whole = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(seconds))
    return f"{whole}.{int(seconds % 1 * MILLISECONDS):03d}"


def _concat(*parts: Any) -> str | None:
    if any(part is None for part in parts):
        return None
    return "".join(str(part) for part in parts)


def column_names(cursor: sqlite3.Cursor) -> tuple[str, ...]:
    """Return the names of a result's columns."""
    description: Sequence[tuple[Any, ...]] = cursor.description or ()
    return tuple(str(column[0]) for column in description)
