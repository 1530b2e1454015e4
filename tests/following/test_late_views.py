"""Tests of the line about a document that comes into force late."""

import unittest
from unittest import mock

from dogwoodspool_api import ControlView, EndpointMessage, WatchResponse
from dogwoodspool_common import Address, Consistency, Endpoint, ManualClock
from dogwoodspool_following import ControlPeers, ViewConfirmation, ViewStore
from dogwoodspool_following.const import LATE_DOCUMENT_MS

from tests.common.captured_logs import captured_logs
from tests.common.shifted_clock import ShiftedClock

SENDER = Address("127.0.0.1", 1)
ENDPOINT = Endpoint("r1", "db", "g1", Consistency.PRIMARY, 800, 250, 1)
LATE_MS = LATE_DOCUMENT_MS + 1


def view(version: int, revision: int, age_ms: int | None = None) -> ControlView:
    """Return a view with a document."""
    return ControlView(
        version=version,
        groups=[],
        servers=[],
        proxies=[],
        settings=[],
        endpoints=[EndpointMessage.of(ENDPOINT)],
        revision=revision,
        document_age_ms=age_ms,
    )


class LateViewTests(unittest.TestCase):
    """A proxy gets a document long after control committed it."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.views = ViewStore("fd1", self.clock)
        self.lines = self.enterContext(captured_logs())

    def adopt(self, *views: ControlView) -> list[str]:
        """Put views in force one after another; return the lines about late ones."""
        for one in views:
            self.views.adopt(one, SENDER)
        return [line for line in self.lines if "event=view_late " in line]

    def test_it_names_who_confirmed_the_view_before(self) -> None:
        """Guard against a late change that no line explains."""
        self.adopt(view(1, 1, 0))
        self.views.record_confirmed(Address("127.0.0.2", 1))
        self.clock.advance(0.5)
        (line,) = self.adopt(view(3, 2, LATE_MS))
        for field in (
            "view=3 revision=2 sender=127.0.0.1:1",
            f"committed_ago_ms={LATE_MS}",
            "before=1 revision_before=1",
            "confirmed_by=127.0.0.2:1 confirmed_ago_ms=500",
        ):
            self.assertIn(field, line)

    def test_first_document_may_be_late(self) -> None:
        """Guard against a late first document that counts as a first view."""
        before = view(1, 0).model_copy(update={"endpoints": []})
        self.assertEqual(1, len(self.adopt(before, view(2, 1, LATE_MS))))

    def test_nothing_is_claimed_without_evidence(self) -> None:
        """Guard against lines about views that are not late."""
        cases = {
            "the first view": [view(1, 1, LATE_MS)],
            "the same document": [view(1, 1, 0), view(2, 1, LATE_MS)],
            "in time": [view(1, 1, 0), view(2, 2, LATE_DOCUMENT_MS)],
            "unknown age": [view(1, 1, 0), view(2, 2)],
            "unknown document before": [view(1, 0), view(2, 2, LATE_MS)],
            "older view": [view(3, 3, 0), view(2, 4, LATE_MS)],
        }
        for name, views in cases.items():
            with self.subTest(name):
                self.views = ViewStore("fd1", self.clock)
                self.assertEqual([], self.adopt(*views))


class ContradictedConfirmationTests(unittest.TestCase):
    """A document comes that was committed before the view was confirmed."""

    def setUp(self) -> None:
        self.clock = ShiftedClock()
        self.views = ViewStore("fd1", self.clock)
        self.views.adopt(view(1, 1, 0))
        client = mock.Mock()
        answer = WatchResponse(view=None, leader=None)
        client.get.return_value = answer.model_dump(mode="json")
        self.confirmation = ViewConfirmation(
            self.views, ControlPeers((SENDER,)), client, self.clock
        )
        self.addCleanup(self.confirmation.unload)
        self.lines = self.enterContext(captured_logs())

    def contradictions(self, message: ControlView) -> list[str]:
        """Put a view in force a second after a confirmation; return the lines."""
        self.assertTrue(self.confirmation.confirm())
        self.clock.advance(1.0)
        self.views.adopt(message, SENDER)
        return [line for line in self.lines if "confirmation_contradicted" in line]

    def test_document_committed_before_is_named(self) -> None:
        """Guard against a control that confirms too little without a trace."""
        (line,) = self.contradictions(view(3, 2, 5_000))
        for field in ("view=3", "confirmed_view=1", f"confirmed_by={SENDER}"):
            self.assertIn(field, line)

    def test_document_committed_since_contradicts_nothing(self) -> None:
        """Guard against lines about documents that a confirmation need not have."""
        self.assertEqual([], self.contradictions(view(3, 2, 500)))

    def test_other_changes_contradict_nothing(self) -> None:
        """Guard against lines about new views of a document that is in force."""
        self.assertEqual([], self.contradictions(view(3, 1, 5_000)))


if __name__ == "__main__":
    unittest.main()
