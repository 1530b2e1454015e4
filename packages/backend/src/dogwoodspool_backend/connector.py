"""Open connections to backend servers with MySQL's protocol."""

import pymysql
from dogwoodspool_common import BackendServer, Clock
from dogwoodspool_connections import ConnectionPool
from dogwoodspool_settings.models import Statements

from .connection import BackendConnection
from .const import CONNECTION_LIMIT_NUMBERS
from .errors import ConnectFailedError, ConnectionLimitError, ServerDownError
from .models import Credentials
from .wire import Wire

MySqlPool = ConnectionPool[BackendConnection]


class MySqlConnector:
    """Open connections with MySQL's protocol.

    Args:
        credentials: user and password towards the group's servers.
        failure_domain: where this process runs; sent as a connect attribute.
        statements: the group's statements.
    """

    def __init__(
        self,
        credentials: Credentials,
        failure_domain: str,
        statements: Statements,
        clock: Clock,
    ) -> None:
        self._credentials = credentials
        self._failure_domain = failure_domain
        self._statements = statements
        self._clock = clock

    def connect(self, server: BackendServer, deadline: float) -> BackendConnection:
        """Return a connection that is logged in; see ``Connector``."""
        try:
            wire = Wire(
                server, self._credentials, self._failure_domain, self._clock, deadline
            )
        except (OSError, pymysql.MySQLError) as error:
            raise _connect_error(server, error) from error
        except Exception as error:
            # A peer that is no MySQL server makes the library fail in many ways.
            text = f"{server.name}: unreadable handshake: {error!r}"
            raise ConnectFailedError(text) from error
        return BackendConnection(server, wire, self._clock, self._statements)


def _connect_error(server: BackendServer, error: Exception) -> ConnectFailedError:
    number = error.args[0] if error.args else None
    text = f"{server.name} at {server.address}: {error}"
    if isinstance(error, pymysql.MySQLError) and number in CONNECTION_LIMIT_NUMBERS:
        return ConnectionLimitError(text)
    if isinstance(_root_cause(error), ConnectionRefusedError):
        return ServerDownError(text)
    return ConnectFailedError(text)


def _root_cause(error: BaseException) -> BaseException:
    while error.__cause__ is not None or error.__context__ is not None:
        error = error.__cause__ or error.__context__ or error
    return error
