"""Close connections that idle in pools which nobody uses at present."""

from dogwoodspool_common import Clock
from dogwoodspool_following import Coordinator

from .const import EXPIRY_LOOK_SECONDS
from .registry import BackendRegistry


class ConnectionExpiry(Coordinator):
    """Give up what a burst of callers has left open."""

    def __init__(self, registry: BackendRegistry, clock: Clock) -> None:
        super().__init__("connection-expiry", clock)
        self._registry = registry

    def step(self) -> float:
        """Look once at every pool."""
        for backend in self._registry.all():
            backend.pool.close_expired()
        return EXPIRY_LOOK_SECONDS
