"""Interface to a connection to a backend server."""

from collections.abc import Sequence
from typing import Protocol

from dogwoodspool_common import BackendServer
from dogwoodspool_connections import PooledConnection

from .models import Reply, Statement
from .session_state import ConnectionState


class ServerConnection(PooledConnection, Protocol):
    """A connection that carries statements and keeps session state.

    Attributes:
        server: the backend server.
        session: values and prepared statements that are present on the connection.
    """

    server: BackendServer
    session: ConnectionState

    def exchange(self, statements: Sequence[Statement], deadline: float) -> list[Reply]:
        """Send statements together and return the reply to each.

        Raises:
            ConnectFailedError: the connection was closed; nothing was sent.
            OutcomeUnknownError: a reply is missing; the connection is closed.
        """
        ...
