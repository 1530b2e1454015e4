"""Bound retries by a fraction of the statements served."""

import threading

from dogwoodspool_common import Clock

from .const import RETRY_BURST_SECONDS, RETRY_BURST_STATEMENTS


class RetryBudget:
    """A token bucket for retries.

    When a server fails, every statement on it may be retried at once, and the retries
    overload the remaining servers. The bucket is filled by a fraction of the
    statements served and at a small constant rate, so that statements can be retried
    where there are few of them.

    Args:
        ratio: retries earned per statement served.
        min_per_second: retries earned per second.
    """

    def __init__(self, clock: Clock, ratio: float, min_per_second: float) -> None:
        self._clock = clock
        self._ratio = ratio
        self._min_per_second = min_per_second
        self._lock = threading.Lock()
        self._filled_at = clock.now()
        self._tokens = self._capacity()

    def record_served(self) -> None:
        """Record a statement served, which earns a fraction of a retry."""
        with self._lock:
            self._fill(self._ratio)

    def try_spend(self) -> bool:
        """Spend one retry; return False when the budget has none left."""
        with self._lock:
            self._fill(0.0)
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True

    def update_settings(self, ratio: float, min_per_second: float) -> None:
        """Change the rates at which retries are earned."""
        with self._lock:
            self._fill(0.0)
            self._ratio = ratio
            self._min_per_second = min_per_second
            self._tokens = min(self._tokens, self._capacity())

    def _capacity(self) -> float:
        earned_by_time = self._min_per_second * RETRY_BURST_SECONDS
        return earned_by_time + self._ratio * RETRY_BURST_STATEMENTS

    def _fill(self, earned: float) -> None:
        now = self._clock.now()
        earned += (now - self._filled_at) * self._min_per_second
        self._filled_at = now
        self._tokens = min(self._capacity(), self._tokens + earned)
