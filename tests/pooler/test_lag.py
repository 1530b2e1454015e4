"""Tests of tracking servers that lack a required log position."""

import unittest

from dogwoodspool_common import ManualClock, Position
from dogwoodspool_pooler.const import LAG_RECHECK_SECONDS, MAX_LAG_RECHECK_SECONDS
from dogwoodspool_pooler.lag import LagTracker

MIN_POSITION = Position(3, 100)


class LagTrackerTests(unittest.TestCase):
    """A lagging server is tried again after a pause."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.tracker = LagTracker(self.clock)

    def pause(self) -> float:
        """Return how long the server is skipped from now on."""
        began_at = self.clock.now()
        while self.tracker.lagging(MIN_POSITION):
            self.clock.advance(LAG_RECHECK_SECONDS / 5)
        # Rounded, because the steps of the clock add up to a floating-point error.
        return round(self.clock.now() - began_at, 6)

    def test_pauses_grow_while_it_lags(self) -> None:
        pauses = []
        for _ in range(8):
            self.tracker.record_lagging("s1", MIN_POSITION)
            pauses.append(self.pause())
        self.assertEqual(pauses, sorted(pauses))
        self.assertLessEqual(pauses[0], 1.5 * LAG_RECHECK_SECONDS)
        self.assertLessEqual(pauses[-1], MAX_LAG_RECHECK_SECONDS + LAG_RECHECK_SECONDS)

    def test_refusals_of_reads_sent_together_count_once(self) -> None:
        for _ in range(8):
            self.tracker.record_lagging("s1", MIN_POSITION)
        self.assertLessEqual(self.pause(), 1.5 * LAG_RECHECK_SECONDS)

    def test_an_old_refusal_does_not_lengthen_the_pause(self) -> None:
        """Guard against one short lag that excludes a replica for most of a second."""
        for _ in range(8):
            self.tracker.record_lagging("s1", MIN_POSITION)
            self.pause()
        self.clock.advance(60.0)
        self.tracker.record_lagging("s1", MIN_POSITION)
        self.assertLessEqual(self.pause(), 1.5 * LAG_RECHECK_SECONDS)

    def test_an_answer_ends_the_pause(self) -> None:
        self.tracker.record_lagging("s1", MIN_POSITION)
        self.tracker.record_caught_up("s1")
        self.assertEqual(self.tracker.lagging(MIN_POSITION), set())

    def test_it_is_tried_for_an_older_position(self) -> None:
        self.tracker.record_lagging("s1", MIN_POSITION)
        self.assertEqual(self.tracker.lagging(Position(3, 99)), set())
