"""Tests of reports of failing servers, also while control has no leader."""

import unittest
from typing import Any, cast

from dogwoodspool_api import ServerReports
from dogwoodspool_common import (
    Address,
    HttpError,
    JsonClient,
    ManualClock,
    PeerRefusedError,
)
from dogwoodspool_following import ControlPeers
from dogwoodspool_pooler.const import CONTROL_QUERY_INTERVAL_SECONDS
from dogwoodspool_pooler.reporting import ReportCoordinator
from dogwoodspool_pooler.stalls import StallTracker
from dogwoodspool_routing import ServerTable

CUT_OFF, SECOND, THIRD = (Address("127.0.0.1", port) for port in (1, 2, 3))


class FakeControl:
    """Three control processes, of which the previous leader is cut off.

    Attributes:
        unresponsive: address of another process that does not answer.
        leader: address of the current leader; the others name the last one they knew.
        reachable_again: whether the process that was cut off answers again.
        report_times: clock times at which a leader accepted a report.
    """

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.leader: Address | None = None
        self.reachable_again = False
        self.unresponsive: Address | None = None
        self.report_times: list[float] = []

    def post(
        self, address: Address, _path: str, body: dict[str, Any], timeout: float
    ) -> dict[str, Any]:
        is_cut_off = address == CUT_OFF and not self.reachable_again
        if is_cut_off or address == self.unresponsive:
            self._clock.advance(timeout)
            raise HttpError("timed out")
        if address != self.leader:
            named = self.leader or CUT_OFF
            raise PeerRefusedError(421, "not_leader", str(named))
        ServerReports.model_validate(body)
        self.report_times.append(self._clock.now())
        return {}


class LostLeaderTests(unittest.TestCase):
    """The control leader and a group's primary are cut off together.

    The other control processes name the old leader until they have elected a new one.
    Guards against a proxy that follows each such answer and waits for the old leader:
    the new leader then gets the report of the primary up to 1.6 s late, and callers are
    refused during that time.
    """

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.control = FakeControl(self.clock)
        peers = ControlPeers((CUT_OFF, SECOND, THIRD))
        peers.record_leader_hint(str(CUT_OFF))
        stalls = StallTracker(self.clock)
        stalls.begin("s1")
        self.clock.advance(1.0)
        self.reports = ReportCoordinator(
            "p1",
            "fd1",
            ServerTable(self.clock),
            stalls,
            peers,
            cast(JsonClient, self.control),
            self.clock,
        )

    def run_until(self, time: float) -> None:
        while self.clock.now() < time and not self.control.report_times:
            self.clock.advance(self.reports.step())

    def test_a_new_leader_gets_the_report_soon(self) -> None:
        for elected_at in (1.7, 1.9, 2.1, 2.3, 2.5, 2.7, 2.9):
            with self.subTest(elected_at=elected_at):
                self.setUp()
                self.run_until(elected_at)
                self.control.leader = THIRD
                self.run_until(elected_at + 5)
                self.assertLess(self.control.report_times[0] - elected_at, 0.75)

    def test_an_unresponsive_process_beside_the_lost_leader_costs_one_more_timeout(
        self,
    ) -> None:
        for elected_at in (1.7, 1.9, 2.1, 2.3, 2.5, 2.7, 2.9):
            with self.subTest(elected_at=elected_at):
                self.setUp()
                self.control.unresponsive = SECOND
                self.run_until(elected_at)
                self.control.leader = THIRD
                self.run_until(elected_at + 5)
                self.assertLess(self.control.report_times[0] - elected_at, 0.95)

    def test_the_old_leader_is_tried_again_after_the_others(self) -> None:
        # Only this proxy could not reach the leader for a moment; the others are right
        # in naming it, as it is still the leader.
        self.run_until(1.7)
        self.control.reachable_again = True
        self.control.leader = CUT_OFF
        self.run_until(5.0)
        self.assertLess(self.control.report_times[0], 2.3)


class SuspicionTests(unittest.TestCase):
    """A statement without an answer means a failed server or a proxy that is cut off.

    Guards against a proxy with few callers in a cut-off failure domain that detects the
    cut only after 2.3 s: it calls control only once a server has definitely failed, for
    which two timeouts must pass.
    """

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.control = FakeControl(self.clock)
        self.control.leader = SECOND
        self.peers = ControlPeers((SECOND, THIRD, CUT_OFF))
        self.peers.record_leader_answer(SECOND)
        self.reports = ReportCoordinator(
            "p1",
            "fd1",
            ServerTable(self.clock),
            StallTracker(self.clock),
            self.peers,
            cast(JsonClient, self.control),
            self.clock,
        )

    def test_without_suspicion_nothing_is_sent(self) -> None:
        for _ in range(20):
            self.clock.advance(self.reports.step())
        self.assertEqual(self.control.report_times, [])

    def test_control_is_called_with_nothing_to_report(self) -> None:
        self.reports.ask_control()
        self.reports.step()
        self.assertEqual(len(self.control.report_times), 1)
        self.reports.step()
        self.assertEqual(len(self.control.report_times), 1)

    def test_calls_are_rate_limited_during_an_election(self) -> None:
        for _ in range(30):
            self.reports.ask_control(at_most_every=CONTROL_QUERY_INTERVAL_SECONDS)
            self.reports.step()
            self.clock.advance(0.1)
        self.assertLessEqual(len(self.control.report_times), 4)

    def test_control_is_called_until_it_answers(self) -> None:
        self.control.unresponsive = SECOND
        self.control.leader = None
        self.peers.record_failure(THIRD)
        self.reports.ask_control()
        for _ in range(6):
            self.clock.advance(self.reports.step())
        self.assertTrue(self.peers.contact().is_majority_silent)
        self.control.unresponsive, self.control.leader = None, THIRD
        for _ in range(6):
            self.clock.advance(self.reports.step())
        self.assertGreaterEqual(len(self.control.report_times), 1)
        self.assertFalse(self.peers.contact().is_majority_silent)
