"""Tests of the tokens of a failure domain."""

import threading
import unittest
from concurrent.futures import ThreadPoolExecutor
from unittest.mock import patch

from dogwoodspool_accounts import Allocator, DomainAllowance, LimitTolerance, allocate
from dogwoodspool_accounts.const import (
    EXHAUSTED_PAUSE_SECONDS,
    RESERVE_OWNER_SECONDS,
)
from dogwoodspool_common import ManualClock, RateLimit

LIMIT = RateLimit(per_second=20, burst=20)
TEST_TIMEOUT = 10.0


class SignallingClock(ManualClock):
    """Report when somebody waits; the lock is held until the wait has begun."""

    def __init__(self) -> None:
        super().__init__()
        self.has_waiter = threading.Event()

    def wait(self, condition: threading.Condition, seconds: float) -> bool:
        self.has_waiter.set()
        return super().wait(condition, seconds)


class DomainAllowanceTests(unittest.TestCase):
    """A limit owner has tokens for its failure domain."""

    def setUp(self) -> None:
        self.clock = SignallingClock()
        allocator = Allocator(lambda _: LIMIT, LimitTolerance(), lambda: 4)
        self.allowance = DomainAllowance(allocator, self.clock)

    def test_returned_token_wakes_who_waits_for_one(self) -> None:
        """Guard against a refusal although a token came back in time."""
        self.allowance.take("shop", 1_000)
        with ThreadPoolExecutor(1) as executor:
            waiting = executor.submit(self.allowance.take_later, "shop", 60.0)
            self.assertTrue(self.clock.has_waiter.wait(TEST_TIMEOUT))
            try:
                self.allowance.give_back("shop", 1)
                self.assertEqual(waiting.result(TEST_TIMEOUT), 1)
            finally:
                self.clock.advance(60.0)

    def test_unused_tokens_beyond_the_demand_are_dropped(self) -> None:
        """Guard against tokens that add to the operations of a later window."""
        self.allowance.take("shop")
        self.allowance.record_draw({"shop": 50}, {"shop": 50})
        self.allowance.wanted()
        self.assertLess(self.allowance.take("shop", 50), 10)

    def test_account_whose_reserve_is_empty_is_not_drawn_at_once(self) -> None:
        self.allowance.take("shop", 20)
        wanted = self.allowance.wanted()
        self.allowance.record_draw(wanted, {"shop": 1})
        self.assertEqual(self.allowance.wanted(), {})
        self.clock.advance(EXHAUSTED_PAUSE_SECONDS)
        self.assertIn("shop", self.allowance.wanted())

    def test_nobody_waits_for_a_reserve_that_is_empty(self) -> None:
        """Guard against a caller who waits for a token that cannot come in time."""
        self.allowance.take("shop", 20)
        self.allowance.record_draw(self.allowance.wanted(), {})
        with patch.object(self.clock, "wait", side_effect=AssertionError("it waits")):
            self.assertEqual(self.allowance.take_later("shop", 0.01), 0)

    def test_owner_in_reserve_has_no_base_part_at_first(self) -> None:
        """Guard against a base part that two owners use at the same time."""
        allocator = Allocator(lambda _: LIMIT, LimitTolerance(), lambda: 4)
        reserve = DomainAllowance(allocator, self.clock, lambda _account: False)
        taken = 0
        for _second in range(int(RESERVE_OWNER_SECONDS)):
            taken += reserve.take("shop", 20)
            self.clock.advance(1.0)
        self.assertEqual(taken, int(allocate(LIMIT, LimitTolerance(), 4).start))
        reserve.take("shop", 20)
        self.clock.advance(1.0)
        self.assertGreater(reserve.take("shop", 20), 0)
