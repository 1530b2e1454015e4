"""Bound retries by a share of the statements served."""

import threading

from dogwoodspool_common import Clock

from .const import RETRY_BURST_SECONDS, RETRY_BURST_STATEMENTS


class RetryBudget:
    """A token bucket for retries.

    When a server fails, every statement on it may want a retry at once, and the
    retries keep down what is left. The bucket is filled by a share of the
    statements served and by a small rate, so that rare statements can be retried.

    Args:
        ratio: retries earned by one statement served.
        min_per_second: retries earned by one second.
    """

    def __init__(self, clock: Clock, ratio: float, min_per_second: float) -> None:
        self._clock = clock
        self._ratio = ratio
        self._min_per_second = min_per_second
        self._lock = threading.Lock()
        self._filled_at = clock.now()
        self._tokens = self._capacity()

    def record_served(self) -> None:
        """Earn the share of one statement served."""
        with self._lock:
            self._fill(self._ratio)

    def try_spend(self) -> bool:
        """Take the right to one retry; False when there is none."""
        with self._lock:
            self._fill(0.0)
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True

    def update_settings(self, ratio: float, min_per_second: float) -> None:
        """Put other settings in force."""
        with self._lock:
            self._fill(0.0)
            self._ratio = ratio
            self._min_per_second = min_per_second
            self._tokens = min(self._tokens, self._capacity())

    def _capacity(self) -> float:
        saved_by_time = self._min_per_second * RETRY_BURST_SECONDS
        return saved_by_time + self._ratio * RETRY_BURST_STATEMENTS

    def _fill(self, earned: float) -> None:
        now = self._clock.now()
        earned += (now - self._filled_at) * self._min_per_second
        self._filled_at = now
        self._tokens = min(self._capacity(), self._tokens + earned)
