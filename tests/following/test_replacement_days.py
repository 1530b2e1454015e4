"""Tests of days on which all control processes are replaced, one after another."""

import unittest
from typing import Final

from . import replacement_days

# Seconds within which a change has to be in force, from its acknowledgement or from the
# time at which the control group counts as stable again, if that is later.
BOUND: Final = 3.0
SLOW_SECONDS: Final = 0.41


class ReplacementDayTests(unittest.TestCase):
    """Each way to newer views keeps the bound without the other one."""

    def latest(self, seed: int, answer: float, *, has_checks_only: bool) -> float:
        """Return the longest time to a change on a day."""
        found = replacement_days.play(seed, answer, has_checks_only=has_checks_only)
        self.assertTrue(found)
        return max(stable for _, stable, *_ in found)

    def test_watch_at_slow_answers(self) -> None:
        """Guard against live processes that pass for lost ones, and lost for live."""
        for seed in (6, 10):
            with self.subTest(seed=seed):
                self.assertLess(
                    self.latest(seed, SLOW_SECONDS, has_checks_only=False), BOUND
                )

    def test_view_check_alone(self) -> None:
        """Guard against checks that need the watch to find the present members."""
        for seed, answer in ((6, SLOW_SECONDS), (30, 0.0)):
            with self.subTest(seed=seed):
                self.assertLess(self.latest(seed, answer, has_checks_only=True), BOUND)
