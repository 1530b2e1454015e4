"""Tests of the part of a limit that control's leader gives out."""

import unittest

from dogwoodspool_accounts import Allocator, LimitReserve, LimitTolerance, allocate
from dogwoodspool_accounts.messages import DrawRequest
from dogwoodspool_common import ManualClock, RateLimit
from pydantic import ValidationError

LIMIT = RateLimit(per_second=20, burst=20)
DOMAINS = 4


class DrawRequestTests(unittest.TestCase):
    """A draw asks for tokens."""

    def test_draw_of_no_or_negative_tokens_is_invalid(self) -> None:
        """Guard against a message that adds tokens to the reserve."""
        for count in (0, -5):
            with self.assertRaises(ValidationError):
                DrawRequest(wanted={"shop": count})


class LimitReserveTests(unittest.TestCase):
    """The leader gives out its part of a limit and no more."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.clock.advance(100)
        self.limits = {"shop": LIMIT}
        allocator = Allocator(self.limits.get, LimitTolerance(), lambda: DOMAINS)
        self.reserve = LimitReserve(allocator, self.clock)

    def test_leader_starts_with_an_empty_reserve(self) -> None:
        self.assertEqual(self.reserve.draw({"shop": 50}, self.clock.now()), {})

    def test_reserve_fills_from_the_moment_of_election(self) -> None:
        given = self.reserve.draw({"shop": 50}, self.clock.now() - 60)
        burst = allocate(LIMIT, LimitTolerance(), DOMAINS).reserve.burst
        self.assertEqual(given, {"shop": int(burst)})

    def test_new_leadership_forgets_what_was_in_the_reserve(self) -> None:
        self.reserve.draw({"shop": 1}, 0.0)
        self.assertEqual(self.reserve.draw({"shop": 50}, self.clock.now()), {})

    def test_account_without_a_limit_gets_nothing(self) -> None:
        self.assertEqual(self.reserve.draw({"other": 5}, 0.0), {})

    def test_removed_accounts_are_forgotten(self) -> None:
        self.reserve.draw({"shop": 1}, 0.0)
        self.limits.clear()
        self.limits["bakery"] = LIMIT
        self.reserve.draw({"bakery": 1}, 0.0)
        self.assertEqual(set(self.reserve._buckets), {"bakery"})
