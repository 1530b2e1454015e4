"""Probe the status of backend servers."""

from collections.abc import Callable
from typing import Protocol

from dogwoodspool_common import BackendServer, Clock, ServerStatus

from .connector import MySqlPool
from .errors import BackendError


class Probe(Protocol):
    """Query a backend server for its role, position, lag and leaving flag."""

    def status(self, server: BackendServer) -> ServerStatus:
        """Return the server's status.

        Raises:
            BackendError: no status was received; the error's attributes tell
                whether the server itself answered, may be unreachable, or neither
                is known (``PoolTimeoutError``: no connection was free).
        """
        ...


class Prober:
    """Probe servers through the pools that the callers' statements use.

    A dedicated connection per proxy and server would use 9 of a server's 20
    connections for probes alone. If a pool has only one connection and it is in
    use, the probe raises ``PoolTimeoutError``, which does not suggest that the
    server is unreachable.

    Args:
        pool_of: returns a server's pool.
        timeout: returns the time limit in seconds of one probe of a server,
            including the wait for a connection; called for each probe, since
            settings change.
    """

    def __init__(
        self,
        pool_of: Callable[[BackendServer], MySqlPool],
        clock: Clock,
        timeout: Callable[[BackendServer], float],
    ) -> None:
        self._pool_of = pool_of
        self._clock = clock
        self._timeout = timeout

    def status(self, server: BackendServer) -> ServerStatus:
        """Return the server's status; see ``Probe``."""
        deadline = self._clock.now() + self._timeout(server)
        pool = self._pool_of(server)
        connection = pool.acquire(deadline, is_probe=True)
        try:
            status = connection.status(max(0.0, deadline - self._clock.now()))
        except BackendError:
            pool.release(connection, reuse=connection.is_open)
            raise
        pool.release(connection, reuse=True)
        return status
