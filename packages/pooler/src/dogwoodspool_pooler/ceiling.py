"""How many connections to one server this process may hold at present."""

from dogwoodspool_common import Clock

from .const import (
    CEILING_STEP_SECONDS,
    FIRST_CONNECTIONS,
    MIN_CONNECTIONS,
    START_STEP_SECONDS,
)


class ConnectionCeiling:
    """Share a server's connections with processes that one knows nothing of.

    Some proxies have most of the callers while others idle, and the use changes
    with every failure; fixed parts would leave connections unused. So each may
    take a large part, and a refusal by the server lowers the ceiling to what is
    open. It rises again by one a second.

    A process also begins low. After a loss of power all proxies start together, while
    the servers go on to count the connections of before: the first proxy to be back
    would take all others, and the last would have none for a second and a half.

    Args:
        highest: the largest part.
        started_at: clock seconds at which this process began to serve.
    """

    def __init__(self, clock: Clock, highest: int, started_at: float) -> None:
        self._clock = clock
        self._highest = max(MIN_CONNECTIONS, highest)
        self._ceiling = self._highest
        self._started_at = started_at
        self._changed_at = clock.now()

    def value(self) -> int:
        """Return the ceiling at this time."""
        now = self._clock.now()
        steps = int((now - self._changed_at) / CEILING_STEP_SECONDS)
        if steps > 0 and self._ceiling < self._highest:
            self._ceiling = min(self._highest, self._ceiling + steps)
            self._changed_at = now
        first_steps = int((now - self._started_at) / START_STEP_SECONDS)
        return min(self._ceiling, FIRST_CONNECTIONS + first_steps)

    def record_connection_refused(self, open_count: int) -> None:
        """Take in that the server refused one connection more."""
        self._ceiling = max(1, min(self._highest, open_count))
        self._changed_at = self._clock.now()

    def set_highest(self, highest: int) -> None:
        """Change the largest part."""
        highest = max(MIN_CONNECTIONS, highest)
        if highest != self._highest:
            self._highest = highest
            self._ceiling = highest
