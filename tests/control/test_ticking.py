"""Tests of what a voter does on its own, as leader and as follower."""

import unittest
from typing import cast

from dogwoodspool_common import ManualClock
from dogwoodspool_consensus import Leadership
from dogwoodspool_control.node import ControlNode
from dogwoodspool_control.promotion.failovers import FailoverTimeline
from dogwoodspool_control.state import ControlState
from dogwoodspool_control.ticking import LeaderTicker


class FakeNode:
    """A node that leads in a term, or does not."""

    def __init__(self) -> None:
        self.term: int | None = None

    def catch_up(self) -> Leadership | None:
        """Return the leadership."""
        return (
            None
            if self.term is None
            else Leadership(self.term, since=0.0, valid_until=1.0)
        )


class RecordingTicker(LeaderTicker):
    """A ticker that notes what it was told to do."""

    def __init__(self, node: FakeNode) -> None:
        clock = ManualClock()
        super().__init__(
            "test",
            clock,
            cast(ControlNode, node),
            ControlState(clock),
            FailoverTimeline(clock),
            1.0,
        )
        self.done: list[str] = []

    def begin_leadership(self) -> None:
        """Note it."""
        self.done.append("begin")

    def look(self) -> None:
        """Note it."""
        self.done.append("look")


class LeaderTickerTests(unittest.TestCase):
    """What was gathered in an earlier leadership decides nothing in a later one."""

    def setUp(self) -> None:
        self.node = FakeNode()
        self.ticker = RecordingTicker(self.node)

    def tick(self, *terms: int | None) -> list[str]:
        """Tick once in each term; None where another voter leads."""
        for term in terms:
            self.node.term = term
            self.ticker.tick()
        return self.ticker.done

    def test_a_follower_does_nothing(self) -> None:
        self.assertEqual(self.tick(None, None), [])

    def test_a_leadership_begins_once(self) -> None:
        self.assertEqual(self.tick(3, 3), ["begin", "look", "look"])

    def test_each_leadership_begins_anew(self) -> None:
        # The lead was lost for so short a time that no tick saw another leader.
        self.assertEqual(self.tick(3, 5), ["begin", "look", "begin", "look"])
        self.assertEqual(self.tick(None, 7)[4:], ["begin", "look"])
