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
        is_cut_off: returns whether control does not confirm the view. Whether a server
            that reports its incarnation has restarted can then be told only as long as
            a connection to it is open; see ``FinalWrites``.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        is_forwarded: Callable[[str], bool],
        is_cut_off: Callable[[], bool],
        clock: Clock,
    ) -> None:
        super().__init__("connection-expiry", clock)
        self._registry = registry
        self._is_forwarded = is_forwarded
        self._is_cut_off = is_cut_off

    def step(self) -> float:
        """Check every pool once."""
        is_cut_off = self._is_cut_off()
        for backend in self._registry.all():
            keeps_last = is_cut_off and backend.server.incarnation > 0
            backend.pool.set_keeps_last(keeps_last)
        self._registry.refresh()
        for backend in self._registry.all():
            if self._is_forwarded(backend.server.group):
                backend.pool.close_idle()
            else:
                backend.expire_connections()
        return EXPIRY_CHECK_SECONDS
