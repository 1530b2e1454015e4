"""Limit on the connections that this process may hold to one server."""

from dogwoodspool_common import Clock

from .const import (
    CEILING_STEP_SECONDS,
    CONNECTIONS_PER_SUCCESS,
    FIRST_CONNECTIONS,
    MIN_CONNECTIONS,
    PART_SETTLING_SECONDS,
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

    If the full share is a part, and the parts of all processes together fit the server,
    each connection that the server accepts raises the ceiling at once. The server may
    still count connections of processes that have ended. Where a part that is added
    may still be used by another process, which learns of the change later, the ceiling
    rises only with time at first.

    Args:
        highest: number of connections in the full share.
        started_at: clock seconds at which this process began to serve.
        is_part: whether the shares of all processes fit the server.
    """

    def __init__(
        self,
        clock: Clock,
        highest: int,
        started_at: float,
        *,
        is_part: bool = False,
    ) -> None:
        self._clock = clock
        self._is_part = is_part
        self._highest = _with_minimum(highest, is_part=is_part)
        self._ceiling = min(FIRST_CONNECTIONS, highest) if is_part else self._highest
        self._started_at = started_at
        self._changed_at = started_at if is_part else clock.now()
        self._settled_at = started_at

    @property
    def is_part(self) -> bool:
        """Return whether the shares of all processes fit the server."""
        return self._is_part

    @property
    def highest(self) -> int:
        """Number of connections in the full share."""
        return self._highest

    def value(self) -> int:
        """Return the current ceiling."""
        now = self._clock.now()
        seconds = START_STEP_SECONDS if self._is_part else CEILING_STEP_SECONDS
        steps = int((now - self._changed_at) / seconds)
        if steps > 0 and self._ceiling < self._highest:
            self._ceiling = min(self._highest, self._ceiling + steps)
            self._changed_at = now
        if self._is_part:
            return self._ceiling
        first_steps = int((now - self._started_at) / START_STEP_SECONDS)
        return min(self._ceiling, FIRST_CONNECTIONS + first_steps)

    def record_connection_opened(self) -> None:
        """Record that the server accepted a connection."""
        if self._is_part and self._clock.now() >= self._settled_at:
            raised = self._ceiling + CONNECTIONS_PER_SUCCESS
            self._ceiling = min(self._highest, raised)

    def record_connection_refused(self, open_count: int) -> None:
        """Record that the server refused another connection."""
        self._ceiling = max(1, min(self._highest, open_count))
        self._changed_at = self._clock.now()

    def set_highest(
        self, highest: int, *, is_part: bool = False, settles: bool = False
    ) -> None:
        """Change the number of connections in the full share.

        Args:
            highest: the number.
            is_part: whether the shares of all processes fit the server.
            settles: whether another process may still use the added connections, so
                that the ceiling rises only with time at first.
        """
        highest = _with_minimum(highest, is_part=is_part)
        if highest == self._highest and is_part == self._is_part:
            return
        now = self._clock.now()
        is_raised = settles and highest > self._highest
        first = min(self.value(), highest) if is_part else highest
        self._highest, self._is_part = highest, is_part
        self._ceiling = max(FIRST_CONNECTIONS, first)
        if is_part:
            self._changed_at = now
        if is_raised:
            self._settled_at = now + PART_SETTLING_SECONDS


def _with_minimum(highest: int, *, is_part: bool) -> int:
    return max(1 if is_part else MIN_CONNECTIONS, highest)
