"""Tests of requests that run at most once, with SQLite as the group's database."""

import contextlib
import sqlite3
import unittest
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from dogwoodspool_backend import OutcomeUnknownError, StatementFailedError
from dogwoodspool_requests import (
    RequestIdentity,
    RequestIdReusedError,
    RequestNotRunError,
    RequestRunner,
)
from hypothesis import given, settings
from hypothesis import strategies as st

INSERT = "INSERT INTO lines (body) VALUES ('hello')"


@dataclass
class Result:
    """A statement's result."""

    affected_rows: int
    last_insert_id: int
    fetched: list[tuple[str | None, ...]]

    @property
    def rows(self) -> Iterator[Sequence[bytes | str | None]]:
        """The rows of a result set."""
        return iter(self.fetched)


class Database:
    """A group's database.

    Attributes:
        fail_at: number of statements to run before the connection is lost, if any.
        answer_is_lost: whether the statement at which it is lost runs first.
    """

    def __init__(self) -> None:
        self.database = sqlite3.connect(":memory:", isolation_level=None)
        self.database.create_function("UNIX_TIMESTAMP", 0, lambda: 1)
        self.database.execute("CREATE TABLE lines (id INTEGER PRIMARY KEY, body TEXT)")
        self.fail_at: int | None = None
        self.answer_is_lost = False

    def line_count(self) -> int:
        """Return how often the write was committed."""
        return int(self.database.execute("SELECT COUNT(*) FROM lines").fetchone()[0])

    def execute(self, sql: str, _timeout: float) -> Result:
        """Run one statement."""
        if self.fail_at is not None:
            self.fail_at -= 1
            if self.fail_at < 0:
                self._lose_connection(sql)
        try:
            cursor = self.database.execute(sql)
        except sqlite3.IntegrityError as error:
            raise StatementFailedError(1062, "23000", str(error)) from error
        except sqlite3.OperationalError as error:
            raise StatementFailedError(1146, "42S02", str(error)) from error
        rows = [
            tuple(None if value is None else str(value) for value in row)
            for row in cursor.fetchall()
        ]
        return Result(max(0, cursor.rowcount), cursor.lastrowid or 0, rows)

    def _lose_connection(self, sql: str) -> None:
        if self.answer_is_lost:
            with contextlib.suppress(sqlite3.Error):
                self.database.execute(sql)
        if self.database.in_transaction:
            self.database.execute("ROLLBACK")
        raise OutcomeUnknownError("the connection was lost")


def run(database: Database, request_id: str = "r1", sql: str = INSERT) -> int:
    """Run a request once and return its last insert id."""
    runner = RequestRunner(database, lambda: 1.0)
    return runner.run(RequestIdentity.of(request_id, sql), sql).last_insert_id


class RequestRunnerTests(unittest.TestCase):
    """A request id runs its statement once and always returns the first outcome."""

    def setUp(self) -> None:
        self.database = Database()

    def test_a_resend_returns_the_first_outcome(self) -> None:
        first = run(self.database)
        self.assertEqual((run(self.database), self.database.line_count()), (first, 1))

    def test_an_id_of_another_statement_is_refused(self) -> None:
        run(self.database)
        with self.assertRaises(RequestIdReusedError):
            run(self.database, sql="DELETE FROM lines")
        self.assertEqual(self.database.line_count(), 1)

    def test_a_refused_write_is_rolled_back_with_its_row(self) -> None:
        with self.assertRaises(StatementFailedError):
            run(self.database, sql="INSERT INTO nowhere VALUES (1)")
        self.assertEqual(run(self.database, sql=INSERT), 1)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.integers(0, 8), st.booleans(), st.integers(0, 8), st.booleans())
    def test_lost_connections_never_run_the_write_twice(
        self, first: int, first_lost: bool, second: int, second_lost: bool
    ) -> None:
        # Guards against writes that run twice. A proxy loses its connection at some
        # statement of the transaction, before or after the database has run that
        # statement. The caller resends through another proxy, which may lose its
        # connection as well, and then once more. The row must exist exactly once.
        database = Database()
        for fail_at, is_lost in ((first, first_lost), (second, second_lost)):
            database.fail_at, database.answer_is_lost = fail_at, is_lost
            before = database.line_count()
            try:
                run(database)
            except RequestNotRunError:
                self.assertEqual(database.line_count(), before)
            except OutcomeUnknownError:
                pass
        database.fail_at = None
        run(database)
        self.assertEqual(database.line_count(), 1)
