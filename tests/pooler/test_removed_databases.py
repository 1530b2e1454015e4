"""Tests of databases that are removed while callers use them."""

import unittest
from dataclasses import replace

from dogwoodspool_common import Endpoint, Role
from dogwoodspool_pooler import Answer, ErrorCode, TransactionState

from .fakes import FakeServer, Pooler, endpoint, run_text

LONG_SECONDS = 60.0
OTHER = replace(endpoint(), name="r2", database="other")


class RemovedDatabaseTests(unittest.TestCase):
    """A view without a database that a transaction has begun on."""

    def setUp(self) -> None:
        self.primary = FakeServer("s1", Role.PRIMARY)
        self.replica = FakeServer("s2", Role.REPLICA)
        self.pooler = Pooler([self.primary, self.replica])
        self.session = self.pooler.session()

    def change(self, *endpoints: Endpoint) -> None:
        """Put a view with other databases in force."""
        self.pooler.apply_view(primary="s1", endpoints=endpoints)

    def run_after_removal(self, begin: str, text: str) -> Answer:
        """Return the answer to a transaction's first statement after the removal."""
        run_text(self.session, begin)
        self.change(OTHER)
        self.pooler.clock.advance(LONG_SECONDS)
        return run_text(self.session, text, "late")

    def served(self) -> list[str]:
        """Return the requests that any server ran."""
        return [
            one.request_id
            for server in (self.primary, self.replica)
            for one in server.runs
            if one.request_id == "late"
        ]

    def test_first_statement_of_an_open_transaction(self) -> None:
        """Guard against a removed database that serves a transaction begun before."""
        for begin, text in (
            ("BEGIN", "READ k"),
            ("BEGIN", "WRITE k v"),
            ("BEGIN READ", "READ k"),
        ):
            with self.subTest(begin=begin, text=text):
                self.change(endpoint())
                answer = self.run_after_removal(begin, text)
                self.assertEqual([], self.served())
                assert answer.error is not None
                self.assertEqual(ErrorCode.ABORTED, answer.error.code)
                self.assertIs(TransactionState.FAILED, answer.state)
                run_text(self.session, "ROLLBACK")

    def test_commit_of_a_transaction_that_has_run_nothing(self) -> None:
        """Guard against a removed database that serves an empty commit."""
        answer = self.run_after_removal("BEGIN", "COMMIT")
        self.assertEqual([], self.served())
        assert answer.error is not None
        self.assertEqual(ErrorCode.ABORTED, answer.error.code)
        self.assertIs(TransactionState.IDLE, answer.state)

    def test_next_transaction_learns_that_the_database_is_gone(self) -> None:
        """Guard against callers that begin again and again."""
        self.run_after_removal("BEGIN", "READ k")
        run_text(self.session, "ROLLBACK")
        answer = run_text(self.session, "BEGIN")
        assert answer.error is not None
        self.assertEqual(ErrorCode.NO_DATABASE, answer.error.code)

    def test_transaction_that_has_run_something_goes_on(self) -> None:
        """Guard against transactions that a removal ends in the middle."""
        run_text(self.session, "BEGIN")
        run_text(self.session, "WRITE k v")
        self.change(OTHER)
        self.assertIsNone(run_text(self.session, "READ k", "late").error)
        self.assertIsNone(run_text(self.session, "COMMIT").error)


if __name__ == "__main__":
    unittest.main()
