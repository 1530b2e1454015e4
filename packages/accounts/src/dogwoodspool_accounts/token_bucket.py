"""Token bucket on a clock that its users read."""

import math

from dogwoodspool_common import RateLimit


class TokenBucket:
    """Hold tokens that accrue at a constant rate up to a capacity.

    Args:
        limit: rate and capacity.
        now: clock seconds.
        level: tokens at the start.

    Example:
        >>> bucket = TokenBucket(RateLimit(per_second=2, burst=3), now=0.0, level=1)
        >>> bucket.take(0.0), bucket.take(0.0), bucket.take(0.5)
        (True, False, True)
    """

    def __init__(self, limit: RateLimit, now: float, level: float = 0.0) -> None:
        self._limit = limit
        self._level = level
        self._filled_at = now

    @property
    def limit(self) -> RateLimit:
        """The rate and capacity."""
        return self._limit

    def level(self, now: float) -> float:
        """Return the number of tokens."""
        self._fill(now)
        return self._level

    def take(self, now: float, count: float = 1) -> bool:
        """Take tokens if there are enough."""
        self._fill(now)
        if self._level < count:
            return False
        self._level -= count
        return True

    def take_up_to(self, now: float, count: float) -> int:
        """Take as many whole tokens as there are, up to a number; return how many."""
        self._fill(now)
        taken = int(min(self._level, count))
        self._level -= taken
        return taken

    def add(self, now: float, count: float, most: float) -> None:
        """Add tokens, up to a level that may exceed the capacity."""
        self._fill(now)
        self._level = max(self._level, min(self._level + count, most))

    def trim(self, now: float, most: float) -> None:
        """Drop the tokens above a level, but none below the capacity."""
        self._fill(now)
        self._level = min(self._level, max(most, self._limit.burst))

    def set_limit(self, limit: RateLimit, now: float) -> None:
        """Change rate and capacity; tokens above the new capacity are dropped."""
        if limit == self._limit:
            return
        self._fill(now)
        self._limit = limit
        self._level = min(self._level, limit.burst)

    def seconds_until(self, now: float, count: float = 1) -> float:
        """Return the seconds until there are some tokens."""
        self._fill(now)
        missing = count - self._level
        if missing <= 0:
            return 0.0
        if self._limit.per_second <= 0:
            return math.inf
        return missing / self._limit.per_second

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = max(now, self._filled_at)
        if self._level < self._limit.burst:
            accrued = self._level + elapsed * self._limit.per_second
            self._level = min(self._limit.burst, accrued)
