"""Average rate of requests."""

import math

from .const import DEMAND_SECONDS


class Demand:
    """Estimate requests per second by an exponentially weighted average."""

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._updated_at = now

    def record(self, now: float, count: int = 1) -> None:
        """Record requests."""
        self._decay(now)
        self._rate += count / DEMAND_SECONDS

    def per_second(self, now: float) -> float:
        """Return the average rate of the last second or so."""
        self._decay(now)
        return self._rate

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        self._rate *= math.exp(-elapsed / DEMAND_SECONDS)
