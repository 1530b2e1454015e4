"""Replay overloads with admission control and with baselines without it."""

import unittest
from collections.abc import Callable

from dogwoodspool_limits import RetrySchedule

from .replay import (
    CALLER_TIMEOUT_SECONDS,
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


def with_simultaneous_retries(simulation: Simulation) -> Proxy:
    """Build the queue with the same retry time for all refused callers."""
    return Queued(simulation, RetrySchedule(horizon=0.0))


class ReplayTestCase(unittest.TestCase):
    """The same requests with the same work, behind different proxies."""

    def play(self, build: Build, *load: Phase) -> Outcomes:
        total = Outcomes()
        for seed in SEEDS:
            total.add(Replay(build, load, seed).run())
        return total


class OverloadTests(ReplayTestCase):
    """Guard against a collapse of useful work under a ten-second overload.

    Callers of all proxies send more than the server can run. Without a bound every
    request waits behind all earlier ones, so that soon each answer comes after its
    caller has timed out: the server is busy and no caller is served.
    """

    def test_answers_in_time_do_not_fall_under_overload(self) -> None:
        at_capacity = self.play(Queued, Phase(10, 1.0)).in_time
        for times in (2.0, 3.0):
            with self.subTest(times=times):
                outcomes = self.play(Queued, Phase(10, times))
                self.assertGreater(outcomes.in_time, at_capacity)
                self.assertEqual(outcomes.late, 0)

    def test_unbounded_proxies_answer_too_late(self) -> None:
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
    """Guard against refusals while the server has idle slots.

    All callers use one of eight proxies, for example after a load balancer change.
    With a fixed part of the server for each proxy, that proxy queues and refuses
    while the parts of the others are idle.
    """

    load = (Phase(3, 0.8), Phase(5, 0.8, busy_proxies=1), Phase(2, 0.8))

    def test_one_proxy_can_use_the_whole_server(self) -> None:
        self.assertGreater(self.play(Queued, *self.load).share_in_time, 0.99)
        self.assertLess(self.play(StaticSplit, *self.load).share_in_time, 0.8)


class BurstTests(ReplayTestCase):
    """Guard against retries that fail together after a burst.

    For half a second a light load rises to three times the capacity. Refused callers
    that are all given the same delay retry together, find the queue full again and
    give up, although the server is idle soon after.
    """

    load = (Phase(3, 0.6), Phase(0.5, 3.0), Phase(3, 0.6))

    def test_spread_retries_get_more_callers_served(self) -> None:
        spread = self.play(Queued, *self.load)
        together = self.play(with_simultaneous_retries, *self.load)
        self.assertLess(spread.refused, 0.85 * together.refused)
        self.assertEqual(spread.late, 0)

    def test_spread_retries_help_under_a_lasting_overload(self) -> None:
        for times in (2.0, 3.0):
            with self.subTest(times=times):
                spread = self.play(Queued, Phase(10, times))
                together = self.play(with_simultaneous_retries, Phase(10, times))
                self.assertGreater(spread.in_time, together.in_time)


class RetryScheduleTests(unittest.TestCase):
    """Retries are spaced, in order and within the horizon."""

    def test_retries_are_spaced_by_one_statement(self) -> None:
        schedule = RetrySchedule(horizon=1.0)
        delays = [schedule.schedule_retry(10.0, 0.02, 0.25) for _ in range(3)]
        self.assertEqual([round(delay, 6) for delay in delays], [0.02, 0.27, 0.52])

    def test_retries_stay_within_the_horizon(self) -> None:
        schedule = RetrySchedule(horizon=CALLER_TIMEOUT_SECONDS)
        delays = [schedule.schedule_retry(10.0, 0.0, 0.3) for _ in range(10)]
        self.assertEqual(max(delays), CALLER_TIMEOUT_SECONDS)

    def test_a_wait_beyond_the_horizon_is_not_shortened(self) -> None:
        schedule = RetrySchedule(horizon=0.25)
        self.assertAlmostEqual(schedule.schedule_retry(10.0, 2.0, 0.01), 2.0)

    def test_past_retries_do_not_delay_new_ones(self) -> None:
        schedule = RetrySchedule(horizon=1.0)
        for _ in range(10):
            schedule.schedule_retry(10.0, 0.0, 0.1)
        self.assertEqual(schedule.schedule_retry(20.0, 0.0, 0.1), 0.0)
