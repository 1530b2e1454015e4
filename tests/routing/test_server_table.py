"""Tests of the proxy's table of backend servers."""

import unittest
from dataclasses import replace

from dogwoodspool_common import ManualClock, Position
from dogwoodspool_routing import ServerTable, ServerView

from .builders import announcement, server, status, table_of


class TableTestCase(unittest.TestCase):
    """A table of a1, b1 and c1."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.table = table_of(self.clock)

    def view(self, name: str) -> ServerView:
        view = self.table.get(name)
        assert view is not None
        return view


class MembershipTests(TableTestCase):
    """Servers come from control's view and from announcements."""

    def test_announced_server_is_known_until_its_announcement_expires(self) -> None:
        self.table.record_announcement(announcement("b2"))
        self.assertEqual(len(self.table.servers("orders")), 4)
        self.clock.advance(5.1)
        self.assertEqual(len(self.table.servers("orders")), 3)
        self.assertEqual(self.table.announcements(), [])

    def test_announced_address_replaces_the_committed_one(self) -> None:
        self.table.record_announcement(announcement("b1"))
        self.assertEqual(self.view("b1").server.address.port, 7001)

    def test_server_removed_by_control_is_unknown(self) -> None:
        self.table.adopt_committed([server("a1")])
        self.assertIsNone(self.table.get("b1"))
        self.table.end("b1", 0.1, is_answered=True)

    def test_failures_of_an_earlier_process_do_not_count_for_the_next(self) -> None:
        # Guards against keeping reads from a restarted server until a probe succeeds.
        self.table.adopt_committed([server("b1")])
        self.table.record_failure("b1")
        self.table.end("b1", 9.0, is_answered=True)
        self.table.record_failure("b1")
        self.table.adopt_committed([replace(server("b1"), incarnation=2)])
        self.assertFalse(self.view("b1").is_failing)
        self.assertLess(self.view("b1").latency, 0.1)

    def test_latency_of_an_earlier_process_says_nothing_of_the_others(self) -> None:
        """Guard against servers that seem fast since one was, before it restarted."""
        self.table.adopt_committed([server("a1"), server("b1")])
        before = self.view("a1").latency
        self.table.end("b1", 0.0, is_answered=True)
        self.assertLess(self.view("a1").latency, before)
        restarted = replace(server("b1"), incarnation=2)
        self.table.adopt_committed([server("a1"), restarted])
        self.assertEqual(self.view("a1").latency, before)

    def test_server_that_is_no_longer_leaving_gets_work_again(self) -> None:
        self.table.record_status(status("b1", 5, is_leaving=True), 0)
        self.assertFalse(self.view("b1").takes_replica_work)
        self.table.record_status(status("b1", 5), 0)
        self.assertTrue(self.view("b1").takes_replica_work)


class StatusTests(TableTestCase):
    """Bounds count from when the status was requested."""

    def test_elapsed_time_counts_from_the_request(self) -> None:
        self.clock.advance(1.0)
        self.table.record_status(status("b1", 5), asked_at=0.75)
        self.assertEqual(self.view("b1").elapsed_ms, 250)

    def test_late_answer_does_not_replace_a_newer_one(self) -> None:
        self.table.record_status(status("b1", 9), asked_at=0.5)
        self.table.record_status(status("b1", 5), asked_at=0.4)
        known = self.view("b1").status
        assert known is not None
        self.assertEqual(known.position, Position(2, 9))


class LoadTests(TableTestCase):
    """The load is the number of statements in flight, averaged over seconds."""

    def load(self) -> float:
        view = self.table.get("b1")
        assert view is not None
        return view.load

    def test_it_follows_the_statements_in_flight(self) -> None:
        for _ in range(2):
            self.table.begin("b1")
        self.assertEqual(self.load(), 0.0)
        self.clock.advance(10.0)
        self.assertAlmostEqual(self.load(), 2.0, delta=0.01)
        for _ in range(2):
            self.table.end("b1", 10.0, is_answered=True)
        self.assertAlmostEqual(self.load(), 2.0, delta=0.01)
        self.clock.advance(10.0)
        self.assertAlmostEqual(self.load(), 0.0, delta=0.01)

    def test_it_averages_short_statements(self) -> None:
        """Guard against a load that depends on the moment at which it is read."""
        for _ in range(1_000):
            self.table.begin("b1")
            self.clock.advance(0.006)
            self.table.end("b1", 0.006, is_answered=True)
            self.clock.advance(0.004)
        self.assertAlmostEqual(self.load(), 0.6, delta=0.02)


class ReachabilityTests(TableTestCase):
    """Observations report for how long a server has not answered.

    Guards against the demotion of a primary that was never down: an observer is
    suspended for a minute, and when it resumes all its attempts have timed out.
    """

    def unreachable_ms(self) -> float:
        (observation,) = self.table.observations()
        return observation.unreachable_ms

    def test_time_counts_from_the_last_answer(self) -> None:
        self.table.record_status(status("b1", 5), asked_at=0)
        self.clock.advance(0.25)
        self.assertEqual(self.unreachable_ms(), 0)
        self.table.record_failure("b1")
        self.clock.advance(0.25)
        self.table.record_failure("b1")
        self.clock.advance(0.1)
        self.assertEqual(self.unreachable_ms(), 600)
        self.table.record_status(status("b1", 5), asked_at=0.6)
        self.assertEqual(self.unreachable_ms(), 0)

    def test_error_answer_counts_as_an_answer(self) -> None:
        self.table.record_status(status("b1", 5), asked_at=0)
        self.clock.advance(0.5)
        self.table.record_failure("b1")
        self.table.record_reachable("b1")
        self.assertEqual(self.unreachable_ms(), 0)

    def test_suspended_observer_counts_one_bounded_step(self) -> None:
        self.table.record_status(status("b1", 5), asked_at=0)
        self.clock.advance(60)
        self.table.record_failure("b1")
        self.assertLessEqual(self.unreachable_ms(), 1000)

    def test_server_without_attempts_is_not_reported(self) -> None:
        table = ServerTable(self.clock)
        table.adopt_committed([server("a1")])
        self.assertEqual(table.observations(), [])
