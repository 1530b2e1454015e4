"""Closed connections that a server may still count."""

from collections import deque

from dogwoodspool_common import Clock

from .const import CLOSE_SECONDS


class RecentCloses:
    """Count the connections whose close may not have arrived at the server.

    The pool's lock must be held.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._counted_until: deque[float] = deque()

    @property
    def count(self) -> int:
        """Number of closed connections that the server may still count."""
        now = self._clock.now()
        while self._counted_until and self._counted_until[0] <= now:
            self._counted_until.popleft()
        return len(self._counted_until)

    def record(self) -> None:
        """Record that a connection is closed now."""
        self._counted_until.append(self._clock.now() + CLOSE_SECONDS)

    def until_next(self, seconds: float) -> float:
        """Return the lower of some seconds and those until the next close arrived."""
        if not self.count:
            return seconds
        return min(seconds, self._counted_until[0] - self._clock.now())
