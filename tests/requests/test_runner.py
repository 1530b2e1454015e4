"""Tests of requests that run at most once, on SQLite as the group's database."""

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
class Answer:
    """A statement's result."""

    affected_rows: int
    last_insert_id: int
    fetched: list[tuple[str | None, ...]]

    @property
    def rows(self) -> Iterator[Sequence[bytes | str | None]]:
        """The rows of a result set."""
        return iter(self.fetched)


class Database:
    """A group's database; ``fail_at`` loses the connection at a statement."""

    def __init__(self) -> None:
        self.database = sqlite3.connect(":memory:", isolation_level=None)
        self.database.create_function("UNIX_TIMESTAMP", 0, lambda: 1)
        self.database.execute("CREATE TABLE lines (id INTEGER PRIMARY KEY, body TEXT)")
        self.fail_at: int | None = None
        self.answer_is_lost = False

    def lines(self) -> int:
        """Return how often the write has run."""
        return int(self.database.execute("SELECT COUNT(*) FROM lines").fetchone()[0])

    def execute(self, sql: str, _timeout: float) -> Answer:
        """Run one statement."""
        if self.fail_at is not None:
            self.fail_at -= 1
            if self.fail_at < 0:
                self._lose(sql)
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
        return Answer(max(0, cursor.rowcount), cursor.lastrowid or 0, rows)

    def _lose(self, sql: str) -> None:
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
    """A request id runs its statement once and always gives the first outcome."""

    def setUp(self) -> None:
        self.database = Database()

    def test_a_resend_gives_the_first_outcome(self) -> None:
        first = run(self.database)
        self.assertEqual((run(self.database), self.database.lines()), (first, 1))

    def test_an_id_of_another_statement_is_refused(self) -> None:
        run(self.database)
        with self.assertRaises(RequestIdReusedError):
            run(self.database, sql="DELETE FROM lines")
        self.assertEqual(self.database.lines(), 1)

    def test_a_refused_write_leaves_no_trace(self) -> None:
        with self.assertRaises(StatementFailedError):
            run(self.database, sql="INSERT INTO nowhere VALUES (1)")
        self.assertEqual(run(self.database, sql=INSERT), 1)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.integers(0, 8), st.booleans(), st.integers(0, 8), st.booleans())
    def test_lost_connections_never_make_it_run_twice(
        self, first: int, first_lost: bool, second: int, second_lost: bool
    ) -> None:
        # A caller's proxy loses its connection somewhere in a chat line's
        # transaction, before or after the database has taken the statement. The
        # caller resends through another proxy, which may lose it again, and once
        # more. The line must stand there exactly once.
        database = Database()
        for fail_at, is_lost in ((first, first_lost), (second, second_lost)):
            database.fail_at, database.answer_is_lost = fail_at, is_lost
            before = database.lines()
            try:
                run(database)
            except RequestNotRunError:
                self.assertEqual(database.lines(), before)
            except OutcomeUnknownError:
                pass
        database.fail_at = None
        run(database)
        self.assertEqual(database.lines(), 1)
