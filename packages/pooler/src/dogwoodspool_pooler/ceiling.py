"""How many connections to one server this process may hold at present."""

from dogwoodspool_common import Clock

from .const import CEILING_STEP_SECONDS, MIN_CONNECTIONS


class ConnectionCeiling:
    """Share a server's connections with processes that one knows nothing of.

    Some proxies have most of the callers while others idle, and the use changes
    with every failure; fixed parts would leave connections unused. So each may
    take a large part, and a refusal by the server lowers the ceiling to what is
    open. It rises again by one a second.
    """

    def __init__(self, clock: Clock, highest: int) -> None:
        self._clock = clock
        self._highest = max(MIN_CONNECTIONS, highest)
        self._ceiling = self._highest
        self._changed_at = clock.now()

    def value(self) -> int:
        """Return the ceiling at this time."""
        elapsed = self._clock.now() - self._changed_at
        steps = int(elapsed / CEILING_STEP_SECONDS)
        if steps > 0 and self._ceiling < self._highest:
            self._ceiling = min(self._highest, self._ceiling + steps)
            self._changed_at = self._clock.now()
        return self._ceiling

    def note_refused(self, open_count: int) -> None:
        """Take in that the server refused one connection more."""
        self._ceiling = max(1, min(self._highest, open_count))
        self._changed_at = self._clock.now()

    def set_highest(self, highest: int) -> None:
        """Change the largest part."""
        highest = max(MIN_CONNECTIONS, highest)
        if highest != self._highest:
            self._highest = highest
            self._ceiling = highest
