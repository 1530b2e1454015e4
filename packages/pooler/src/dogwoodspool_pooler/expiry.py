"""Close connections that idle in pools which nobody uses at present."""

from collections.abc import Callable

from dogwoodspool_common import Clock
from dogwoodspool_following import Coordinator

from .const import EXPIRY_CHECK_SECONDS
from .registry import BackendRegistry


class ConnectionExpiry(Coordinator):
    """Give up what a burst of callers has left open.

    Args:
        is_handed_on: tells whether requests to a group go to other processes, which
            then need all connections that its servers take.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        is_handed_on: Callable[[str], bool],
        clock: Clock,
    ) -> None:
        super().__init__("connection-expiry", clock)
        self._registry = registry
        self._is_handed_on = is_handed_on

    def step(self) -> float:
        """Look once at every pool."""
        for backend in self._registry.all():
            if self._is_handed_on(backend.server.group):
                backend.pool.close_idle()
            else:
                backend.pool.close_expired()
        return EXPIRY_CHECK_SECONDS
