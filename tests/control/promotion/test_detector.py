"""Tests of the failure detector."""

import unittest

from dogwoodspool_common import Address, ManualClock, Position, Role, ServerStatus
from dogwoodspool_control.models import ProxyRecord
from dogwoodspool_control.promotion.detector import DetectorSettings, FailureDetector

from ..fakes import observation, renewal

TIMES = DetectorSettings(failure_detect=0.6, down_detect=0.15, renew_interval=0.3)
PROXIES = {
    name: ProxyRecord(name, f"{name}-a", f"fd{number % 4}", Address("127.0.0.1", 1))
    for number, name in enumerate(("p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7"))
}
TICK = 0.05


class FailureDetectorTests(unittest.TestCase):
    """Eight proxies in four failure domains observe the primary s1."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.detector = FailureDetector(self.clock)
        self.detector.reset(TIMES.renew_interval)
        self.run_ticks(0.7)

    def run_ticks(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK)):
            self.clock.advance(TICK)
            self.detector.tick()

    def report(
        self,
        names: str,
        unreachable_ms: float,
        status: ServerStatus | None = None,
        down_ms: float = 0,
    ) -> None:
        for name in names.split():
            seen = [observation("s1", unreachable_ms, status)]
            seen = [one.model_copy(update={"down_ms": down_ms}) for one in seen]
            domain = PROXIES[name].failure_domain
            self.detector.observe(renewal(name, domain, observations=seen))

    def is_failed(self, term: int = 1) -> bool:
        return self.detector.is_failed("s1", term, PROXIES.values(), TIMES)

    def test_three_of_four_domains_are_needed(self) -> None:
        self.report("p0 p1 p4 p5", 700)
        self.assertFalse(self.is_failed())
        self.report("p2 p6", 700)
        self.assertTrue(self.is_failed())

    def test_a_short_silence_is_no_failure(self) -> None:
        self.report("p0 p1 p2 p3 p4 p5 p6 p7", 500)
        self.assertFalse(self.is_failed())

    def test_refused_connections_count_sooner_than_silence(self) -> None:
        self.report("p0 p1 p2 p3 p4 p5 p6 p7", 200, down_ms=100)
        self.assertFalse(self.is_failed())
        self.report("p0 p4", 200, down_ms=200)
        self.assertFalse(self.is_failed())
        self.report("p1 p2 p5 p6", 200, down_ms=200)
        self.assertTrue(self.is_failed())

    def test_single_faulty_observer_causes_no_failover(self) -> None:
        """One proxy has lost its connection to the primary and reports it as failed.

        With one registered proxy it would even be the majority of all domains;
        writes would stop although the primary is healthy.
        """
        self.report("p0", 60_000)
        alone = [PROXIES["p0"]]
        self.assertFalse(self.detector.is_failed("s1", 1, alone, TIMES))

    def test_domain_without_a_majority_of_reports_is_not_counted(self) -> None:
        self.report("p0 p1 p2 p4", 700)
        self.report("p5 p6", 0)
        self.assertFalse(self.is_failed())

    def test_isolated_minority_causes_no_failover(self) -> None:
        """A partition separates the leader and two of four domains from the rest.

        The proxies on the primary's side stop renewing; their silence must not
        make the two domains on the leader's side the majority.
        """
        self.report("p0 p1 p2 p3 p4 p5 p6 p7", 0)
        self.run_ticks(0.7)
        self.report("p0 p1 p4 p5", 700)
        self.assertFalse(self.is_failed())

    def test_old_renewals_do_not_count(self) -> None:
        self.report("p0 p1 p2 p4 p5 p6", 700)
        self.run_ticks(0.65)
        self.assertFalse(self.is_failed())

    def test_leader_discards_observations_after_a_suspension(self) -> None:
        """The leader's process is suspended while the primary is briefly unreachable.

        After resuming, it reads renewals that were sent in the meantime. The primary
        serves again, but these outdated reports would cause a failover.
        """
        self.clock.advance(0.4)
        self.report("p0 p1 p2 p4 p5 p6", 700)
        self.assertFalse(self.is_failed())
        self.run_ticks(0.3)
        self.report("p0 p1 p2 p4 p5 p6", 700)
        self.assertFalse(self.is_failed())
        self.run_ticks(0.4)
        self.report("p0 p1 p2 p4 p5 p6", 700)
        self.assertTrue(self.is_failed())

    def test_a_primary_that_comes_back_as_a_replica_has_failed(self) -> None:
        names = "p0 p1 p2 p4 p5 p6"
        status = ServerStatus("s1", Role.REPLICA, Position(2, 7), 0.0, False)
        self.report(names, 0, status)
        self.assertFalse(self.is_failed(term=2))
        self.run_ticks(0.65)
        self.report(names, 0, status)
        self.assertTrue(self.is_failed(term=2))

    def test_a_replica_promoted_just_now_has_not_failed(self) -> None:
        """Proxies still observe the new primary as a replica of the old term."""
        names = "p0 p1 p2 p4 p5 p6"
        status = ServerStatus("s1", Role.REPLICA, Position(1, 7), 0.0, False)
        self.report(names, 0, status)
        self.run_ticks(0.65)
        self.report(names, 0, status)
        self.assertFalse(self.is_failed(term=2))
