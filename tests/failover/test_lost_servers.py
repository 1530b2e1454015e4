"""Tests of groups with servers that have ended without announcing it."""

import unittest

from dogwoodspool_api import ServerReport, ServerReports
from dogwoodspool_common import Position, Role
from dogwoodspool_control.commands import ChoosePrimary, RemoveServer
from dogwoodspool_control.models import PromotionReason
from dogwoodspool_failover.const import (
    ADDRESS_HOLD_SECONDS,
    HEARTBEAT_SILENCE,
    SILENT_END_SECONDS,
)
from dogwoodspool_failover.departures import Departures
from dogwoodspool_failover.lost import LostServers
from dogwoodspool_failover.reports import ReportTracker

from .fakes import GROUP, FakeServer
from .test_ended_servers import MAX_PAUSES, EndedServerTestCase

# Checks of a steady group, and seconds between two of them.
LOST_CHECKS = 8
LOST_CHECK_SECONDS = 0.5
REFUSED_MS = 1000.0


class LostMemberTests(EndedServerTestCase):
    """The log of the only writer is enough, whatever members are missing."""

    def replace_lost(self, *names: str) -> None:
        """Lose replicas without a word; others start with the primary's log."""
        for name in names:
            self.crash(name)
            self.voter.join(FakeServer(f"n{int(name[-1]) + 3}"))

    def test_primary_comes_back_after_a_replica_was_lost(self) -> None:
        """Guard against a group that waits for ever for a replica that has ended."""
        self.proxy.write(["s3"])
        self.replace_lost("s2")
        self.crash("s1")
        self.voter.begin()
        self.change()
        self.assert_waits()
        self.come_back("s1", role=Role.PRIMARY)
        self.change()
        self.assert_has_primary()
        self.assert_nothing_lost()

    def test_replica_is_lost_and_not_replaced(self) -> None:
        """Guard against a lost replica that ends the group with the next crash."""
        self.proxy.write(["s2"])
        self.crash("s2")
        self.crash("s1")
        self.voter.begin()
        self.come_back("s1", role=Role.PRIMARY)
        self.change()
        self.assert_has_primary()
        self.assert_nothing_lost()

    def test_planned_change_after_replicas_were_lost(self) -> None:
        """Guard against a planned change that demotes the primary and never ends."""
        self.proxy.write(["s2"])
        self.replace_lost("s2", "s3")
        self.follow_new_primary("n5", "n6")
        self.voter.begin(PromotionReason.PLANNED)
        self.voter.change()
        self.assert_has_primary()
        self.assert_nothing_lost()

    def test_primary_is_lost_as_well(self) -> None:
        """Guard against a choice among servers that may lack the last write."""
        self.proxy.write(["s2"])
        self.crash("s2")
        self.crash("s1")
        self.voter.begin()
        self.change()
        self.assert_waits()

    def test_primary_comes_back_without_its_log(self) -> None:
        """Guard against an empty server that is taken for the primary of before."""
        self.proxy.write(["s2"])
        self.crash("s2")
        self.crash("s1")
        self.voter.begin()
        self.come_back("s1", received=Position(0, 0))
        self.change()
        self.assert_waits()

    def test_silent_member_may_lead(self) -> None:
        """Guard against a writer whose log another primary has rolled back."""
        self.group.late_promotions = {"s2"}
        self.proxy.write(["s2"])
        self.crash("s1")
        self.voter.begin()
        self.change()
        self.assertIn(("promote", "s2"), self.group.orders)
        self.group.move_role("s2")
        self.servers["s2"].is_silent = True
        self.crash("s3")
        self.come_back("s1", received=Position(1, 100))
        self.group.promoted_at = None
        self.change()
        self.assertIsNone(self.group.promoted_at)

    def test_replica_leaves_while_the_group_has_no_primary(self) -> None:
        """Guard against a group that waits for a server that ended while fenced."""
        self.voter.join(FakeServer("n4"))
        self.proxy.write(["s3", "n4"])
        for name in ("s1", "s3"):
            self.servers[name].is_silent = True
        self.voter.begin()
        self.voter.on_pause = lambda: self.end("s2")
        self.change()
        self.assert_waits()
        self.servers["s3"].is_silent = False
        worker = self.voter.worker
        assert worker is not None
        worker.run()
        self.assert_has_primary()
        self.assert_nothing_lost()

    def test_demoted_primary_leaves_with_writes_of_its_own(self) -> None:
        """Guard against a group that waits for what was never acknowledged."""
        self.servers["s1"].received = Position(1, 105)
        self.group.late_promotions = {"s1", "s2", "s3"}
        self.voter.begin()

        def end_primary() -> None:
            promotion = self.voter.state.promotion(GROUP)
            is_retry = promotion is not None and promotion.term > 2  # noqa: PLR2004
            if is_retry and not self.servers["s1"].is_refusing:
                self.end("s1")
                self.group.late_promotions.clear()

        self.voter.on_pause = end_primary
        self.voter.change(max_pauses=10 * MAX_PAUSES)
        self.assert_has_primary()
        self.assert_nothing_lost()

    def test_ended_replica_had_the_newest_write(self) -> None:
        """Guard against a server that lacks what only an ended one had."""
        self.voter.join(FakeServer("n4"))
        self.proxy.write(["s2"])
        for name in ("s1", "s3"):
            self.servers[name].is_silent = True
        self.voter.begin()
        self.voter.on_pause = lambda: self.end("s2")
        self.change()
        self.servers["s3"].is_silent = False
        worker = self.voter.worker
        assert worker is not None
        self.voter.log.is_leader = True
        worker.run()
        self.assert_waits()

    def test_writer_follows_a_lost_member(self) -> None:
        """Guard against a log that a server of an open call has rolled back."""
        self.group.late_promotions = {"s2"}
        self.proxy.write(["s2"])
        self.servers["s1"].is_silent = True
        self.voter.begin()
        self.change()
        self.group.move_role("s2")
        self.crash("s2")
        self.crash("s3")
        self.servers["s1"].received = Position(1, 100)
        self.servers["s1"].is_silent = False
        self.group.promoted_at = None
        self.voter.change()
        self.assertIsNone(self.group.promoted_at)


