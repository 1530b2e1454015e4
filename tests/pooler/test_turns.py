"""Tests of the turns in which proxies outside of the owners connect to a server."""

import random
import unittest

from dogwoodspool_common import ManualClock
from dogwoodspool_pooler.turns import ConnectionTurns


class ConnectionTurnTests(unittest.TestCase):
    """Proxies that serve their own callers use a few connections in turn."""

    def test_few_of_any_number_of_proxies_have_a_turn(self) -> None:
        """Guard against thousands of connections to one server without owners."""
        for proxies in (80, 194, 4_100):
            clock = ManualClock()
            rng = random.Random(1)
            share = 2 / proxies
            turns = [ConnectionTurns(clock, share, rng) for _ in range(proxies)]
            counts = []
            for _ in range(200):
                clock.advance(0.1)
                counts.append(sum(one.wait() <= 0 for one in turns))
            self.assertLessEqual(max(counts), 9)
            self.assertAlmostEqual(sum(counts) / len(counts), 2, delta=0.7)

    def test_a_refusal_ends_the_turn_and_delays_the_next(self) -> None:
        clock = ManualClock()
        turns = ConnectionTurns(clock, 0.5, random.Random(1))
        clock.advance(turns.wait())
        self.assertEqual(turns.wait(), 0)
        turns.record_connection_refused()
        self.assertGreater(turns.wait(), 0)

    def test_a_long_use_delays_the_next_turn(self) -> None:
        """Guard against transactions that hold one of few connections all the time."""
        clock = ManualClock()
        turns = ConnectionTurns(clock, 0.5, random.Random(1))
        clock.advance(turns.wait() + 5.0)
        turns.record_use()
        self.assertGreater(turns.wait(), 0)
