"""Execution of the statements of one caller's connection."""

import re
import sqlite3
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

from dogwoodspool_common import Clock

from .commands import StandinCommands
from .const import ROWS_PER_CHUNK
from .counters import StatementCounters
from .dialect import parse_statement, translate
from .errors import (
    SQLITE_FAILURES,
    AccessDeniedError,
    DeadlockError,
    StatementError,
    may_need_translation,
    statement_error,
)
from .faults import FaultSwitches
from .introspection import Introspection
from .member import GroupMember
from .models import OkResult, Outcome, Rows, Statement, StatementKind
from .slots import Slots
from .storage import Storage, StorageConnection, column_names
from .transaction import Transaction

_AUTOCOMMIT: Final = re.compile(
    r"(?:@@|SESSION\s+|LOCAL\s+)?(?:SESSION\.)?AUTOCOMMIT\s*:?=\s*'?(\w+)",
    re.IGNORECASE,
)
_SNAPSHOT: Final = re.compile(r"READ\s+ONLY|CONSISTENT\s+SNAPSHOT", re.IGNORECASE)
_OFF: Final = frozenset({"0", "off", "false"})


@dataclass(frozen=True, slots=True)
class SessionDependencies:
    """Objects that all connections of a server share."""

    storage: Storage
    member: GroupMember
    commands: StandinCommands
    introspection: Introspection
    slots: Slots
    faults: FaultSwitches
    counters: StatementCounters
    clock: Clock
    lock_wait: float


