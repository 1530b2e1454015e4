"""Tests of polls that control processes answer late, beside lost members."""

import itertools
import unittest
from typing import Final

from .control_processes import FollowingProxy, Kind

# Seconds within which a change has to be in force at a proxy that reaches control.
BOUND: Final = 3.0
GIVE_UP_SECONDS: Final = 30.0
CHANGE_STEP_SECONDS: Final = 0.3
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

    def test_change_in_the_course_of_the_search(self) -> None:
        """Guard against a search that asks the leader once and then goes on for long.

        Lost members that hang cost more than silent ones.
        """
        for way in (Kind.SILENT, Kind.HANGING, Kind.REFUSED):
            for lost, step in itertools.product(range(4), range(12)):
                worst = self.worst_delay(lost, way, change=step * CHANGE_STEP_SECONDS)
                with self.subTest(way=way, lost=lost, step=step):
                    self.assertLess(worst, BOUND)

    def test_change_while_no_leader_is_known(self) -> None:
        """Guard against live processes that are taken for lost ones for good."""
        for way in (Kind.SILENT, Kind.HANGING, Kind.REFUSED):
            for lost in range(4):
                worst = self.worst_delay(lost, way, reports=False)
                with self.subTest(way=way, lost=lost):
                    self.assertLess(worst, GIVE_UP_SECONDS / 2)

    def worst_delay(
        self,
        lost: int,
        way: Kind = Kind.SILENT,
        *,
        change: float = 0.0,
        reports: bool = True,
    ) -> float:
        """Return the longest delay of a change in any order of the members.

        Args:
            lost: number of lost members.
            way: how they are lost.
            change: seconds from the late answer to the change.
            reports: whether the leader answers other calls.
        """
        kinds = [Kind.LIVE] * 3 + [way] * lost
        orders = set(itertools.permutations(kinds))
        return max(
            self.delay(list(order), change, reports=reports) for order in sorted(orders)
        )

    def delay(self, kinds: list[Kind], change: float, *, reports: bool) -> float:
        """Return the time from a change until it arrives, after one late answer."""
        proxy = FollowingProxy(kinds)
        proxy.select(kinds.index(Kind.LIVE))
        proxy.control.answer_seconds = TOO_LATE_SECONDS
        proxy.step(reports=reports)
        proxy.control.answer_seconds = SLOW_SECONDS
        proxy.control.changed_at = proxy.clock.now() + change
        return proxy.seconds_until(2, GIVE_UP_SECONDS, reports=reports)
