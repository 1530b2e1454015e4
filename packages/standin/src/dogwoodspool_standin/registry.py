"""Count connections against the caps."""


class Registry:
    """Who is connected; used on the event loop only, read from anywhere.

    Args:
        limit: connections of callers.
        replication_limit: connections of replicas.
    """

    def __init__(self, limit: int, replication_limit: int) -> None:
        self._limit = limit
        self._replication_limit = replication_limit
        self._callers = 0
        self._replicas = 0
        self._peak = 0
        self._refused = 0

    @property
    def callers(self) -> int:
        """Connections of callers now."""
        return self._callers

    @property
    def replicas(self) -> int:
        """Connections of replicas now."""
        return self._replicas

    @property
    def peak(self) -> int:
        """Most connections of callers at a time."""
        return self._peak

    @property
    def refused(self) -> int:
        """Callers refused because of the cap."""
        return self._refused

    def enter(self, is_replication: bool) -> bool:
        """Count a connection in; return False where the cap is reached."""
        if is_replication:
            return self._enter_replica()
        if self._callers >= self._limit:
            self._refused += 1
            return False
        self._callers += 1
        self._peak = max(self._peak, self._callers)
        return True

    def leave(self, is_replication: bool) -> None:
        """Count a connection out."""
        if is_replication:
            self._replicas -= 1
        else:
            self._callers -= 1

    def _enter_replica(self) -> bool:
        if self._replicas >= self._replication_limit:
            return False
        self._replicas += 1
        return True
