"""Tests of adaptive concurrency and the retry budget."""

import unittest

from dogwoodspool_common import ManualClock
from dogwoodspool_limits import AdaptiveConcurrency, RetryBudget


class ServerModel:
    """A server on which statements beyond its slots wait."""

    def __init__(self, slots: float) -> None:
        self.slots = slots

    def latency(self, in_flight: int) -> float:
        return 0.01 * max(1.0, in_flight / self.slots)


class AdaptiveConcurrencyTests(unittest.TestCase):
    """The limit converges to what the server runs without queueing."""

    def setUp(self) -> None:
        self.clock = ManualClock()

    def run_windows(
        self, concurrency: AdaptiveConcurrency, model: ServerModel, windows: int
    ) -> list[int]:
        limits = []
        for _ in range(windows * 20):
            in_flight = concurrency.limit
            self.clock.advance(model.latency(in_flight) / in_flight)
            concurrency.record_answer(model.latency(in_flight), in_flight)
            limits.append(concurrency.limit)
        return limits

    def test_limit_stays_near_the_slots(self) -> None:
        concurrency = AdaptiveConcurrency(self.clock, 3, 20)
        limits = self.run_windows(concurrency, ServerModel(3), 2000)
        self.assertGreaterEqual(min(limits), 1)
        # The latency doubles at six in flight; one window may overshoot.
        self.assertLessEqual(max(limits), 7)

    def test_limit_falls_when_others_take_the_slots(self) -> None:
        concurrency = AdaptiveConcurrency(self.clock, 3, 20)
        model = ServerModel(6)
        before = max(self.run_windows(concurrency, model, 20)[-100:])
        model.slots = 1
        after = max(self.run_windows(concurrency, model, 20)[-100:])
        self.assertLess(after, before / 2)

    def test_limit_is_between_one_and_the_share(self) -> None:
        concurrency = AdaptiveConcurrency(self.clock, 3, 2)
        self.assertEqual(concurrency.limit, 2)
        for _ in range(1000):
            concurrency.record_unanswered()
        self.assertEqual(concurrency.limit, 1)
        concurrency.set_ceiling(0)
        self.assertEqual(concurrency.limit, 1)

    def test_statements_lost_together_lower_the_limit_once(self) -> None:
        concurrency = AdaptiveConcurrency(self.clock, 10, 20)
        for _ in range(10):
            concurrency.record_unanswered()
        self.assertEqual(concurrency.limit, 8)


class RetryBudgetTests(unittest.TestCase):
    """Retries stay a small fraction of the statements served."""

    def spend_all(self, budget: RetryBudget) -> int:
        count = 0
        while budget.try_spend():
            count += 1
        return count

    def test_retries_are_a_fraction_of_statements_served(self) -> None:
        budget = RetryBudget(ManualClock(), 0.1, 0)
        self.assertEqual(self.spend_all(budget), 10)
        for _ in range(55):
            budget.record_served()
        self.assertEqual(self.spend_all(budget), 5)

    def test_rare_statements_may_be_retried(self) -> None:
        clock = ManualClock()
        budget = RetryBudget(clock, 0.0, 3)
        self.spend_all(budget)
        clock.advance(1.0)
        self.assertEqual(self.spend_all(budget), 3)
        clock.advance(1000.0)
        self.assertEqual(self.spend_all(budget), 6)
