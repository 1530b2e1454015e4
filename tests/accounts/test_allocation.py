"""Tests of the division of a rate limit."""

import unittest

from dogwoodspool_accounts import LimitTolerance, allocate
from dogwoodspool_accounts.allocation import USE_SECONDS
from dogwoodspool_accounts.const import STARTS_PER_WINDOW
from dogwoodspool_common import RateLimit
from hypothesis import given, settings
from hypothesis import strategies as st

LIMITS = st.builds(
    RateLimit,
    per_second=st.floats(min_value=0, max_value=100_000),
    burst=st.floats(min_value=0, max_value=200_000),
)
TOLERANCES = st.builds(
    LimitTolerance,
    window=st.floats(min_value=1, max_value=60),
    overshoot=st.floats(min_value=0, max_value=0.5),
    slack=st.floats(min_value=0, max_value=100),
)


class AllocationTests(unittest.TestCase):
    """All parts of a limit together stay within its tolerance."""

    @given(LIMITS, TOLERANCES, st.integers(min_value=1, max_value=6))
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_parts_never_exceed_the_bound(
        self, limit: RateLimit, tolerance: LimitTolerance, domains: int
    ) -> None:
        parts = allocate(limit, tolerance, domains)
        seconds = tolerance.window + USE_SECONDS
        base = parts.base.per_second * seconds + parts.base.burst
        base += STARTS_PER_WINDOW * parts.start
        drawn_in = seconds + parts.drawn_seconds
        reserve = parts.reserve.per_second * drawn_in + parts.reserve.burst
        bound = tolerance.bound(limit)
        # A reserve that is reduced to nothing leaves the base part, which by itself
        # fits into the limit.
        if parts.reserve.per_second > 0:
            self.assertLessEqual(domains * base + reserve, bound * (1 + 1e-9) + 1e-6)
        self.assertGreaterEqual(parts.reserve.per_second, 0)

    def test_most_of_the_limit_can_be_used_in_one_failure_domain(self) -> None:
        for rate in (1, 10, 83, 200):
            parts = allocate(RateLimit(rate, rate), LimitTolerance(), domains=4)
            usable = parts.reserve.per_second + parts.base.per_second
            self.assertGreater(usable, 0.75 * rate)

    def test_nearly_all_of_the_limit_can_be_used_by_all_together(self) -> None:
        for rate in (1, 10, 83, 200):
            parts = allocate(RateLimit(rate, rate), LimitTolerance(), domains=4)
            usable = parts.reserve.per_second + 4 * parts.base.per_second
            self.assertGreater(usable, 0.95 * rate)
