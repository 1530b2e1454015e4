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
        worst = {lost: self.worst_delay(lost) for lost in range(4)}
        self.assertLess(max(worst.values()), BOUND, worst)

    def worst_delay(self, lost: int) -> float:
        """Return the longest delay of a change in any order of the members."""
        kinds = [Kind.LIVE] * 3 + [Kind.SILENT] * lost
        orders = set(itertools.permutations(kinds))
        return max(self.delay(list(order)) for order in sorted(orders))

    def delay(self, kinds: list[Kind]) -> float:
        """Return the time from a change until it arrives, after one late answer."""
        proxy = FollowingProxy(kinds)
        proxy.select(kinds.index(Kind.LIVE))
        proxy.control.answer_seconds = TOO_LATE_SECONDS
        proxy.step()
        proxy.control.answer_seconds = SLOW_SECONDS
        proxy.control.changed_at = proxy.clock.now()
        return proxy.seconds_until(2, GIVE_UP_SECONDS, reports=True)
