"""The highest value of the last moments."""

from dogwoodspool_common import Clock


class Peak:
    """Remember the highest value noted within a window of time.

    Demand is read a few times a second, and a burst between two readings would go
    unseen without it. Two half windows are kept, so that what is remembered is at
    least half a window and at most a whole one old.
    """

    def __init__(self, clock: Clock, window: float) -> None:
        self._clock = clock
        self._half = window / 2
        self._current = 0
        self._previous = 0
        self._began = clock.now()

    def note(self, value: int) -> None:
        """Take in one value."""
        self._turn()
        self._current = max(self._current, value)

    def value(self) -> int:
        """Return the highest value of the window."""
        self._turn()
        return max(self._current, self._previous)

    def _turn(self) -> None:
        elapsed = self._clock.now() - self._began
        if elapsed < self._half:
            return
        self._previous = self._current if elapsed < 2 * self._half else 0
        self._current = 0
        self._began = self._clock.now()
