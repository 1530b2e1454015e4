"""Tests of the periodic work of a voter, as leader and as follower."""

import unittest
from typing import cast

from dogwoodspool_common import ManualClock
from dogwoodspool_consensus import Leadership
from dogwoodspool_control.node import ControlNode
from dogwoodspool_control.promotion.failovers import FailoverTimeline
from dogwoodspool_control.state import ControlState
from dogwoodspool_control.ticking import LeaderTicker


class FakeNode:
    """A node that is the leader in ``term``, or a follower when it is None."""

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
    """A ticker that records the calls of its methods."""

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
        self.calls: list[str] = []

    def begin_leadership(self) -> None:
        """Record the call."""
        self.calls.append("begin")

    def run_as_leader(self) -> None:
        """Record the call."""
        self.calls.append("run")


class LeaderTickerTests(unittest.TestCase):
    """Observations of an earlier leadership must not affect a later one."""

    def setUp(self) -> None:
        self.node = FakeNode()
        self.ticker = RecordingTicker(self.node)

    def tick(self, *terms: int | None) -> list[str]:
        """Tick once in each term; None stands for another leader."""
        for term in terms:
            self.node.term = term
            self.ticker.tick()
        return self.ticker.calls

    def test_follower_does_nothing(self) -> None:
        self.assertEqual(self.tick(None, None), [])

    def test_leadership_begins_once(self) -> None:
        self.assertEqual(self.tick(3, 3), ["begin", "run", "run"])

    def test_each_leadership_begins_anew(self) -> None:
        # The leadership was lost so briefly that no tick saw another leader.
        self.assertEqual(self.tick(3, 5), ["begin", "run", "begin", "run"])
        self.assertEqual(self.tick(None, 7)[4:], ["begin", "run"])
