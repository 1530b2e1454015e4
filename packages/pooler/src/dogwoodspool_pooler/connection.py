"""Interface to a connection to a backend server."""

from collections.abc import Sequence
from typing import Protocol

from dogwoodspool_common import BackendServer, Position
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

    def received_position(self, deadline: float) -> Position | None:
        """Return up to which position the server has received its group's log.

        It may not have applied all of that yet. None if the server is too busy to
        tell. Raises the same errors as ``exchange``.
        """
        ...
