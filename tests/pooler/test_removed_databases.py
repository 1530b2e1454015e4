"""Tests of databases that are removed while callers use them."""

import unittest
from collections.abc import Callable
from dataclasses import replace

from dogwoodspool_api import ControlView
from dogwoodspool_common import Endpoint, ManualClock, Role
from dogwoodspool_following import ViewStore
from dogwoodspool_pooler import Answer, ErrorCode, TransactionState
from dogwoodspool_pooler.databases import Databases
from dogwoodspool_pooler.errors import NoDatabaseError, NotReadyError

from tests.common.captured_logs import captured_logs

from .fakes import FakeServer, Pooler, endpoint, run_text
from .test_unknown_databases import view_of

LONG_SECONDS = 60.0
OTHER = replace(endpoint(), name="r2", database="other")


class Confirmer:
    """Confirms a view of control, or nothing."""

    confirmed_by = None
    age_ms = None
    refusal: str | None = None

    def __init__(self, views: ViewStore) -> None:
        self.newest: ControlView | None = None
        self.is_reachable = True
        self.on_refresh: Callable[[], object] = lambda: None
        self._views = views

    def confirm(self) -> bool:
        """Put control's view in force."""
        if self.newest is not None:
            self._views.adopt(self.newest)
        return self.is_reachable

    def refresh(self) -> bool:
        """Do the same, as the last confirmation was long ago."""
        self.on_refresh()
        return self.confirm()


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


class UnconfirmedViewTests(unittest.TestCase):
    """A view in force that control has not confirmed lately."""

    def setUp(self) -> None:
        self.views = ViewStore("zone-a", ManualClock())
        self.views.adopt(view_of(1, "db"))
        self.confirmer = Confirmer(self.views)
        self.databases = Databases(self.views, self.confirmer)

    def test_removed_database_is_not_used(self) -> None:
        """Guard against an old view that is used at any age."""
        self.confirmer.newest = view_of(2, "other")
        with self.assertRaises(NoDatabaseError):
            self.databases.resolve("db", "")

    def test_database_is_used_without_control(self) -> None:
        """Guard against a proxy that serves nothing while it is cut off."""
        self.confirmer.is_reachable = False
        with captured_logs() as lines:
            self.assertEqual("db", self.databases.resolve("db", "").endpoint.database)
        self.assertIn("event=served_unconfirmed", "".join(lines))

    def test_database_is_not_used_where_the_view_is_known_to_be_old(self) -> None:
        """Guard against a removed database at a proxy that has lost control alone."""
        self.confirmer.is_reachable = False
        self.confirmer.refusal = "view 7 is in force elsewhere"
        with captured_logs() as lines, self.assertRaises(NotReadyError):
            self.databases.resolve("db", "")
        self.assertIn("event=refused_unconfirmed", "".join(lines))

    def test_view_in_force_is_used_after_the_attempt(self) -> None:
        """Guard against a view that was replaced during the attempt."""
        self.confirmer.is_reachable = False
        self.confirmer.on_refresh = lambda: self.views.adopt(view_of(2, "other"))
        with self.assertRaises(NotReadyError):
            self.databases.resolve("db", "")


class RemovalLogTests(unittest.TestCase):
    """Lines that tell a database used after its removal from one of an old view."""

    def setUp(self) -> None:
        self.lines = self.enterContext(captured_logs())
        self.server = FakeServer("s1", Role.PRIMARY)
        self.pooler = Pooler([self.server])
        self.session = self.pooler.session()

    def remove(self) -> None:
        """Put a view without the session's database in force."""
        self.pooler.apply_view(primary="s1", endpoints=[OTHER])

    def line(self, event: str) -> str:
        """Return the only line of an event; empty for none."""
        lines = [one for one in self.lines if f"event={event} " in one]
        self.assertLessEqual(len(lines), 1)
        return lines[0] if lines else ""

    def test_removal_names_what_still_uses_the_database(self) -> None:
        """Guard against a removal that no line dates."""
        run_text(self.session, "BEGIN")
        self.pooler.session()
        self.remove()
        line = self.line("databases_removed")
        for field in ("view=2", "databases=db", "sessions=2", "transactions=1"):
            self.assertIn(field, line)

    def test_removal_tells_how_late_it_is(self) -> None:
        """Guard against a late removal that looks like one in time."""
        later = view_of(9, "other").model_copy(update={"document_age_ms": 2_500})
        self.pooler.views.adopt(later)
        self.assertIn("committed_ago_ms=2500", self.line("databases_removed"))

    def test_request_of_a_transaction_that_goes_on(self) -> None:
        """Guard against a use of a removed database that no line names."""
        run_text(self.session, "BEGIN")
        run_text(self.session, "READ k")
        self.remove()
        self.pooler.clock.advance(0.5)
        run_text(self.session, "READ k", "late")
        line = self.line("removed_database_used")
        for field in ("request=late", "looked_up_view=1", "view=2", "=500"):
            self.assertIn(field, line)

    def test_request_that_has_not_run(self) -> None:
        """Guard against a line for a request that no server ran."""
        run_text(self.session, "BEGIN")
        run_text(self.session, "READ k")
        self.remove()
        self.server.refusals = [ErrorCode.READ_ONLY]
        answer = run_text(self.session, "WRITE k v", "late")
        assert answer.error is not None
        self.assertIs(ErrorCode.READ_ONLY, answer.error.code)
        self.assertEqual("", self.line("removed_database_used"))

    def test_request_on_a_database_that_is_there(self) -> None:
        """Guard against lines for ordinary requests."""
        run_text(self.session, "READ k")
        self.assertEqual("", self.line("removed_database_used"))


if __name__ == "__main__":
    unittest.main()
