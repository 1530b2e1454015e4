"""Tests of reports of servers in trouble, also while control has no leader."""

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
from dogwoodspool_pooler.const import IN_QUESTION_SECONDS
from dogwoodspool_pooler.reporting import ReportCoordinator
from dogwoodspool_pooler.stalls import StallBook
from dogwoodspool_routing import ServerTable

CUT_OFF, SECOND, THIRD = (Address("127.0.0.1", port) for port in (1, 2, 3))


class FakeControl:
    """Three control processes, of which the one that led is cut off.

    Attributes:
        frozen: another one that does not answer.
        leader: who leads now; the others name whom they knew last.
        reachable_again: whether the one that was cut off answers.
        taken: reports that a leader took in, with their times.
    """

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.leader: Address | None = None
        self.reachable_again = False
        self.frozen: Address | None = None
        self.taken: list[float] = []

    def post(
        self, address: Address, _path: str, body: dict[str, Any], timeout: float
    ) -> dict[str, Any]:
        is_cut_off = address == CUT_OFF and not self.reachable_again
        if is_cut_off or address == self.frozen:
            self._clock.advance(timeout)
            raise HttpError("timed out")
        if address != self.leader:
            named = self.leader or CUT_OFF
            raise PeerRefusedError(421, "not_leader", str(named))
        ServerReports.model_validate(body)
        self.taken.append(self._clock.now())
        return {}


class LostLeaderTests(unittest.TestCase):
    """The control leader and a group's primary are cut off together.

    The others go on naming the old leader until they have elected. Each time a proxy
    believed them and waited for the old leader, so that the new one heard of the
    primary up to 1.6 s late, and callers were refused for as long.
    """

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.control = FakeControl(self.clock)
        peers = ControlPeers((CUT_OFF, SECOND, THIRD))
        peers.record_leader_hint(str(CUT_OFF))
        stalls = StallBook(self.clock)
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
        while self.clock.now() < time and not self.control.taken:
            self.clock.advance(self.reports.step())

    def test_a_new_leader_hears_of_it_soon(self) -> None:
        for elected_at in (1.7, 1.9, 2.1, 2.3, 2.5, 2.7, 2.9):
            with self.subTest(elected_at=elected_at):
                self.setUp()
                self.run_until(elected_at)
                self.control.leader = THIRD
                self.run_until(elected_at + 5)
                self.assertLess(self.control.taken[0] - elected_at, 0.75)

    def test_a_frozen_process_beside_the_lost_leader_costs_one_wait_more(self) -> None:
        for elected_at in (1.7, 1.9, 2.1, 2.3, 2.5, 2.7, 2.9):
            with self.subTest(elected_at=elected_at):
                self.setUp()
                self.control.frozen = SECOND
                self.run_until(elected_at)
                self.control.leader = THIRD
                self.run_until(elected_at + 5)
                self.assertLess(self.control.taken[0] - elected_at, 0.95)

    def test_the_old_leader_is_asked_again_after_the_others(self) -> None:
        # Only this proxy could not reach the leader, for a moment, and the others
        # are right: it still leads.
        self.run_until(1.7)
        self.control.reachable_again = True
        self.control.leader = CUT_OFF
        self.run_until(5.0)
        self.assertLess(self.control.taken[0], 2.3)


class DoubtTests(unittest.TestCase):
    """A statement got no answer: is the server in trouble, or this proxy cut off?

    A proxy with few callers in a cut-off failure domain found out after 2.3 s. It asked
    control only once a server had failed for sure, for which two waits had to pass.
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
            StallBook(self.clock),
            self.peers,
            cast(JsonClient, self.control),
            self.clock,
        )

    def test_without_doubt_nothing_is_sent(self) -> None:
        for _ in range(20):
            self.clock.advance(self.reports.step())
        self.assertEqual(self.control.taken, [])

    def test_control_is_asked_with_nothing_to_report(self) -> None:
        self.reports.ask_control()
        self.reports.step()
        self.assertEqual(len(self.control.taken), 1)
        self.reports.step()
        self.assertEqual(len(self.control.taken), 1)

    def test_an_election_does_not_make_all_proxies_ask_all_the_time(self) -> None:
        for _ in range(30):
            self.reports.ask_control(at_most_every=IN_QUESTION_SECONDS)
            self.reports.step()
            self.clock.advance(0.1)
        self.assertLessEqual(len(self.control.taken), 4)

    def test_it_is_asked_until_it_answers(self) -> None:
        self.control.frozen = SECOND
        self.control.leader = None
        self.peers.record_failure(THIRD)
        self.reports.ask_control()
        for _ in range(6):
            self.clock.advance(self.reports.step())
        self.assertTrue(self.peers.contact().is_majority_silent)
        self.control.frozen, self.control.leader = None, THIRD
        for _ in range(6):
            self.clock.advance(self.reports.step())
        self.assertGreaterEqual(len(self.control.taken), 1)
        self.assertFalse(self.peers.contact().is_majority_silent)