class CallerSession:
    """Run the statements of one connection, one after the other.

    Its methods must be called by one thread at a time.
    """

    def __init__(self, dependencies: SessionDependencies) -> None:
        self.database: str | None = None
        self.connection_id = 0
        self.is_replication = False
        self._dependencies = dependencies
        self._transaction = Transaction(
            dependencies.storage,
            dependencies.member,
            dependencies.counters,
            dependencies.lock_wait,
        )
        self._is_autocommit = True
        self._holds_slot = False
        self._cursor: sqlite3.Cursor | None = None

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open, as the status flag says."""
        return self._transaction.is_open

    @property
    def is_autocommit(self) -> bool:
        """Whether a statement outside a transaction commits by itself."""
        return self._is_autocommit

    @property
    def holds_write_lock(self) -> bool:
        """Whether an open transaction of this connection holds the write lock."""
        return self._transaction.holds_write_lock

    def execute(self, text: str) -> Outcome:
        """Run one statement and return its result or the first chunk of its rows.

        Raises:
            StatementError: the statement failed; it carries MySQL's error number.
        """
        self._dependencies.faults.pause_while_frozen()
        self.finish()
        statement = parse_statement(text)
        kind = statement.kind
        is_command = kind is StatementKind.COMMAND or (
            kind is StatementKind.SHOW
            and self._dependencies.commands.is_command(statement.sql)
        )
        if is_command:
            return self._dependencies.commands.execute(statement.sql)
        if self.is_replication and kind is not StatementKind.SET:
            raise AccessDeniedError("this user may only read the log")
        return self._execute_sql(statement)

    def fetch(self) -> Sequence[Sequence[Any]]:
        """Return the next rows of the open result; empty at its end."""
        self._dependencies.faults.pause_while_frozen()
        if self._cursor is None:
            return []
        try:
            rows = self._cursor.fetchmany(ROWS_PER_CHUNK)
        except SQLITE_FAILURES as error:
            self.finish()
            raise statement_error(error) from error
        if len(rows) < ROWS_PER_CHUNK:
            self.finish()
        return rows

    def finish(self) -> None:
        """Close an open result and release its slot."""
        if self._cursor is not None:
            self._cursor.close()
            self._cursor = None
        self._release_slot()

    def reset(self) -> None:
        """Roll back and reset the session state."""
        self.finish()
        self._transaction.rollback()
        self._is_autocommit = True

    def close(self) -> None:
        """Roll back and close the files."""
        self.finish()
        self._transaction.close()

    def _execute_sql(self, statement: Statement) -> Outcome:
        self._dependencies.counters.count_statement(statement.sql)
        match statement.kind:
            case StatementKind.SET:
                return self._set(statement.sql)
            case StatementKind.VARIABLES:
                return self._dependencies.introspection.select(
                    statement.sql, self._is_autocommit
                )
            case StatementKind.USE:
                self.database = statement.sql.split()[-1].strip("`")
                return OkResult()
            case StatementKind.BEGIN:
                self._commit()
                self._transaction.open(bool(_SNAPSHOT.search(statement.sql)))
                return OkResult()
            case StatementKind.COMMIT:
                return self._commit()
            case StatementKind.ROLLBACK:
                self._transaction.rollback()
                return OkResult()
            case StatementKind.SHOW:
                return self._dependencies.introspection.show(
                    statement.sql, self._open_connection()
                )
            case StatementKind.SCHEMA:
                self._commit()
                return self._write_alone(statement)
            case StatementKind.WRITE:
                return self._write(statement)
            case StatementKind.SAVEPOINT:
                return self._savepoint(statement)
            case _:
                return self._read(statement)

    def _commit(self) -> OkResult:
        if not self._transaction.has_work:
            self._transaction.rollback()
            return OkResult()
        self._take_slot()
        try:
            self._simulate_service_time()
            self._transaction.commit()
        finally:
            self._release_slot()
        return OkResult()

    def _read(self, statement: Statement) -> Outcome:
        if not self._is_autocommit:
            self._transaction.open()
        is_locking = statement.is_locking and self._dependencies.member.is_primary
        if is_locking and self._transaction.is_open:
            self._transaction.acquire_write_lock()
        self._take_slot()
        try:
            self._cursor = self._run(statement)
            columns = column_names(self._cursor)
            rows = self._cursor.fetchmany(ROWS_PER_CHUNK)
        except SQLITE_FAILURES as error:
            self.finish()
            raise statement_error(error) from error
        except StatementError:
            self.finish()
            raise
        is_complete = len(rows) < ROWS_PER_CHUNK
        if is_complete:
            self.finish()
        return Rows(columns, rows, is_complete)

    def _write(self, statement: Statement) -> OkResult:
        if self._is_autocommit and not self._transaction.is_open:
            return self._write_alone(statement)
        self._transaction.open()
        self._transaction.acquire_write_lock()
        self._take_slot()
        try:
            return self._run_write(statement)
        finally:
            self._release_slot()

    def _write_alone(self, statement: Statement) -> OkResult:
        """Run a write statement and commit it as a transaction of its own."""
        self._transaction.acquire_write_lock()
        try:
            self._take_slot()
            result = self._run_write(statement)
            self._transaction.commit()
        finally:
            self._transaction.rollback()
            self._release_slot()
        return result

    def _savepoint(self, statement: Statement) -> OkResult:
        if self._transaction.is_open:
            self._transaction.acquire_write_lock()
            self._run_write(statement)
        return OkResult()

    def _run_write(self, statement: Statement) -> OkResult:
        connection = self._open_connection()
        try:
            cursor = self._run(statement)
            affected = max(0, cursor.rowcount)
            table = statement.insert_table
            insert_id = connection.record_insert_id(table, cursor) if table else 0
            cursor.close()
        except SQLITE_FAILURES as error:
            failure = statement_error(error)
            if isinstance(failure, DeadlockError):
                self._transaction.rollback()
            raise failure from error
        return OkResult(affected, insert_id)

    def _run(self, statement: Statement) -> sqlite3.Cursor:
        """Run a statement, translated if SQLite rejects it as it is."""
        self._simulate_service_time()
        connection = self._open_connection()
        last_insert_id = connection.last_insert_id
        sql = statement.sql
        try:
            cursor = connection.execute(sql)
        except SQLITE_FAILURES as error:
            if not may_need_translation(error):
                raise
            sql = translate(statement.original)
            cursor = connection.execute(sql)
        if statement.kind is not StatementKind.READ:
            self._transaction.record(connection.logged_statement(sql, last_insert_id))
        return cursor

    def _open_connection(self) -> StorageConnection:
        connection = self._transaction.connection
        connection.database = self.database or ""
        connection.connection_id = self.connection_id
        return connection

    def _simulate_service_time(self) -> None:
        """Wait for the simulated service time, then while the server is frozen."""
        service_time = self._dependencies.faults.service_time
        if service_time:  # A sleep of 0 would still yield the processor.
            self._dependencies.clock.sleep(service_time)
        self._dependencies.faults.pause_while_frozen()

    def _set(self, sql: str) -> OkResult:
        match = _AUTOCOMMIT.search(sql)
        if match is None:
            return OkResult()
        is_on = match.group(1).lower() not in _OFF
        if is_on and not self._is_autocommit:
            self._commit()
        self._is_autocommit = is_on
        return OkResult()

    def _take_slot(self) -> None:
        self._dependencies.slots.acquire()
        self._holds_slot = True

    def _release_slot(self) -> None:
        if self._holds_slot:
            self._holds_slot = False
            self._dependencies.slots.release()
