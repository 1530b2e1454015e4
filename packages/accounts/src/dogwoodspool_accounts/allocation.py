"""Divide an account's rate limit between control's leader and failure domains."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from dogwoodspool_common import RateLimit

from .const import (
    BASE_BURST_SHARE,
    BASE_BURST_SLACK_SHARE,
    BASE_SHARE,
    BASE_SLACK_SHARE,
    DEFAULT_OVERSHOOT,
    DEFAULT_SLACK,
    DEFAULT_WINDOW_SECONDS,
    DRAWN_TOLERANCE_SHARE,
    EXTRA_DRAWN_SECONDS,
    LOCAL_HOLD_SECONDS,
    MIN_DRAWN_SECONDS,
    RANDOM_BURST,
    RESERVE_BURST_SHARE,
    RESERVE_SHARE,
    SEND_SECONDS,
    START_SLACK_SHARE,
    START_TOLERANCE_SHARE,
    STARTS_PER_WINDOW,
    TOKEN_AGE_SECONDS,
)

# Greatest time in seconds from the taking of a token until its operation reaches a
# server.
USE_SECONDS: Final = TOKEN_AGE_SECONDS + LOCAL_HOLD_SECONDS + SEND_SECONDS


@dataclass(frozen=True, slots=True)
class LimitTolerance:
    """How far the operations of an account may exceed its limit.

    Attributes:
        window: length in seconds of the windows in which operations are counted.
        overshoot: tolerated fraction of the operations that the limit allows.
        slack: tolerated operations in each window.
    """

    window: float = DEFAULT_WINDOW_SECONDS
    overshoot: float = DEFAULT_OVERSHOOT
    slack: float = DEFAULT_SLACK

    def allowed(self, limit: RateLimit) -> float:
        """Return the operations that a limit allows in a window."""
        return limit.per_second * self.window + limit.burst

    def bound(self, limit: RateLimit) -> float:
        """Return the most operations that any window may have."""
        return self.allowed(limit) * (1 + self.overshoot) + self.slack


@dataclass(frozen=True, slots=True)
class Allocation:
    """The parts of one account's rate limit.

    Attributes:
        reserve: part that control's leader gives out on demand.
        base: part of each failure domain.
        start: tokens with which a limit owner starts.
        drawn_seconds: time for which tokens that a limit owner drew from the leader
            add to its capacity.
    """

    reserve: RateLimit
    base: RateLimit
    start: float
    drawn_seconds: float


def allocate(limit: RateLimit, tolerance: LimitTolerance, domains: int) -> Allocation:
    """Divide a rate limit.

    The operations of a window use tokens that were taken in it or shortly before. All
    failure domains together take at most the capacities of their base parts, what
    accrues there, what the leader gives out in the window and ``drawn_seconds`` before
    it, and what restarted limit owners start with. The sum stays within the tolerance
    whichever processes are cut off, restarted or replaced. Where the tolerance is small
    compared with the rate, the leader's part is reduced so that it does.

    Args:
        limit: the account's limit.
        tolerance: how far operations may exceed it.
        domains: number of failure domains.

    Example:
        >>> parts = allocate(RateLimit(83, 83), LimitTolerance(), domains=4)
        >>> round(parts.reserve.per_second), round(parts.base.per_second, 1)
        (58, 6.7)
    """
    bound = tolerance.bound(limit)
    overshoot = bound - tolerance.slack - tolerance.allowed(limit)
    span = tolerance.window + USE_SECONDS
    starts = START_TOLERANCE_SHARE * overshoot + START_SLACK_SHARE * tolerance.slack
    base_rate = BASE_SHARE * limit.per_second
    base_rate += BASE_SLACK_SHARE * tolerance.slack / span
    burst_slack = BASE_BURST_SLACK_SHARE * tolerance.slack
    base_burst = max(starts, BASE_BURST_SHARE * limit.burst + burst_slack)
    rest = bound - STARTS_PER_WINDOW * starts - base_burst - base_rate * span
    reserve_burst = RESERVE_BURST_SHARE * limit.burst
    reserve_rate = (rest - reserve_burst) / (span + MIN_DRAWN_SECONDS)
    reserve_rate = max(0.0, min(RESERVE_SHARE * limit.per_second, reserve_rate))
    # The tolerance that the rates do not use is for bursts, as capacity of the leader,
    # and for operations that wait, as time for which drawn tokens count.
    rest = max(0.0, rest - reserve_rate * (span + MIN_DRAWN_SECONDS))
    spare = max(0.0, rest - reserve_burst)
    spread = RANDOM_BURST * math.sqrt(limit.per_second)
    drawn_extra = max(DRAWN_TOLERANCE_SHARE * spare, spare - spread)
    drawn_extra = min(drawn_extra, EXTRA_DRAWN_SECONDS * reserve_rate)
    drawn_seconds = MIN_DRAWN_SECONDS
    if reserve_rate > 0:
        drawn_seconds += drawn_extra / reserve_rate
    return Allocation(
        RateLimit(reserve_rate, rest - drawn_extra),
        RateLimit(base_rate / domains, base_burst / domains),
        starts / domains,
        drawn_seconds,
    )


class Allocator:
    """Divide the limits of accounts that are in force.

    Args:
        limit_of: returns an account's limit, None if it has none.
        tolerance: how far operations may exceed a limit.
        domains: returns the number of failure domains.
    """

    def __init__(
        self,
        limit_of: Callable[[str], RateLimit | None],
        tolerance: LimitTolerance,
        domains: Callable[[], int],
    ) -> None:
        self._limit_of = limit_of
        self._tolerance = tolerance
        self._domains = domains

    def parts_of(self, account: str) -> Allocation | None:
        """Return the parts of an account's limit; None if it has no limit."""
        limit = self._limit_of(account)
        if limit is None:
            return None
        return allocate(limit, self._tolerance, self._domains())
