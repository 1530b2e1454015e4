"""Tests of when a primary counts as failed."""

import unittest

from dogwoodspool_api import ServerReport, ServerReports
from dogwoodspool_common import Role
from dogwoodspool_failover.detection import PrimaryJudge, PrimaryProbes, Verdict
from dogwoodspool_failover.reports import ReportBook

from .fakes import DirectExecutor, Voter


class PrimaryJudgeTests(unittest.TestCase):
    """Two observers must agree before a primary is replaced."""

    def setUp(self) -> None:
        self.voter = Voter()
        clock = self.voter.clock
        self.reports = ReportBook(clock)
        self.probes = PrimaryProbes(clock, self.voter.group, DirectExecutor())
        self.judge = PrimaryJudge(
            clock, self.reports, self.voter.heartbeats, self.probes
        )
        self.primary = self.voter.state.servers["s1"]
        self.fake = self.voter.group.servers["s1"]

    def report(self, proxy: str, domain: str, **times: float) -> None:
        values = {"failing_ms": 0.0, **times}
        report = ServerReport(server="s1", **values)
        message = ServerReports(proxy=proxy, failure_domain=domain, reports=[report])
        self.reports.take(message)

    def look(self, seconds: float = 1.0, **times: float) -> Verdict | None:
        """Look again and again while one proxy reports."""
        verdict = None
        for _ in range(round(seconds / 0.1)):
            self.report("p1", "fd1", **times)
            verdict = self.judge.verdict(self.primary)
            if verdict is not None:
                return verdict
            self.voter.clock.advance(0.1)
        return verdict

    def test_a_healthy_primary_is_never_asked(self) -> None:
        self.assertIsNone(self.judge.verdict(self.primary))
        self.assertIsNone(self.probes.record("s1"))

    def test_one_proxy_alone_is_not_believed(self) -> None:
        # One proxy's link is broken. A change of primary on its word would stop
        # every write of the group for a second, for nothing.
        self.assertIsNone(self.look(3.0, failing_ms=5_000))

    def test_a_proxy_and_the_leader_together_are(self) -> None:
        self.fake.is_silent = True
        self.assertIs(self.look(2.0, failing_ms=700), Verdict.FAILED)

    def test_refused_connections_count_sooner_than_silence(self) -> None:
        self.fake.is_refusing = True
        self.assertIs(self.look(0.3, refusing_ms=200, failing_ms=200), Verdict.FAILED)

    def test_a_moment_of_silence_does_not_count(self) -> None:
        self.fake.is_silent = True
        self.assertIsNone(self.look(0.4, failing_ms=300))
        self.fake.is_silent = False
        self.voter.clock.advance(0.2)
        self.assertIsNone(self.look(0.2, failing_ms=300))

    def test_proxies_of_two_domains_need_one_failed_probe(self) -> None:
        self.fake.is_silent = True
        self.report("p2", "fd2", failing_ms=700)
        self.assertIs(self.look(0.1, failing_ms=700), Verdict.FAILED)

    def test_many_cut_off_proxies_move_a_primary_that_the_leader_reaches(self) -> None:
        for proxy, domain in (("p2", "fd2"), ("p3", "fd2")):
            self.report(proxy, domain, failing_ms=900)
        self.assertIs(self.look(0.1, failing_ms=900), Verdict.CUT_OFF)

    def test_writes_without_answers_move_it_too(self) -> None:
        # The primary lost its replicas. Reads look healthy, every write waits
        # until its caller gives up.
        self.report("p2", "fd2", stalled_ms=900)
        self.assertIs(self.look(0.1, stalled_ms=900), Verdict.STALLED)

    def test_a_primary_that_says_it_is_a_replica_has_failed(self) -> None:
        self.fake.role = Role.REPLICA
        self.voter.beat(self.fake, 1)
        self.judge.verdict(self.primary)
        self.assertIs(self.judge.verdict(self.primary), Verdict.FAILED)

    def test_old_reports_are_forgotten(self) -> None:
        self.fake.is_silent = True
        self.report("p1", "fd1", failing_ms=900)
        self.voter.clock.advance(1.0)
        self.assertIsNone(self.judge.verdict(self.primary))
