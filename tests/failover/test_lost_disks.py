"""Tests of lost disks while the control group changes its voters."""

import contextlib
import unittest
from collections.abc import Iterable

from .core_histories import CoreHistory


class ReplacedVoterTests(unittest.TestCase):
    """A voter is silent, and the vote goes to another machine."""

    def test_any_moment_of_the_replacement_survives_a_lost_disk(self) -> None:
        """Guard against a moment with two voters, one of which is lost."""
        for step in range(12):
            history = CoreHistory(seed=step)
            with self.subTest(step=step), contextlib.closing(history.disks):
                history.run(4.0)
                cluster = history.cluster
                leader = cluster.leader()
                cluster.cut_off(next(name for name in cluster.voters if name != leader))
                history.propose()
                history.run(2.4 + 0.05 * step)
                self.assertTrue(history.acknowledged)
                history.end(history.machines.index(leader))


class HistoryTests(unittest.TestCase):
    """Random kills, cuts, power losses and lost disks, each within the bounds."""

    def play(self, seeds: Iterable[int], name: str) -> None:
        for seed in seeds:
            history = CoreHistory(seed)
            with self.subTest(seed=seed), contextlib.closing(history.disks):
                getattr(history, name)()

    def test_nothing_acknowledged_is_lost(self) -> None:
        """Guard against a group of two voters during a replacement (last seeds)."""
        self.play((*range(15), 37, 267), "play")

    def test_nothing_read_back_after_a_kill_is_lost(self) -> None:
        """Guard against entries acknowledged from the page cache (last seeds)."""
        self.play((*range(15), 333, 375, 415, 672, 827), "play_kills")
