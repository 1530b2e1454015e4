"""Tests of the token bucket."""

import math
import unittest

from dogwoodspool_accounts import TokenBucket
from dogwoodspool_common import RateLimit

LIMIT = RateLimit(per_second=2, burst=4)


class TokenBucketTests(unittest.TestCase):
    """Tokens accrue with time and never exceed the capacity by themselves."""

    def test_tokens_accrue_at_the_rate(self) -> None:
        bucket = TokenBucket(LIMIT, now=10.0)
        self.assertFalse(bucket.take(10.4))
        self.assertTrue(bucket.take(10.5))
        self.assertEqual(bucket.level(100.0), 4)

    def test_clock_that_does_not_advance_accrues_nothing(self) -> None:
        bucket = TokenBucket(LIMIT, now=10.0, level=1)
        self.assertTrue(bucket.take(10.0))
        self.assertFalse(bucket.take(9.0))
        self.assertEqual(bucket.level(10.5), 1)

    def test_only_whole_tokens_are_taken(self) -> None:
        bucket = TokenBucket(LIMIT, now=0.0, level=2.75)
        self.assertEqual(bucket.take_up_to(0.0, 5), 2)
        self.assertEqual(bucket.level(0.0), 0.75)

    def test_added_tokens_may_exceed_the_capacity(self) -> None:
        bucket = TokenBucket(LIMIT, now=0.0, level=4)
        bucket.add(0.0, 10, most=9)
        self.assertEqual(bucket.level(5.0), 9)
        bucket.trim(5.0, most=6)
        self.assertEqual(bucket.level(5.0), 6)
        bucket.trim(5.0, most=1)
        self.assertEqual(bucket.level(5.0), 4)

    def test_lower_limit_drops_the_tokens_above_it(self) -> None:
        bucket = TokenBucket(LIMIT, now=0.0, level=4)
        bucket.set_limit(RateLimit(1, 2), 0.0)
        self.assertEqual(bucket.level(0.0), 2)

    def test_higher_limit_adds_no_tokens_at_once(self) -> None:
        bucket = TokenBucket(LIMIT, now=0.0, level=1)
        bucket.set_limit(RateLimit(8, 8), 0.0)
        self.assertEqual(bucket.level(0.0), 1)
        self.assertEqual(bucket.level(0.5), 5)

    def test_time_until_a_token(self) -> None:
        self.assertEqual(TokenBucket(LIMIT, 0.0).seconds_until(0.0), 0.5)
        self.assertEqual(TokenBucket(LIMIT, 0.0, 1).seconds_until(0.0), 0.0)
        closed = TokenBucket(RateLimit(0, 0), 0.0)
        self.assertEqual(closed.seconds_until(0.0), math.inf)
