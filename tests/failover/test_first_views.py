"""Tests of the views of proxies that start together with control processes."""

import contextlib
import unittest
from collections.abc import Iterable

from .following_histories import FollowingHistory

# Seconds within which a change has to be in force at a proxy that reaches control.
BOUND = 3.0


class FirstViewTests(unittest.TestCase):
    """The last voters and most proxies start again, and one disk is lost.

    The history itself checks that each first view holds everything acknowledged before
    the poll, that no proxy is ahead of the group that has recovered, that a version has
    one content on all nodes, and that all proxies are up to date at its end.
    """

    def play(self, seeds: Iterable[int], name: str) -> None:
        for seed in seeds:
            history = FollowingHistory(seed)
            with self.subTest(seed=seed), contextlib.closing(history.disks):
                getattr(history, name)()
                self.assertLess(history.longest_claim, BOUND)

    def test_first_view_holds_what_was_acknowledged(self) -> None:
        """Guard against a first view of a node that has not applied everything."""
        self.play(range(12), "play")

    def test_first_view_after_all_voters_were_replaced(self) -> None:
        """Guard against a first view from before the loss of the last leader's disk."""
        self.play(range(5), "play_replaced")


class UncommittedTailTests(unittest.TestCase):
    """A leader that is cut off appends documents, and its process starts again."""

    def test_no_proxy_is_ahead_of_the_group(self) -> None:
        """Guard against a proxy that ignores newer views until the group catches up."""
        for seed in range(6):
            history = FollowingHistory(seed)
            with self.subTest(seed=seed), contextlib.closing(history.disks):
                self.check_proxies(history)

    def check_proxies(self, history: FollowingHistory) -> None:
        history.run(2.0)
        history.propose()
        history.run(0.5)
        cluster = history.cluster
        leader = cluster.leader()
        cluster.cut_off(leader)
        known = history.newest_acknowledged
        for _ in range(3):
            history.propose()
            history.run(0.05)
        self.assertEqual(history.newest_acknowledged, known)
        cluster.crash(leader)
        cluster.start(leader)
        history.run(1.0)
        for proxy in history.proxies:
            self.assertLessEqual(proxy.revision, known)
        history.heal()
        history.run(1.5)
        history.propose()
        history.run(BOUND)
        self.assertGreater(history.newest_acknowledged, known)
        for proxy in history.proxies:
            self.assertEqual(proxy.revision, history.newest_acknowledged)
