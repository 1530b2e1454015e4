"""Tests of server placement for reads, and of connection ceilings."""

import unittest

from dogwoodspool_common import Address, BackendServer, ManualClock
from dogwoodspool_pooler.ceiling import ConnectionCeiling
from dogwoodspool_pooler.placement import expected_time, rank_for_read
from dogwoodspool_routing import ServerView


def server(
    name: str, domain: str, *, latency: float = 0.02, in_flight: int = 0
) -> ServerView:
    """Return a server with three slots."""
    described = BackendServer(name, "chat", domain, Address("10.0.0.1", 1), 3, 20)
    return ServerView(described, None, 0.0, None, False, latency, in_flight)


class RankTests(unittest.TestCase):
    """Reads stay in their failure domain until queueing there costs more than leaving.

    See ``rank_for_read``.
    """

    def rank(self, *servers: ServerView) -> list[str]:
        ranked = rank_for_read(servers, primary="s1", failure_domain="fd1", excluded=())
        return [one.name for one in ranked]

    def test_the_own_failure_domain_is_preferred(self) -> None:
        ranked = self.rank(
            server("s2", "fd2"), server("s3", "fd1", latency=0.03, in_flight=2)
        )
        self.assertEqual(ranked[0], "s3")

    def test_a_server_with_a_free_slot_has_no_queueing_time(self) -> None:
        idle, used = server("a", "fd1"), server("b", "fd1", in_flight=2)
        self.assertEqual(expected_time(idle), expected_time(used))

    def test_a_burst_in_one_domain_spreads_over_the_others(self) -> None:
        # Guards against a queue of seconds at the replica of one failure domain while
        # replicas elsewhere are idle. The replayed load: forty reads arrive together in
        # one domain, and each is placed given the ones before it.
        load = {"s2": 0, "s3": 0, "s4": 0}
        domains = {"s2": "fd1", "s3": "fd2", "s4": "fd3"}
        for _ in range(40):
            views = [
                server(name, domains[name], in_flight=count)
                for name, count in load.items()
            ]
            load[self.rank(*views)[0]] += 1
        self.assertLess(max(load.values()), 20)
        self.assertGreater(min(load.values()), 8)

    def test_a_replica_elsewhere_is_preferred_to_a_primary_elsewhere(self) -> None:
        ranked = self.rank(server("s1", "fd2"), server("s2", "fd3"))
        self.assertEqual(ranked[0], "s2")


class CeilingTests(unittest.TestCase):
    """The connection ceiling is low at first and after each refusal."""

    def test_it_starts_small(self) -> None:
        # After a power loss the servers still count the connections of the processes
        # that ended. Guards against the first proxies to be back taking all the
        # remaining ones, so that proxies that start 50 ms later have none until the old
        # ones are dropped, 1.5 s later.
        clock = ManualClock()
        ceiling = ConnectionCeiling(clock, 6, 0.0)
        self.assertEqual(ceiling.value(), 1)
        clock.advance(0.5)
        self.assertEqual(ceiling.value(), 3)
        clock.advance(1.0)
        self.assertEqual(ceiling.value(), 6)

    def test_it_rises_again_by_one_connection_a_second(self) -> None:
        clock = ManualClock(10.0)
        ceiling = ConnectionCeiling(clock, 6, 0.0)
        self.assertEqual(ceiling.value(), 6)
        ceiling.record_connection_refused(2)
        self.assertEqual(ceiling.value(), 2)
        clock.advance(2.5)
        self.assertEqual(ceiling.value(), 4)
        clock.advance(10)
        self.assertEqual(ceiling.value(), 6)

    def test_it_is_never_lower_than_one(self) -> None:
        ceiling = ConnectionCeiling(ManualClock(10.0), 6, 0.0)
        ceiling.record_connection_refused(0)
        self.assertEqual(ceiling.value(), 1)


class PartCeilingTests(unittest.TestCase):
    """A part that fits the server grows as fast as the server accepts connections."""

    def setUp(self) -> None:
        self.clock = ManualClock(10.0)
        self.ceiling = ConnectionCeiling(self.clock, 12, 10.0, is_part=True)

    def test_accepted_connections_raise_it_at_once(self) -> None:
        """Guard against callers that wait for seconds after a power loss."""
        self.assertEqual(self.ceiling.value(), 1)
        for _ in range(6):
            self.clock.advance(0.012)
            self.ceiling.record_connection_opened()
        self.assertEqual(self.ceiling.value(), 12)

    def test_a_refusal_lowers_it(self) -> None:
        self.clock.advance(10)
        self.assertEqual(self.ceiling.value(), 12)
        self.ceiling.record_connection_refused(3)
        self.assertEqual(self.ceiling.value(), 3)
        self.ceiling.record_connection_opened()
        self.assertGreater(self.ceiling.value(), 3)

    def test_a_new_role_begins_low_and_rises_only_with_time(self) -> None:
        """Guard against two owners that hold the same connections at a change."""
        self.ceiling.set_highest(1, is_part=True)
        self.ceiling.set_highest(12, is_part=True, settles=True)
        self.ceiling.record_connection_opened()
        self.assertEqual(self.ceiling.value(), 1)
        self.clock.advance(0.5)
        self.assertEqual(self.ceiling.value(), 3)
        self.clock.advance(0.5)
        self.ceiling.record_connection_opened()
        self.assertGreater(self.ceiling.value(), 5)

    def test_a_lost_role_lowers_it_at_once(self) -> None:
        self.clock.advance(10)
        self.ceiling.set_highest(1, is_part=True)
        self.assertEqual(self.ceiling.value(), 1)
