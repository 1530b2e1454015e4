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
        self.grants = GrantTracker(self.clock)

    def renew(self, term: int, sent_at: float | None = None) -> None:
        sent = self.clock.now() if sent_at is None else sent_at
        grant = Grant(group="orders", term=term, primary=f"orders-{term}")
        self.grants.renew([grant], [], sent, LEASE)

    def test_late_answer_of_replaced_primary_is_not_acknowledged(self) -> None:
        # A partition cuts the proxy off from control in the middle of a write. The
        # grant expires, control promotes another server, and only then the old
        # primary answers. The write must not be acknowledged to the caller.
        self.renew(1)
        permit = self.grants.begin_write("orders")
        assert permit is not None
        self.clock.advance(LEASE)
        self.assertFalse(self.grants.acknowledge(permit, Position(1, 9)))

    def test_lease_counts_from_when_the_renewal_was_sent(self) -> None:
        # The leader's answer takes 1 s, and the leader's own lease began before it
        # answered.
        sent_at = self.clock.now()
        self.clock.advance(1.0)
        self.renew(1, sent_at)
        self.clock.advance(0.5)
        self.assertIsNone(self.grants.begin_write("orders"))

    def test_released_grant_is_not_restored(self) -> None:
        # The leader answers a renewal, then requests the release, which overtakes the
        # answer. Accepting the grant again would let this proxy write to the old
        # primary while the new one accepts writes.
        self.renew(1)
        self.grants.release("orders", 1, 0)
        self.renew(1)
        self.assertIsNone(self.grants.begin_write("orders"))
        self.renew(2)
        self.assertIsNotNone(self.grants.begin_write("orders"))

    def test_release_waits_for_writes_and_returns_their_position(self) -> None:
        # In a switchover the write in flight finishes within the drain time and is
        # acknowledged. The release returns its position, so that control chooses no
        # candidate without it.
        self.renew(1)
        permit = self.grants.begin_write("orders")
        assert permit is not None
        released: list[Position | None] = []
        release_thread = threading.Thread(
            target=lambda: released.append(self.grants.release("orders", 1, 60))
        )
        release_thread.start()
        while self.grants.begin_write("orders") is not None:
            pass
        self.assertTrue(self.grants.acknowledge(permit, Position(1, 5)))
        self.grants.end_write(permit)
        release_thread.join(10)
        self.assertEqual(released, [Position(1, 5)])
        self.assertFalse(self.grants.acknowledge(permit, Position(1, 6)))

    def test_term_is_unconfirmed_once_its_grant_has_expired(self) -> None:
        self.renew(1)
        self.assertEqual(self.grants.unconfirmed_seconds("orders", 1), 0)
        self.clock.advance(LEASE + 2)
        self.assertEqual(self.grants.unconfirmed_seconds("orders", 1), 2)
        self.assertEqual(self.grants.unconfirmed_seconds("orders", 2), float("inf"))
