"""Limit on the connections that this process may hold to one server."""

from dogwoodspool_common import Clock

from .const import (
    CEILING_STEP_SECONDS,
    FIRST_CONNECTIONS,
    MIN_CONNECTIONS,
    START_STEP_SECONDS,
)


class ConnectionCeiling:
    """Adapt to a server's connections being shared with processes not known here.

    Some proxies serve most of the callers while others are idle, and the distribution
    changes with every failure, so fixed shares would leave connections unused. Instead
    each process may take a large share, and a refusal by the server lowers the ceiling
    to the number of open connections. It then rises by one connection a second.

    The ceiling also starts low. After a power loss all proxies start together while the
    servers still count the connections from before: the first proxy to be back would
    take all the remaining ones, and the last would have none for a second and a half.

    Args:
        highest: number of connections in the full share.
        started_at: clock seconds at which this process began to serve.
    """

    def __init__(self, clock: Clock, highest: int, started_at: float) -> None:
        self._clock = clock
        self._highest = max(MIN_CONNECTIONS, highest)
        self._ceiling = self._highest
        self._started_at = started_at
        self._changed_at = clock.now()

    def value(self) -> int:
        """Return the current ceiling."""
        now = self._clock.now()
        steps = int((now - self._changed_at) / CEILING_STEP_SECONDS)
        if steps > 0 and self._ceiling < self._highest:
            self._ceiling = min(self._highest, self._ceiling + steps)
            self._changed_at = now
        first_steps = int((now - self._started_at) / START_STEP_SECONDS)
        return min(self._ceiling, FIRST_CONNECTIONS + first_steps)

    def record_connection_refused(self, open_count: int) -> None:
        """Record that the server refused another connection."""
        self._ceiling = max(1, min(self._highest, open_count))
        self._changed_at = self._clock.now()

    def set_highest(self, highest: int) -> None:
        """Change the number of connections in the full share."""
        highest = max(MIN_CONNECTIONS, highest)
        if highest != self._highest:
            self._highest = highest
            self._ceiling = highest
