"""Sliding maximum of a value over a window of time."""

from dogwoodspool_common import Clock


class Peak:
    """Track the highest value within a window of time.

    Demand is read a few times a second; without the maximum a burst between two
    readings would be missed. Two half windows are kept, so that the maximum covers at
    least the last half window and at most the last whole one.
    """

    def __init__(self, clock: Clock, window: float) -> None:
        self._clock = clock
        self._half = window / 2
        self._current = 0
        self._previous = 0
        self._half_began = clock.now()

    def record(self, value: int) -> None:
        """Record one value."""
        self._rotate()
        self._current = max(self._current, value)

    def value(self) -> int:
        """Return the highest value of the window."""
        self._rotate()
        return max(self._current, self._previous)

    def _rotate(self) -> None:
        elapsed = self._clock.now() - self._half_began
        if elapsed < self._half:
            return
        self._previous = self._current if elapsed < 2 * self._half else 0
        self._current = 0
        self._half_began = self._clock.now()
