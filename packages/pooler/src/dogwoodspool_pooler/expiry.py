"""Close idle connections in pools that are not in use."""

from collections.abc import Callable

from dogwoodspool_common import Clock
from dogwoodspool_following import Coordinator

from .const import EXPIRY_CHECK_SECONDS
from .registry import BackendRegistry


class ConnectionExpiry(Coordinator):
    """Close connections that remain open after a burst of requests.

    Args:
        is_forwarded: returns whether requests to a group are forwarded to other
            processes, which then need all connections that its servers accept.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        is_forwarded: Callable[[str], bool],
        clock: Clock,
    ) -> None:
        super().__init__("connection-expiry", clock)
        self._registry = registry
        self._is_forwarded = is_forwarded

    def step(self) -> float:
        """Check every pool once."""
        self._registry.refresh()
        for backend in self._registry.all():
            if self._is_forwarded(backend.server.group):
                backend.pool.close_idle()
            else:
                backend.expire_connections()
        return EXPIRY_CHECK_SECONDS
