"""Tests of the grants that a proxy holds."""

import threading
import unittest

from dogwoodspool_api import Grant
from dogwoodspool_common import ManualClock, Position
from dogwoodspool_proxy.grants import GrantTracker

LEASE = 1.5


class GrantTrackerTests(unittest.TestCase):
    """Nothing is acknowledged without a valid grant."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.book = GrantTracker(self.clock)

    def renew(self, term: int, sent_at: float | None = None) -> None:
        sent = self.clock.now() if sent_at is None else sent_at
        grant = Grant(group="orders", term=term, primary=f"orders-{term}")
        self.book.renew([grant], [], sent, LEASE)

    def test_a_late_answer_of_a_replaced_primary_is_not_acknowledged(self) -> None:
        # A partition cuts the proxy off from control in the middle of a write. The
        # grant runs out, control promotes another server, and only then the old
        # primary answers. The caller must not hear that the write is safe.
        self.renew(1)
        permit = self.book.begin_write("orders")
        assert permit is not None
        self.clock.advance(LEASE)
        self.assertFalse(self.book.acknowledge(permit, Position(1, 9)))

    def test_the_lease_counts_from_when_the_renewal_was_sent(self) -> None:
        # The leader's answer took a second: the leader's own count began before.
        sent_at = self.clock.now()
        self.clock.advance(1.0)
        self.renew(1, sent_at)
        self.clock.advance(0.5)
        self.assertIsNone(self.book.begin_write("orders"))

    def test_a_released_grant_does_not_come_back(self) -> None:
        # The leader answers a renewal, then asks for the release; the release
        # overtakes the answer. Taking the grant again would let this proxy write
        # while the new primary does.
        self.renew(1)
        self.book.release("orders", 1, 0)
        self.renew(1)
        self.assertIsNone(self.book.begin_write("orders"))
        self.renew(2)
        self.assertIsNotNone(self.book.begin_write("orders"))

    def test_a_release_waits_for_writes_and_reports_them(self) -> None:
        # A planned promotion: the write in flight ends within the drain time, is
        # acknowledged, and the release tells its position, so that no candidate
        # without it is chosen.
        self.renew(1)
        permit = self.book.begin_write("orders")
        assert permit is not None
        answers: list[Position | None] = []
        releasing = threading.Thread(
            target=lambda: answers.append(self.book.release("orders", 1, 60))
        )
        releasing.start()
        while self.book.begin_write("orders") is not None:
            pass
        self.assertTrue(self.book.acknowledge(permit, Position(1, 5)))
        self.book.end_write(permit)
        releasing.join(10)
        self.assertEqual(answers, [Position(1, 5)])
        self.assertFalse(self.book.acknowledge(permit, Position(1, 6)))

    def test_an_expired_term_is_unconfirmed_from_then_on(self) -> None:
        self.renew(1)
        self.assertEqual(self.book.unconfirmed_seconds("orders", 1), 0)
        self.clock.advance(LEASE + 2)
        self.assertEqual(self.book.unconfirmed_seconds("orders", 1), 2)
        self.assertEqual(self.book.unconfirmed_seconds("orders", 2), float("inf"))
