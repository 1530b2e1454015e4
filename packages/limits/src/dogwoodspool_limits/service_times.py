"""Learn how long statements take on a backend server."""

from .const import (
    DEFAULT_SERVICE_TIME,
    LATENCY_WEIGHT,
    MAX_KINDS,
    SERVICE_TIME_DEVIATIONS,
)


class ServiceTimes:
    """Moving averages of the latency of all statements and of each kind.

    A kind that has not been observed is expected to take as long as the average
    statement.
    """

    def __init__(self) -> None:
        self._mean = DEFAULT_SERVICE_TIME
        self._deviation = 0.0
        self._by_kind: dict[str, float] = {}

    @property
    def mean(self) -> float:
        """Moving average of the seconds that a statement takes."""
        return self._mean

    @property
    def usual_bound(self) -> float:
        """Seconds within which most statements end."""
        return self._mean + SERVICE_TIME_DEVIATIONS * self._deviation

    def expected(self, kind: str) -> float:
        """Return the seconds that a statement of a kind is expected to take."""
        return self._by_kind.get(kind, self._mean)

    def record(self, kind: str, latency: float) -> None:
        """Record the latency of a statement."""
        change = latency - self._mean
        self._mean += LATENCY_WEIGHT * change
        self._deviation += LATENCY_WEIGHT * (abs(change) - self._deviation)
        if not kind:
            return
        known = self._by_kind.get(kind)
        if known is not None:
            self._by_kind[kind] = known + LATENCY_WEIGHT * (latency - known)
        elif len(self._by_kind) < MAX_KINDS:
            self._by_kind[kind] = latency
