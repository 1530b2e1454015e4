"""Tests of the cost of servers for reads and of the choice among them."""

import random
import unittest
from collections import Counter

from dogwoodspool_common import Address, BackendServer, ManualClock, Position
from dogwoodspool_pooler.const import (
    MAX_PRIMARY_VALUE,
    NEARLY_EQUAL_COST,
    PRIMARY_PENALTY,
)
from dogwoodspool_pooler.lag import LagTracker
from dogwoodspool_pooler.read_choice import ReadChooser, ReadConditions
from dogwoodspool_pooler.read_cost import AdmissionState, LoadCost, StandingCost
from dogwoodspool_pooler.replica_lag import ReplicaLag
from dogwoodspool_routing import ServerView

SLOTS = 6
SHARE = 1 / 6
LATENCY = 0.028
POSITION = Position(1, 9)


def server(name: str, domain: str = "fd1", *, load: float = 0.0) -> ServerView:
    """Return a server with a load relative to this process's part of its slots."""
    described = BackendServer(name, "chat", domain, Address("10.0.0.1", 1), SLOTS, 53)
    in_flight = load * SLOTS * SHARE
    return ServerView(described, None, 0.0, None, False, LATENCY, 0, in_flight)


def load_cost(admission: AdmissionState | None = None) -> LoadCost:
    """Return the cost for a process with a sixth of the load."""
    return LoadCost(lambda _group: SHARE, lambda _server: admission)


class LoadCostTests(unittest.TestCase):
    """The room of the primary is worth more the fuller the primary is."""

    def primary_value(self, cost: LoadCost, load: float) -> float:
        of = {
            is_primary: cost.cost(
                server("s1", load=load), is_primary=is_primary, is_own_domain=True
            )
            for is_primary in (True, False)
        }
        return of[True] - of[False]

    def test_it_grows_with_the_load(self) -> None:
        values = [self.primary_value(load_cost(), load / 20) for load in range(30)]
        self.assertEqual(values, sorted(values))
        self.assertAlmostEqual(values[0], PRIMARY_PENALTY)
        self.assertAlmostEqual(values[-1], MAX_PRIMARY_VALUE)

    def test_waits_in_the_queue_raise_it(self) -> None:
        waiting = AdmissionState(limit=6, waiting=3, estimated_wait=0.02)
        value = self.primary_value(load_cost(waiting), 0.2)
        self.assertAlmostEqual(value, MAX_PRIMARY_VALUE)

    def test_without_shared_pools_it_is_the_standing_penalty(self) -> None:
        cost = LoadCost(lambda _group: None, lambda _server: None)
        self.assertAlmostEqual(self.primary_value(cost, 5.0), PRIMARY_PENALTY)


class ReadChooserTests(unittest.TestCase):
    """Costs, positions and chance decide together."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.refusals = LagTracker(self.clock)
        self.lags = ReplicaLag(self.clock)
        self.chooser = ReadChooser(
            load_cost(), self.refusals, self.lags, self.clock, random.Random(1)
        )

    def follow(self, lag: float) -> None:
        """Have the replica follow the primary at a lag, up to the position."""
        for offset in range(POSITION.offset + 1):
            asked_at = self.clock.now()
            self.clock.advance(0.02)
            self.lags.record_primary("chat", Position(1, offset), asked_at)
            reached = Position(1, max(0, offset - round(lag / 0.02)))
            if offset * 0.02 > lag:
                self.lags.record_replica(server("s2").server, reached)

    def choose(self, max_wait: float, *, load: float = 0.9) -> tuple[str, float]:
        servers = [server("s1", load=load), server("s2", "fd2")]
        conditions = ReadConditions("s1", "fd1", (), POSITION, max_wait)
        choice = self.chooser.choose(servers, conditions)
        assert choice is not None
        return choice.server.name, choice.wait

    def test_a_loaded_primary_leaves_reads_to_a_replica_elsewhere(self) -> None:
        self.assertEqual(self.choose(0.0, load=0.9)[0], "s2")
        self.assertEqual(self.choose(0.0, load=0.02)[0], "s1")

    def test_servers_of_nearly_equal_cost_are_chosen_at_random(self) -> None:
        servers = [server("s2"), server("s3"), server("s4", "fd2")]
        conditions = ReadConditions("s1", "fd1", (), None, 0.0)
        chosen: Counter[str] = Counter()
        for _ in range(200):
            choice = self.chooser.choose(servers, conditions)
            assert choice is not None
            chosen[choice.server.name] += 1
        self.assertEqual(set(chosen), {"s2", "s3"})
        self.assertGreater(min(chosen.values()), 70)
        self.assertEqual(StandingCost().tolerance, 0.0)
        self.assertLess(NEARLY_EQUAL_COST, PRIMARY_PENALTY)

    def test_a_read_waits_for_a_replica_that_is_nearly_there(self) -> None:
        self.follow(0.06)
        name, wait = self.choose(0.15)
        self.assertEqual(name, "s2")
        self.assertTrue(0.02 < wait < 0.1, wait)

    def test_it_does_not_wait_beyond_its_bound(self) -> None:
        """Guard against reads that miss their target waiting for a replica."""
        self.follow(0.06)
        self.refusals.record_lagging("s2", POSITION)
        self.assertEqual(self.choose(0.01), ("s1", 0.0))

    def test_it_does_not_wait_for_an_unknown_lag(self) -> None:
        self.refusals.record_lagging("s2", POSITION)
        self.assertEqual(self.choose(0.2), ("s1", 0.0))

    def test_a_failed_wait_is_not_repeated_at_once(self) -> None:
        """Guard against every read waiting for a replica that receives nothing."""
        self.follow(0.06)
        self.refusals.record_lagging("s2", POSITION)
        self.assertEqual(self.choose(0.2)[0], "s2")
        self.chooser.record_wait("s2", POSITION, was_enough=False)
        self.assertEqual(self.choose(0.2), ("s1", 0.0))