class LostServerTests(EndedServerTestCase):
    """A server that has ended without a word leaves its group."""

    def setUp(self) -> None:
        super().setUp()
        self.sequence = 0
        self.reporters: dict[str, str] = {"s2": "fd2", "s3": "fd3"}
        self.silent: set[str] = set()
        self.keeps_records = False
        self.lead()

    def lead(self) -> None:
        """Begin the work of a leader."""
        self.voter.heartbeats.reset()
        self.reports = ReportTracker(self.voter.clock)
        self.lost_servers = LostServers(self.voter.dependencies, self.reports)
        self.departures = Departures(
            self.voter.clock, self.voter.state, self.voter.dependencies
        )

    def lose(self, name: str) -> None:
        """End a server without a word."""
        self.silent.add(name)
        self.crash(name)

    def send_heartbeats(self) -> None:
        """Let all servers that run, and that reach control, send a heartbeat."""
        self.sequence += 1
        for name, server in self.servers.items():
            known = self.voter.state.servers.get(name)
            is_final = known is not None and known.is_gone and known.is_leaving
            if name not in self.silent and not is_final:
                self.voter.heartbeat(server, self.sequence)

    def report(self, name: str) -> None:
        """Let a proxy report a server that refuses its connections."""
        report = ServerReport(
            server=name, failing_ms=REFUSED_MS, refusing_ms=REFUSED_MS
        )
        domain = self.reporters[name]
        self.reports.record(
            ServerReports(
                proxy=f"edge-{domain}", failure_domain=domain, reports=[report]
            )
        )

    def rest(self, seconds: float = HEARTBEAT_SILENCE + 4.0) -> None:
        """Do the work of a steady group for some time."""
        for _ in range(round(seconds / LOST_CHECK_SECONDS)):
            self.voter.clock.advance(LOST_CHECK_SECONDS)
            self.send_heartbeats()
            for name in self.silent & self.reporters.keys():
                self.report(name)
            for one in self.lost_servers, self.departures:
                for command in list(one.due_commands()):
                    if not (self.keeps_records and isinstance(command, RemoveServer)):
                        self.voter.commit(command)

    def assert_member(self, name: str) -> None:
        server = self.voter.state.servers[name]
        self.assertFalse(server.is_gone)

    def test_lost_replica_leaves_its_group(self) -> None:
        """Guard against a group that bears one loss in its life."""
        self.proxy.write(["s2"])
        self.lose("s2")
        self.follow_new_primary("s3")
        self.voter.join(FakeServer("n4"))
        self.rest()
        self.assertNotIn("s2", self.voter.state.servers)
        self.follow_new_primary("n4")
        self.proxy.write(["s3"])
        self.crash("s1")
        self.voter.begin()
        self.change()
        self.assert_has_primary()
        self.assert_nothing_lost()

    def test_lost_replica_stays_until_another_has_its_writes(self) -> None:
        """Guard against a replica whose removal leaves a write on the primary only."""
        self.proxy.write(["s2"])
        self.lose("s2")
        self.rest()
        self.assertTrue(self.voter.state.servers["s2"].is_gone)
        self.crash("s1")
        self.voter.begin()
        self.change()
        self.assert_waits()

    def test_silent_replica_stays(self) -> None:
        """Guard against a replica behind a cut that no longer counts as a copy."""
        self.servers["s2"].is_silent = True
        self.silent.add("s2")
        self.rest()
        self.assert_member("s2")

    def test_replica_that_sends_heartbeats_stays(self) -> None:
        """Guard against a replica that only control and a proxy cannot reach."""
        self.crash("s2")
        for _ in range(LOST_CHECKS):
            self.report("s2")
            self.rest(LOST_CHECK_SECONDS)
        self.assert_member("s2")

    def test_cut_that_refuses_connections(self) -> None:
        """Guard against a replica that is out of reach for other domains only."""
        self.reporters["s2"] = "fd3"
        self.lose("s2")
        self.rest()
        self.assert_member("s2")

    def test_no_proxy_is_refused(self) -> None:
        """Guard against a leader that is cut off by itself."""
        del self.reporters["s2"]
        self.lose("s2")
        self.rest()
        self.assert_member("s2")

    def test_primary_is_never_taken_for_lost(self) -> None:
        """Guard against a primary that loses its record in place of its role."""
        self.reporters["s1"] = "fd1"
        self.lose("s1")
        self.rest()
        self.assert_member("s1")

    def test_group_without_a_primary(self) -> None:
        """Guard against a member that is removed while no one can tell its writes."""
        self.proxy.write(["s2"])
        self.voter.begin()
        self.lose("s2")
        self.rest()
        self.assert_member("s2")

    def test_change_that_goes_on(self) -> None:
        """Guard against a member that is removed between a choice and its end."""
        self.voter.begin()
        self.voter.commit(ChoosePrimary(GROUP, 2, "s3", 100))
        self.lose("s2")
        self.rest()
        self.assert_member("s2")

    def test_lost_replica_runs_again_behind_a_cut(self) -> None:
        """Guard against a silent server that is removed as if it had ended."""
        self.lose("s2")
        self.servers["s3"].received = Position(1, 99)
        self.rest()
        self.assertTrue(self.voter.state.servers["s2"].is_gone)
        self.servers["s2"].is_refusing = False
        self.servers["s2"].is_silent = True
        self.follow_new_primary("s3")
        self.rest(2 * SILENT_END_SECONDS)
        self.assertIn("s2", self.voter.state.servers)

    def test_replica_returns(self) -> None:
        """Guard against a replica that is ignored for good after a short outage."""
        self.lose("s2")
        self.servers["s3"].received = Position(1, 99)
        self.rest()
        self.assertTrue(self.voter.state.servers["s2"].is_gone)
        self.servers["s2"].is_refusing = False
        self.silent.discard("s2")
        self.rest(LOST_CHECK_SECONDS)
        self.assert_member("s2")

    def test_replica_returns_and_confirms_a_write(self) -> None:
        """Guard against a copy that is removed for what was found before its return."""
        self.test_replica_returns()
        self.proxy.settle()
        self.proxy.write(["s2"])
        self.assertEqual(len(self.proxy.successes), 1)
        self.lose("s2")
        self.servers["s3"].received = Position(1, 100)
        self.rest()
        self.assertIn("s2", self.voter.state.servers)
        self.crash("s1")
        self.voter.begin()
        self.change()
        self.assert_waits()

    def test_replica_returns_before_its_removal(self) -> None:
        """Guard against a removal that rests on what was found before a return."""
        self.keeps_records = True
        self.lose("s2")
        self.rest()
        self.servers["s2"].is_refusing = False
        self.silent.discard("s2")
        self.rest(LOST_CHECK_SECONDS)
        self.keeps_records = False
        self.proxy.settle()
        self.proxy.write(["s2"])
        self.assertEqual(len(self.proxy.successes), 1)
        self.lose("s2")
        self.rest()
        self.assertIn("s2", self.voter.state.servers)

    def test_end_is_known_to_the_next_leader(self) -> None:
        """Guard against a loss that each new leader has to find again."""
        self.lose("s2")
        self.servers["s3"].received = Position(1, 99)
        self.rest()
        self.follow_new_primary("s3")
        self.lead()
        self.rest(HEARTBEAT_SILENCE)
        self.assertNotIn("s2", self.voter.state.servers)

    def test_new_server_at_the_address_of_a_lost_one(self) -> None:
        """Guard against a late heartbeat that takes the address from its new server."""
        self.lose("s2")
        self.servers["s3"].received = Position(1, 99)
        self.rest()
        self.voter.heartbeat(FakeServer("b2"), 1)
        self.voter.clock.advance(ADDRESS_HOLD_SECONDS)
        self.voter.heartbeat(self.servers["s2"], self.sequence + 1)
        self.assertTrue(self.voter.state.servers["s2"].is_gone)
        self.assert_member("b2")


if __name__ == "__main__":
    unittest.main()
