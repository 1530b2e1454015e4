"""Tests of polls that control processes answer late, beside lost members."""

import itertools
import unittest
from typing import Final

from .control_processes import FollowingProxy, Kind

# Seconds within which a change has to be in force at a proxy that reaches control.
BOUND: Final = 3.0
GIVE_UP_SECONDS: Final = 30.0
# Longer than a poll of a search may take, and shorter than the margin of other polls.
SLOW_SECONDS: Final = 0.45
# Longer than any poll may take.
TOO_LATE_SECONDS: Final = 2.0


class SlowAnswerTests(unittest.TestCase):
    """All voters are up to date, and each answers a poll after some hundred ms."""

    def test_change_beside_lost_members(self) -> None:
        """Guard against a search that passes over each voter, again and again."""
        for lost in range(4):
            with self.subTest(lost=lost):
                kinds = [Kind.LIVE] * 3 + [Kind.SILENT] * lost
                orders = set(itertools.permutations(kinds))
                delays = [self.delay(list(order)) for order in sorted(orders)]
                self.assertLess(max(delays), BOUND)

    def delay(self, kinds: list[Kind]) -> float:
        """Return the time from a change until it arrives, after one late answer."""
        proxy = FollowingProxy(kinds)
        proxy.select(kinds.index(Kind.LIVE))
        proxy.control.answer_seconds = TOO_LATE_SECONDS
        proxy.step()
        proxy.control.answer_seconds = SLOW_SECONDS
        proxy.control.changed_at = proxy.clock.now()
        return proxy.seconds_until(2, GIVE_UP_SECONDS, reports=True)
