"""Record which connections a server accepts and refuses."""

from dogwoodspool_common import BackendServer
from dogwoodspool_connections import ConnectionLimitError, Connector

from .ceiling import ConnectionCeiling
from .connection import ServerConnection
from .turns import ConnectionTurns


class RecordingConnector:
    """Open connections to one server and record the outcome; see ``Connector``."""

    def __init__(
        self,
        connector: Connector[ServerConnection],
        ceiling: ConnectionCeiling,
        turns: ConnectionTurns,
    ) -> None:
        self._connector = connector
        self._ceiling = ceiling
        self._turns = turns
        self._refused = 0

    @property
    def refused(self) -> int:
        """Connections that the server refused because of its connection limit."""
        return self._refused

    def connect(
        self, server: BackendServer, deadline: float, account: str = ""
    ) -> ServerConnection:
        """Open a connection; errors as for ``Connector.connect``."""
        try:
            connection = self._connector.connect(server, deadline, account)
        except ConnectionLimitError:
            self._refused += 1
            self._turns.record_connection_refused()
            raise
        self._ceiling.record_connection_opened()
        self._turns.record_connection_opened()
        return connection
