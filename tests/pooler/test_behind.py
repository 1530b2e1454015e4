"""Tests of servers that lack a position when they are asked."""

import unittest

from dogwoodspool_common import ManualClock, Position
from dogwoodspool_pooler.const import BEHIND_LOOK_SECONDS, MAX_BEHIND_LOOK_SECONDS
from dogwoodspool_pooler.lag import LagTracker

FLOOR = Position(3, 100)


class BehindBookTests(unittest.TestCase):
    """A server that is behind is asked again after a pause."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.book = LagTracker(self.clock)

    def pause(self) -> float:
        """Return how long the server is passed over from now on."""
        began_at = self.clock.now()
        while self.book.lagging(FLOOR):
            self.clock.advance(BEHIND_LOOK_SECONDS / 5)
        # Steps of the clock add up to a rounding error.
        return round(self.clock.now() - began_at, 6)

    def test_pauses_grow_while_it_stays_behind(self) -> None:
        pauses = []
        for _ in range(8):
            self.book.record_lagging("s1", FLOOR)
            pauses.append(self.pause())
        self.assertEqual(pauses, sorted(pauses))
        self.assertLessEqual(pauses[0], 1.5 * BEHIND_LOOK_SECONDS)
        self.assertLessEqual(pauses[-1], MAX_BEHIND_LOOK_SECONDS + BEHIND_LOOK_SECONDS)

    def test_refusals_of_reads_sent_together_count_once(self) -> None:
        for _ in range(8):
            self.book.record_lagging("s1", FLOOR)
        self.assertLessEqual(self.pause(), 1.5 * BEHIND_LOOK_SECONDS)

    def test_a_refusal_of_long_ago_does_not_lengthen_the_pause(self) -> None:
        """Guard against a replica left out for most of a second by one small lag."""
        for _ in range(8):
            self.book.record_lagging("s1", FLOOR)
            self.pause()
        self.clock.advance(60.0)
        self.book.record_lagging("s1", FLOOR)
        self.assertLessEqual(self.pause(), 1.5 * BEHIND_LOOK_SECONDS)

    def test_an_answer_ends_it(self) -> None:
        self.book.record_lagging("s1", FLOOR)
        self.book.record_caught_up("s1")
        self.assertEqual(self.book.lagging(FLOOR), set())

    def test_an_older_position_is_asked_for(self) -> None:
        self.book.record_lagging("s1", FLOOR)
        self.assertEqual(self.book.lagging(Position(3, 99)), set())
