"""The answer to one statement."""

from collections.abc import Iterator
from contextlib import suppress
from itertools import islice
from typing import Protocol

from pymysql.connections import MySQLResult

from .const import MAX_DRAINED_ROWS
from .errors import BackendError
from .models import Column, Row
from .wire import columns_of


class RowSource(Protocol):
    """The connection that an answer comes from."""

    def read_row(self, raw: MySQLResult) -> Row | None:
        """Read the next row, None at the answer's end."""
        ...

    def close(self) -> None:
        """Close the connection."""
        ...


class StatementResult:
    """The answer to one statement; rows are read from the connection as they come.

    Only the part of the answer that is in the read buffer is held in memory. The
    rows must be read before the statement's deadline.

    Example:
        >>> with connection.execute("SELECT id FROM lines", 1.0) as result:
        ...     for row in result.rows:
        ...         handle(row)
    """

    def __init__(self, connection: RowSource, raw: MySQLResult) -> None:
        self._connection = connection
        self._raw = raw
        self.columns: tuple[Column, ...] = columns_of(raw)
        self._is_complete = not self.columns

    @property
    def is_resultset(self) -> bool:
        """Tell whether the answer has columns."""
        return bool(self.columns)

    @property
    def is_complete(self) -> bool:
        """Tell whether the whole answer has been read."""
        return self._is_complete

    @property
    def affected_rows(self) -> int:
        """Rows that a write changed; 0 for a result set."""
        return 0 if self.is_resultset else self._raw.affected_rows or 0

    @property
    def last_insert_id(self) -> int:
        """Value that a write generated; 0 for a result set."""
        return 0 if self.is_resultset else self._raw.insert_id or 0

    @property
    def rows(self) -> Iterator[Row]:
        """Rows not read yet, each value as the server's raw bytes or None.

        Raises:
            StatementFailedError: the database broke the answer off.
            OutcomeUnknownError: the rest of the answer did not come.
        """
        while not self._is_complete:
            row = self._connection.read_row(self._raw)
            if row is None:
                self._is_complete = True
                return
            yield row

    def close(self) -> None:
        """Read the little that is left, or close the connection.

        Rows of an answer that stay on the connection would be read as the next
        statement's answer. A short rest is cheaper to read than a new connection;
        a long one is not, and the protocol has no way to stop it.
        """
        with suppress(BackendError):
            for _row in islice(self.rows, MAX_DRAINED_ROWS):
                pass
        if not self._is_complete:
            self._connection.close()
            self._is_complete = True

    def end(self) -> None:
        """Note that no more of the answer comes."""
        self._is_complete = True

    def __enter__(self) -> "StatementResult":
        return self

    def __exit__(self, *_error: object) -> None:
        self.close()
