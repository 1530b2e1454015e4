"""The part of a queue's capacity that timely work leaves over."""

from math import exp

from .const import LEFTOVER_SPAN, MIN_LEFTOVER


class Leftover:
    """Moving average of the part of the capacity that timely work does not use."""

    def __init__(self) -> None:
        self._used = 0.0
        self._recorded_at = 0.0

    def record(self, now: float, expected: float, capacity: float) -> None:
        """Record a timely statement that begins to run.

        Args:
            now: clock seconds.
            expected: seconds that it is expected to take.
            capacity: statements that may run at a time.
        """
        self._used = self._decayed(now) + expected / capacity / LEFTOVER_SPAN
        self._recorded_at = now

    def share(self, now: float) -> float:
        """Return the part that is left over, above 0 and at most 1."""
        return min(1.0, max(MIN_LEFTOVER, 1.0 - self._decayed(now)))

    def _decayed(self, now: float) -> float:
        return self._used * exp((self._recorded_at - now) / LEFTOVER_SPAN)
