"""Ask backend servers for their status."""

from collections.abc import Callable
from typing import Protocol

from dogwoodspool_common import BackendServer, Clock, ServerStatus

from .connector import MySqlPool
from .errors import BackendError


class Probe(Protocol):
    """Ask a backend server for its role, position, lag and leaving mark."""

    def status(self, server: BackendServer) -> ServerStatus:
        """Return the server's status.

        Raises:
            BackendError: there is no status; the error's attributes tell whether
                that is a sign of life, of an unreachable server, or of neither
                (``PoolTimeoutError``: no connection was free).
        """
        ...


class Prober:
    """Ask through the pools that the callers' statements use.

    A dedicated connection per proxy and server would hold 9 of a server's 20
    connections for probes alone. A pool of one connection that is in use gives no
    status: ``PoolTimeoutError``, which is no sign of an unreachable server.

    Args:
        pool_of: gives a server's pool.
        timeout: gives the seconds for one probe of a server, the wait for a
            connection included; asked each time, since settings change.
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
