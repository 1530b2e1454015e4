"""Errors of the stand-in, with MySQL's error numbers and SQLSTATEs."""

import sqlite3
from typing import ClassVar, Final

from dogwoodspool_common import DogwoodspoolError


class StandinError(DogwoodspoolError):
    """Base of the stand-in's errors."""


class StorageError(StandinError):
    """Report an unusable data folder, such as one that another process uses."""


class ReplicationError(StandinError):
    """Report a failed or unusable pull from the followed server."""


class ConnectionCutError(StandinError):
    """Close a connection without an answer, as a network failure does."""


class StatementError(StandinError):
    """Report a failed statement as a MySQL server does.

    Attributes:
        number: MySQL's error number.
        sqlstate: MySQL's five-character SQLSTATE.
    """

    number: ClassVar[int] = 1105
    sqlstate: ClassVar[str] = "HY000"


class TooManyConnectionsError(StatementError):
    """Refuse a connection above the limit."""

    number = 1040
    sqlstate = "08004"


class AccessDeniedError(StatementError):
    """Refuse an unknown user or a wrong password."""

    number = 1045
    sqlstate = "28000"


class UnknownCommandError(StatementError):
    """Reject a protocol command that the stand-in does not support."""

    number = 1047
    sqlstate = "08S01"


class ShuttingDownError(StatementError):
    """Refuse a caller while rows are dropped and replayed, or at shutdown."""

    number = 1053
    sqlstate = "08S01"


class SyntaxStatementError(StatementError):
    """Report text that is not SQL."""

    number = 1064
    sqlstate = "42000"


class NotImitatedError(StatementError):
    """Reject a statement that MySQL supports and the stand-in does not."""

    number = 1235
    sqlstate = "42000"


class UnknownVariableError(StatementError):
    """Report a system variable that does not exist."""

    number = 1193


class LockWaitTimeoutError(StatementError):
    """Report that the write lock was not acquired within the timeout."""

    number = 1205


class DeadlockError(StatementError):
    """Report a transaction whose snapshot is too old to write from."""

    number = 1213
    sqlstate = "40001"


class StaleTermError(StatementError):
    """Reject a command whose term is older than one already accepted."""

    number = 1231
    sqlstate = "42000"


class ReadOnlyError(StatementError):
    """Reject a write on a replica or under a fenced term."""

    number = 1290


class NotPreparedError(StatementError):
    """Reject the prepared statement protocol."""

    number = 1295


class SlotTimeoutError(StatementError):
    """Report a statement that did not run because its wait for a slot timed out."""

    number = 3024


class DuplicateEntryError(StatementError):
    """Report a row with a duplicate key."""

    number = 1062
    sqlstate = "23000"


class NullColumnError(StatementError):
    """Report a null value for a column that is not nullable."""

    number = 1048
    sqlstate = "23000"


class ForeignKeyError(StatementError):
    """Report a row whose foreign key refers to a missing row."""

    number = 1452
    sqlstate = "23000"


class CheckError(StatementError):
    """Report a row that violates a check constraint."""

    number = 3819


class NoSuchTableError(StatementError):
    """Report a table that does not exist."""

    number = 1146
    sqlstate = "42S02"


class TableExistsError(StatementError):
    """Report a table that exists already."""

    number = 1050
    sqlstate = "42S01"


class NoSuchColumnError(StatementError):
    """Report a column that does not exist."""

    number = 1054
    sqlstate = "42S22"


class AmbiguousColumnError(StatementError):
    """Report a column name that exists in several tables."""

    number = 1052
    sqlstate = "23000"


class ColumnCountError(StatementError):
    """Report a row with more or fewer values than columns."""

    number = 1136
    sqlstate = "21S01"


class NoSuchFunctionError(StatementError):
    """Report a function that does not exist."""

    number = 1305
    sqlstate = "42000"


_BY_SQLITE_NAME: dict[str, type[StatementError]] = {
    "SQLITE_CONSTRAINT_UNIQUE": DuplicateEntryError,
    "SQLITE_CONSTRAINT_PRIMARYKEY": DuplicateEntryError,
    "SQLITE_CONSTRAINT_ROWID": DuplicateEntryError,
    "SQLITE_CONSTRAINT_NOTNULL": NullColumnError,
    "SQLITE_CONSTRAINT_FOREIGNKEY": ForeignKeyError,
    "SQLITE_CONSTRAINT_CHECK": CheckError,
    "SQLITE_BUSY": LockWaitTimeoutError,
    "SQLITE_LOCKED": LockWaitTimeoutError,
    "SQLITE_BUSY_SNAPSHOT": DeadlockError,
}

# SQLite reports all of these with one code; only the message distinguishes them.
_BY_SQLITE_MESSAGE: tuple[tuple[str, type[StatementError]], ...] = (
    ("no such table", NoSuchTableError),
    ("no such column", NoSuchColumnError),
    ("has no column named", NoSuchColumnError),
    ("ambiguous column name", AmbiguousColumnError),
    ("already exists", TableExistsError),
    ("no such function", NoSuchFunctionError),
    ("values for", ColumnCountError),
    ("values were supplied", ColumnCountError),
    ("syntax error", SyntaxStatementError),
    ("unrecognized token", SyntaxStatementError),
    ("incomplete input", SyntaxStatementError),
    ("one statement at a time", SyntaxStatementError),
)


# Python 3.11 reports a text with two statements as ``sqlite3.Warning``, which is not a
# subclass of ``sqlite3.Error``.
SQLITE_FAILURES: Final = (sqlite3.Error, sqlite3.Warning)


def statement_error(error: sqlite3.Error | sqlite3.Warning) -> StatementError:
    """Convert an error of SQLite into the one that MySQL would report.

    Example:
        >>> raise statement_error(error) from error
    """
    name = getattr(error, "sqlite_errorname", "")
    message = str(error)
    if name in _BY_SQLITE_NAME:
        kind = _BY_SQLITE_NAME[name]
        if kind is DuplicateEntryError:
            key = message.rpartition(": ")[2]
            return DuplicateEntryError(f"Duplicate entry for key '{key}'")
        return kind(message)
    for part, kind in _BY_SQLITE_MESSAGE:
        if part in message:
            return kind(message)
    return StatementError(message)


def may_need_translation(error: sqlite3.Error | sqlite3.Warning) -> bool:
    """Return whether translating the statement may resolve the error.

    This is so for syntax that SQLite does not know and for a table name that is
    qualified with a database.
    """
    failure = statement_error(error)
    if isinstance(failure, NoSuchTableError):
        return "." in str(failure)
    return isinstance(failure, SyntaxStatementError)
