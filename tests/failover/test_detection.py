"""Tests of the detection of failed primaries."""

import unittest

from dogwoodspool_api import ServerReport, ServerReports
from dogwoodspool_common import Role
from dogwoodspool_failover.detection import (
    PrimaryFailureDetector,
    PrimaryProbes,
    Verdict,
)
from dogwoodspool_failover.reports import ReportTracker

from .fakes import DirectExecutor, Voter


class PrimaryFailureDetectorTests(unittest.TestCase):
    """Two observers must agree before a primary is replaced."""

    def setUp(self) -> None:
        self.voter = Voter()
        clock = self.voter.clock
        self.reports = ReportTracker(clock)
        self.probes = PrimaryProbes(clock, self.voter.group, DirectExecutor())
        self.detector = PrimaryFailureDetector(
            clock, self.reports, self.voter.heartbeats, self.probes
        )
        self.primary = self.voter.state.servers["s1"]
        self.fake = self.voter.group.servers["s1"]

    def report(self, proxy: str, domain: str, **times: float) -> None:
        values = {"failing_ms": 0.0, **times}
        report = ServerReport(server="s1", **values)
        message = ServerReports(proxy=proxy, failure_domain=domain, reports=[report])
        self.reports.record(message)

    def observe(self, seconds: float = 1.0, **times: float) -> Verdict | None:
        """Check every 0.1 s for some seconds while one proxy reports."""
        verdict = None
        for _ in range(round(seconds / 0.1)):
            self.report("p1", "fd1", **times)
            verdict = self.detector.verdict(self.primary)
            if verdict is not None:
                return verdict
            self.voter.clock.advance(0.1)
        return verdict

    def test_healthy_primary_is_not_probed(self) -> None:
        self.assertIsNone(self.detector.verdict(self.primary))
        self.assertIsNone(self.probes.result("s1"))

    def test_one_proxy_alone_is_not_sufficient(self) -> None:
        # One proxy's network link is broken. A change of primary on its report alone
        # would needlessly stop all writes of the group for a second.
        self.assertIsNone(self.observe(3.0, failing_ms=5_000))

    def test_proxy_and_leader_together_are_sufficient(self) -> None:
        self.fake.is_silent = True
        self.assertIs(self.observe(2.0, failing_ms=700), Verdict.FAILED)

    def test_refused_connections_count_sooner_than_silence(self) -> None:
        self.fake.is_refusing = True
        self.assertIs(
            self.observe(0.3, refusing_ms=200, failing_ms=200), Verdict.FAILED
        )

    def test_short_silence_is_no_failure(self) -> None:
        self.fake.is_silent = True
        self.assertIsNone(self.observe(0.4, failing_ms=300))
        self.fake.is_silent = False
        self.voter.clock.advance(0.2)
        self.assertIsNone(self.observe(0.2, failing_ms=300))

    def test_proxies_of_two_domains_need_one_failed_probe(self) -> None:
        self.fake.is_silent = True
        self.report("p2", "fd2", failing_ms=700)
        self.assertIs(self.observe(0.1, failing_ms=700), Verdict.FAILED)

    def test_many_cut_off_proxies_outvote_a_leader_that_reaches_the_primary(
        self,
    ) -> None:
        for proxy, domain in (("p2", "fd2"), ("p3", "fd2")):
            self.report(proxy, domain, failing_ms=900)
        self.assertIs(self.observe(0.1, failing_ms=900), Verdict.CUT_OFF)

    def test_unanswered_writes_count_as_stalled(self) -> None:
        # The primary lost its replicas: reads succeed, but every write waits until
        # its caller times out.
        self.report("p2", "fd2", stalled_ms=900)
        self.assertIs(self.observe(0.1, stalled_ms=900), Verdict.STALLED)

    def test_primary_that_reports_the_replica_role_has_failed(self) -> None:
        self.fake.role = Role.REPLICA
        self.voter.heartbeat(self.fake, 1)
        self.detector.verdict(self.primary)
        self.assertIs(self.detector.verdict(self.primary), Verdict.FAILED)

    def test_old_reports_expire(self) -> None:
        self.fake.is_silent = True
        self.report("p1", "fd1", failing_ms=900)
        self.voter.clock.advance(1.0)
        self.assertIsNone(self.detector.verdict(self.primary))
