"""Tests of the tokens that a limit owner has of one account."""

import unittest

from dogwoodspool_accounts.const import HISTORY_SECONDS
from dogwoodspool_accounts.owner_bucket import OwnerBucket
from dogwoodspool_common import RateLimit

LIMIT = RateLimit(per_second=2, burst=4)


class OwnerBucketTests(unittest.TestCase):
    """Returned and drawn tokens add nothing to the capacity for long."""

    def setUp(self) -> None:
        self.bucket = OwnerBucket(LIMIT, now=10.0, level=4)

    def test_returned_token_is_worth_what_did_not_accrue_since(self) -> None:
        """Guard against tokens of one window that are used in another."""
        self.bucket.take_up_to(10.0, 1)
        self.assertEqual(self.bucket.give_back(10.25, 1, since=10.0), 0.5)
        self.assertEqual(self.bucket.level(10.25), 4)

    def test_returned_tokens_of_a_drained_bucket_fill_it_once(self) -> None:
        """Guard against a stall after which more operations run than the capacity."""
        for second in range(4):
            self.bucket.take_up_to(10.0 + second / 2, 4)
        worth = self.bucket.give_back(12.0, 7, since=10.0)
        self.assertLessEqual(self.bucket.level(12.0), 4)
        self.assertLess(worth, 4)

    def test_token_that_is_not_remembered_is_worth_nothing(self) -> None:
        self.bucket.take_up_to(10.0, 4)
        now = 10.0 + 2 * HISTORY_SECONDS
        self.bucket.take_up_to(now, 4)
        self.assertEqual(self.bucket.give_back(now, 1, since=10.0), 0)
        self.assertEqual(self.bucket.give_back(now, 1, since=now - 0.1), 1)

    def test_token_of_another_owner_is_worth_nothing(self) -> None:
        """Guard against tokens that one owner gives and another takes back."""
        another = OwnerBucket(LIMIT, now=10.0, level=1)
        self.assertEqual(another.give_back(10.5, 1, since=10.0), 0)

    def test_failed_exchange_returns_nothing(self) -> None:
        self.bucket.take_up_to(10.0, 4)
        self.bucket.set_limit(RateLimit(0, 0.5), 10.0)
        self.assertFalse(self.bucket.exchange(10.0, since=10.0))
        self.assertEqual(self.bucket.level(10.0), 0)

    def test_drawn_tokens_expire(self) -> None:
        """Guard against tokens that add to the operations of a later window."""
        self.bucket.add_drawn(10.0, 6, expires_at=11.0)
        self.assertEqual(self.bucket.level(10.9), 10)
        self.assertEqual(self.bucket.level(11.0), 4)
