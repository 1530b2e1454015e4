"""Divide an account's rate limit between control's leader and failure domains."""

from collections.abc import Callable
from dataclasses import dataclass

from dogwoodspool_common import RateLimit

from .const import (
    BASE_BURST_SHARE,
    BASE_SHARE,
    BASE_TOLERANCE_SHARE,
    DEFAULT_OVERSHOOT,
    DEFAULT_SLACK,
    DEFAULT_WINDOW_SECONDS,
    HOLD_SECONDS,
    LOCAL_HOLD_SECONDS,
    RESERVE_BURST_SHARE,
    RESERVE_SHARE,
    START_TOLERANCE_SHARE,
)


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

    def bound(self, limit: RateLimit) -> float:
        """Return the most operations that any window may have."""
        allowed = limit.per_second * self.window + limit.burst
        return allowed * (1 + self.overshoot) + self.slack


@dataclass(frozen=True, slots=True)
class Allocation:
    """The parts of one account's rate limit.

    Attributes:
        reserve: part that control's leader gives out on demand.
        base: part of each failure domain.
        start: tokens with which a limit owner starts.
    """

    reserve: RateLimit
    base: RateLimit
    start: float


def allocate(limit: RateLimit, tolerance: LimitTolerance, domains: int) -> Allocation:
    """Divide a rate limit.

    In any window all failure domains together use at most their base parts, what the
    leader gives out, unused tokens from before and what restarted limit owners start
    with. The parts are chosen so that the sum stays within the tolerance whichever
    processes are cut off, restarted or replaced; where the tolerance is small compared
    with the rate, the leader's part is reduced for that.

    Args:
        limit: the account's limit.
        tolerance: how far operations may exceed it.
        domains: number of failure domains.

    Example:
        >>> parts = allocate(RateLimit(83, 83), LimitTolerance(), domains=4)
        >>> round(parts.reserve.per_second), round(parts.base.per_second, 1)
        (56, 8.2)
    """
    allowed = limit.per_second * tolerance.window + limit.burst
    bound = tolerance.bound(limit)
    margin = bound - allowed
    span = tolerance.window + HOLD_SECONDS + LOCAL_HOLD_SECONDS
    # Counted twice below: full base buckets hold them in addition to their part of the
    # burst, and owners that are replaced meanwhile start with them again.
    starts = margin * START_TOLERANCE_SHARE
    base_rate = BASE_SHARE * limit.per_second + margin * BASE_TOLERANCE_SHARE / span
    base_burst = BASE_BURST_SHARE * limit.burst + starts
    reserve_burst = RESERVE_BURST_SHARE * limit.burst
    rest = bound - starts - base_burst - reserve_burst - base_rate * span
    reserve_rate = min(RESERVE_SHARE * limit.per_second, rest / span)
    # What the rate leaves of the tolerance is for bursts.
    reserve_burst += max(0.0, rest - reserve_rate * span)
    return Allocation(
        RateLimit(max(0.0, reserve_rate), reserve_burst),
        RateLimit(base_rate / domains, base_burst / domains),
        starts / domains,
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
