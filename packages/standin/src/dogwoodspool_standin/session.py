"""Statements of one caller's connection, one after the other."""

import re
import sqlite3
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

from dogwoodspool_common import Clock

from .commands import StandinCommands
from .const import ROWS_PER_CHUNK
from .counters import StatementCounters
from .dialect import read_statement, translate
from .errors import (
    SQLITE_FAILURES,
    AccessDeniedError,
    DeadlockError,
    StatementError,
    is_of_another_dialect,
    statement_error,
)
from .faults import FaultSwitches
from .introspection import Introspection
from .member import GroupMember
from .models import Done, Outcome, Rows, Statement, StatementKind
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
class SessionParts:
    """What all connections of a server share."""

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
    """Run statements of one connection, one after the other.

    Its methods are called by one thread at a time.
    """

    def __init__(self, parts: SessionParts) -> None:
        self.database: str | None = None
        self.connection_id = 0
        self.is_replication = False
        self._parts = parts
        self._transaction = Transaction(
            parts.storage, parts.member, parts.counters, parts.lock_wait
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
        """Whether an open transaction of this connection has written."""
        return self._transaction.holds_write_lock

    def execute(self, text: str) -> Outcome:
        """Run one statement and return its outcome or the head of its rows.

        Raises:
            StatementError: with MySQL's number.
        """
        self._parts.faults.pause_while_frozen()
        self.finish()
        statement = read_statement(text)
        kind = statement.kind
        is_command = kind is StatementKind.COMMAND or (
            kind is StatementKind.SHOW
            and self._parts.commands.is_command(statement.sql)
        )
        if is_command:
            return self._parts.commands.execute(statement.sql)
        if self.is_replication and kind is not StatementKind.SET:
            raise AccessDeniedError("this user may read the log only")
        return self._execute_sql(statement)

    def fetch(self) -> Sequence[Sequence[Any]]:
        """Return the next rows of the open result; none when it is whole."""
        self._parts.faults.pause_while_frozen()
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
        """Give up the rest of an open result."""
        if self._cursor is not None:
            self._cursor.close()
            self._cursor = None
        self._release_slot()

    def reset(self) -> None:
        """Roll back and forget what the connection was told."""
        self.finish()
        self._transaction.rollback()
        self._is_autocommit = True

    def close(self) -> None:
        """Roll back and close the files."""
        self.finish()
        self._transaction.close()

    def _execute_sql(self, statement: Statement) -> Outcome:
        self._parts.counters.count_statement(statement.sql)
        match statement.kind:
            case StatementKind.SET:
                return self._set(statement.sql)
            case StatementKind.VARIABLES:
                return self._parts.introspection.select(
                    statement.sql, self._is_autocommit
                )
            case StatementKind.USE:
                self.database = statement.sql.split()[-1].strip("`")
                return Done()
            case StatementKind.BEGIN:
                self._commit()
                self._transaction.open(bool(_SNAPSHOT.search(statement.sql)))
                return Done()
            case StatementKind.COMMIT:
                return self._commit()
            case StatementKind.ROLLBACK:
                self._transaction.rollback()
                return Done()
            case StatementKind.SHOW:
                return self._parts.introspection.show(
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

    def _commit(self) -> Done:
        if not self._transaction.has_work:
            self._transaction.rollback()
            return Done()
        self._take_slot()
        try:
            self._serve()
            self._transaction.commit()
        finally:
            self._release_slot()
        return Done()

    def _read(self, statement: Statement) -> Outcome:
        if not self._is_autocommit:
            self._transaction.open()
        is_locking = statement.is_locking and self._parts.member.is_primary
        if is_locking and self._transaction.is_open:
            self._transaction.become_writer()
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
        is_whole = len(rows) < ROWS_PER_CHUNK
        if is_whole:
            self.finish()
        return Rows(columns, rows, is_whole)

    def _write(self, statement: Statement) -> Done:
        if self._is_autocommit and not self._transaction.is_open:
            return self._write_alone(statement)
        self._transaction.open()
        self._transaction.become_writer()
        self._take_slot()
        try:
            return self._run_write(statement)
        finally:
            self._release_slot()

    def _write_alone(self, statement: Statement) -> Done:
        """Write and commit as one."""
        self._transaction.become_writer()
        try:
            self._take_slot()
            done = self._run_write(statement)
            self._transaction.commit()
        finally:
            self._transaction.rollback()
            self._release_slot()
        return done

    def _savepoint(self, statement: Statement) -> Done:
        if self._transaction.is_open:
            self._transaction.become_writer()
            self._run_write(statement)
        return Done()

    def _run_write(self, statement: Statement) -> Done:
        connection = self._open_connection()
        try:
            cursor = self._run(statement)
            affected = max(0, cursor.rowcount)
            table = statement.insert_table
            insert_id = connection.note_insert(table, cursor) if table else 0
            cursor.close()
        except SQLITE_FAILURES as error:
            failure = statement_error(error)
            if isinstance(failure, DeadlockError):
                self._transaction.rollback()
            raise failure from error
        return Done(affected, insert_id)

    def _run(self, statement: Statement) -> sqlite3.Cursor:
        """Run a statement as it stands or, where SQLite refuses it, translated."""
        self._serve()
        connection = self._open_connection()
        last_insert_id = connection.last_insert_id
        sql = statement.sql
        try:
            cursor = connection.execute(sql)
        except SQLITE_FAILURES as error:
            if not is_of_another_dialect(error):
                raise
            sql = translate(statement.original)
            cursor = connection.execute(sql)
        if statement.kind is not StatementKind.READ:
            self._transaction.record(connection.logged(sql, last_insert_id))
        return cursor

    def _open_connection(self) -> StorageConnection:
        connection = self._transaction.connection
        connection.database = self.database or ""
        connection.connection_id = self.connection_id
        return connection

    def _serve(self) -> None:
        """Take the service time of a statement, and none while frozen."""
        service_time = self._parts.faults.service_time
        if service_time:  # A sleep of 0 would still give up the processor.
            self._parts.clock.sleep(service_time)
        self._parts.faults.pause_while_frozen()

    def _set(self, sql: str) -> Done:
        match = _AUTOCOMMIT.search(sql)
        if match is None:
            return Done()
        is_on = match.group(1).lower() not in _OFF
        if is_on and not self._is_autocommit:
            self._commit()
        self._is_autocommit = is_on
        return Done()

    def _take_slot(self) -> None:
        self._parts.slots.acquire()
        self._holds_slot = True

    def _release_slot(self) -> None:
        if self._holds_slot:
            self._holds_slot = False
            self._parts.slots.release()
