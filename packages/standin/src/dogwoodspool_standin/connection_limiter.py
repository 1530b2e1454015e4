"""Limits on the number of connections."""


class ConnectionLimiter:
    """Count connections and enforce their limits.

    Methods are called on the event loop only; properties are read from any thread.

    Args:
        limit: maximum number of connections of callers.
        replication_limit: maximum number of connections of replicas.
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
        """Current number of connections of callers."""
        return self._callers

    @property
    def replicas(self) -> int:
        """Current number of connections of replicas."""
        return self._replicas

    @property
    def peak(self) -> int:
        """Highest number of concurrent connections of callers."""
        return self._peak

    @property
    def refused(self) -> int:
        """Number of callers refused because of the limit."""
        return self._refused

    def try_acquire(self, is_replication: bool) -> bool:
        """Count a new connection; return False if the limit is reached."""
        if is_replication:
            return self._try_acquire_replica()
        if self._callers >= self._limit:
            self._refused += 1
            return False
        self._callers += 1
        self._peak = max(self._peak, self._callers)
        return True

    def release(self, is_replication: bool) -> None:
        """Stop counting a closed connection."""
        if is_replication:
            self._replicas -= 1
        else:
            self._callers -= 1

    def _try_acquire_replica(self) -> bool:
        if self._replicas >= self._replication_limit:
            return False
        self._replicas += 1
        return True
