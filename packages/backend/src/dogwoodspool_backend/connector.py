"""Open connections to backend servers over the MySQL protocol."""

import pymysql
from dogwoodspool_common import BackendServer, Clock
from dogwoodspool_connections import ConnectionPool
from dogwoodspool_settings.models import Statements

from .connection import BackendConnection
from .const import CONNECTION_LIMIT_ERRORS
from .errors import ConnectFailedError, ConnectionLimitError, ServerDownError
from .models import Credentials
from .wire import Wire

MySqlPool = ConnectionPool[BackendConnection]


class MySqlConnector:
    """Open connections over the MySQL protocol.

    Args:
        credentials: user and password for the group's servers.
        failure_domain: failure domain of this process; sent as a connection
            attribute.
        statements: SQL statements configured for the group.
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

    def connect(
        self, server: BackendServer, deadline: float, account: str = ""
    ) -> BackendConnection:
        """Return an authenticated connection; see ``Connector``."""
        try:
            wire = Wire(
                server,
                self._credentials,
                self._failure_domain,
                self._clock,
                deadline,
                account,
            )
        except (OSError, pymysql.MySQLError) as error:
            raise _connect_error(server, error) from error
        except Exception as error:
            # PyMySQL raises errors of many types if the peer is not a MySQL server.
            text = f"{server.name}: cannot parse the handshake: {error!r}"
            raise ConnectFailedError(text) from error
        return BackendConnection(server, wire, self._clock, self._statements)


def _connect_error(server: BackendServer, error: Exception) -> ConnectFailedError:
    number = error.args[0] if error.args else None
    text = f"{server.name} at {server.address}: {error}"
    if isinstance(error, pymysql.MySQLError) and number in CONNECTION_LIMIT_ERRORS:
        return ConnectionLimitError(text)
    if isinstance(_root_cause(error), ConnectionRefusedError):
        return ServerDownError(text)
    return ConnectFailedError(text)


def _root_cause(error: BaseException) -> BaseException:
    while error.__cause__ is not None or error.__context__ is not None:
        error = error.__cause__ or error.__context__ or error
    return error
