"""Replay the loads that admission is made for, against baselines without it."""

import unittest
from collections.abc import Callable

from dogwoodspool_limits import RetrySchedule

from .replay import (
    PATIENCE_SECONDS,
    Outcomes,
    Phase,
    Proxy,
    Queued,
    Replay,
    Simulation,
    StaticSplit,
    Unbounded,
)

Build = Callable[[Simulation], Proxy]
SEEDS = range(3)


def returning_together(simulation: Simulation) -> Proxy:
    """Build the queue with one time of return for all who are refused."""
    return Queued(simulation, RetrySchedule(horizon=0.0))


class ReplayTestCase(unittest.TestCase):
    """The same requests with the same work, behind different proxies."""

    def play(self, build: Build, *load: Phase) -> Outcomes:
        total = Outcomes()
        for seed in SEEDS:
            total.add(Replay(build, load, seed).run())
        return total


class OverloadTests(ReplayTestCase):
    """Callers of all proxies send more than the server can do, for ten seconds.

    Without a bound every request waits behind all before it, so that soon each answer
    comes after its caller has gone: the server is busy and nobody is served.
    """

    def test_work_done_in_time_does_not_fall_under_overload(self) -> None:
        at_capacity = self.play(Queued, Phase(10, 1.0)).in_time
        for times in (2.0, 3.0):
            with self.subTest(times=times):
                outcomes = self.play(Queued, Phase(10, times))
                self.assertGreater(outcomes.in_time, at_capacity)
                self.assertEqual(outcomes.late, 0)

    def test_unbounded_work_is_answered_too_late(self) -> None:
        queued = self.play(Queued, Phase(10, 3.0))
        unbounded = self.play(Unbounded, Phase(10, 3.0))
        self.assertGreater(queued.in_time, 5 * unbounded.in_time)

    def test_refusals_come_at_once(self) -> None:
        queued = self.play(Queued, Phase(10, 3.0))
        split = self.play(StaticSplit, Phase(10, 3.0))
        self.assertLess(queued.median_to_refusal, 0.01)
        self.assertGreater(split.median_to_refusal, 0.09)

    def test_admission_costs_little_below_the_capacity(self) -> None:
        outcomes = self.play(Queued, Phase(10, 0.95))
        self.assertGreater(outcomes.share_in_time, 0.98)


class ShiftTests(ReplayTestCase):
    """All callers come to one of eight proxies, for instance after a balancer's change.

    With a fixed part of the server for each proxy, that one queues and refuses while
    the parts of the others are idle.
    """

    load = (Phase(3, 0.8), Phase(5, 0.8, busy_proxies=1), Phase(2, 0.8))

    def test_one_proxy_can_use_the_whole_server(self) -> None:
        self.assertGreater(self.play(Queued, *self.load).share_in_time, 0.99)
        self.assertLess(self.play(StaticSplit, *self.load).share_in_time, 0.8)


class BurstTests(ReplayTestCase):
    """Half a second at three times the capacity amid a light load.

    Told one and the same time, the refused callers return together, find the queue full
    again and give up, although the server is idle soon after.
    """

    load = (Phase(3, 0.6), Phase(0.5, 3.0), Phase(3, 0.6))

    def test_turns_to_return_get_more_callers_served(self) -> None:
        in_turn = self.play(Queued, *self.load)
        together = self.play(returning_together, *self.load)
        self.assertLess(in_turn.refused, 0.85 * together.refused)
        self.assertEqual(in_turn.late, 0)

    def test_the_gain_holds_under_a_lasting_overload(self) -> None:
        for times in (2.0, 3.0):
            with self.subTest(times=times):
                in_turn = self.play(Queued, Phase(10, times))
                together = self.play(returning_together, Phase(10, times))
                self.assertGreater(in_turn.in_time, together.in_time)


class ReturnScheduleTests(unittest.TestCase):
    """Turns to return lie apart, in order and within the horizon."""

    def test_turns_lie_apart_by_one_statement(self) -> None:
        schedule = RetrySchedule(horizon=1.0)
        turns = [schedule.schedule_retry(10.0, 0.02, 0.25) for _ in range(3)]
        self.assertEqual([round(turn, 6) for turn in turns], [0.02, 0.27, 0.52])

    def test_turns_stay_within_the_horizon(self) -> None:
        schedule = RetrySchedule(horizon=PATIENCE_SECONDS)
        turns = [schedule.schedule_retry(10.0, 0.0, 0.3) for _ in range(10)]
        self.assertEqual(max(turns), PATIENCE_SECONDS)

    def test_a_queue_beyond_the_horizon_is_told_as_it_is(self) -> None:
        schedule = RetrySchedule(horizon=0.25)
        self.assertAlmostEqual(schedule.schedule_retry(10.0, 2.0, 0.01), 2.0)

    def test_old_turns_are_forgotten(self) -> None:
        schedule = RetrySchedule(horizon=1.0)
        for _ in range(10):
            schedule.schedule_retry(10.0, 0.0, 0.1)
        self.assertEqual(schedule.schedule_retry(20.0, 0.0, 0.1), 0.0)
