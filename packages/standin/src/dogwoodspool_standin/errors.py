"""Errors of the stand-in, each with its number and SQLSTATE of MySQL."""

import sqlite3
from typing import ClassVar, Final

from dogwoodspool_common import DogwoodspoolError


class StandinError(DogwoodspoolError):
    """Base of the stand-in's errors."""


class StorageError(StandinError):
    """Report a data folder that cannot be used, such as one that is in use."""


class ReplicationError(StandinError):
    """Report that a pull from the followed server brought nothing usable."""


class ConnectionCutError(StandinError):
    """End a connection without an answer, as a broken network would."""


class StatementError(StandinError):
    """Report a statement that failed, as a MySQL server would.

    Attributes:
        number: MySQL's error number.
        sqlstate: its five-character SQLSTATE.
    """

    number: ClassVar[int] = 1105
    sqlstate: ClassVar[str] = "HY000"


class TooManyConnectionsError(StatementError):
    """Refuse a connection above the cap."""

    number = 1040
    sqlstate = "08004"


class AccessDeniedError(StatementError):
    """Refuse an unknown user or a wrong password."""

    number = 1045
    sqlstate = "28000"


class UnknownCommandError(StatementError):
    """Refuse a command of the protocol that is not imitated."""

    number = 1047
    sqlstate = "08S01"


class ShuttingDownError(StatementError):
    """Refuse a caller while rows are dropped to be replayed, or at the end."""

    number = 1053
    sqlstate = "08S01"


class SyntaxStatementError(StatementError):
    """Report text that is not SQL."""

    number = 1064
    sqlstate = "42000"


class NotImitatedError(StatementError):
    """Refuse a statement that MySQL knows and the stand-in does not."""

    number = 1235
    sqlstate = "42000"


class UnknownVariableError(StatementError):
    """Report a system variable that does not exist."""

    number = 1193


class LockWaitTimeoutError(StatementError):
    """Report that another transaction kept the write lock too long."""

    number = 1205


class DeadlockError(StatementError):
    """Report a transaction whose snapshot is too old to write from."""

    number = 1213
    sqlstate = "40001"


class StaleTermError(StatementError):
    """Refuse an order under an older term than one already obeyed."""

    number = 1231
    sqlstate = "42000"


class ReadOnlyError(StatementError):
    """Refuse a write on a replica or under a fenced term."""

    number = 1290


class NotPreparedError(StatementError):
    """Refuse the prepared statement protocol."""

    number = 1295


class SlotTimeoutError(StatementError):
    """Report a statement that waited for a slot too long and did not run."""

    number = 3024


class DuplicateEntryError(StatementError):
    """Report a row whose key is there already."""

    number = 1062
    sqlstate = "23000"


class NullColumnError(StatementError):
    """Report a missing value of a column that must have one."""

    number = 1048
    sqlstate = "23000"


class ForeignKeyError(StatementError):
    """Report a row that refers to no row."""

    number = 1452
    sqlstate = "23000"


class CheckError(StatementError):
    """Report a row that a check constraint refuses."""

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
    """Report a column name that several tables have."""

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

# SQLite has one code for all of these; only its message tells them apart.
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


# Text with two statements is a warning in Python 3.11, which is no ``Error``.
SQLITE_FAILURES: Final = (sqlite3.Error, sqlite3.Warning)


def statement_error(error: sqlite3.Error | sqlite3.Warning) -> StatementError:
    """Turn an error of SQLite into the one that MySQL would report.

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


def is_of_another_dialect(error: sqlite3.Error | sqlite3.Warning) -> bool:
    """Tell whether a translation may help: new syntax or a database's name."""
    failure = statement_error(error)
    if isinstance(failure, NoSuchTableError):
        return "." in str(failure)
    return isinstance(failure, SyntaxStatementError)
