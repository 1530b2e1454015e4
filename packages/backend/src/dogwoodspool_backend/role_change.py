"""Change the role of backend servers with SQL statements."""

from typing import Protocol

from dogwoodspool_common import (
    Address,
    BackendServer,
    Clock,
    ServerStatus,
    SystemClock,
)
from dogwoodspool_settings.models import Statements

from .connector import MySqlConnector
from .models import Credentials


class RoleChanger(Protocol):
    """Change the role of backend servers in their group.

    Every method returns the server's status after the change and raises
    ``BackendError`` on failure; after ``OutcomeUnknownError`` the change may have
    taken effect. All methods can be called again, because a server refuses an
    older term.
    """

    def status(self, server: BackendServer) -> ServerStatus:
        """Return the server's status."""
        ...

    def promote(self, server: BackendServer, term: int) -> ServerStatus:
        """Make the server the primary of its group for a term."""
        ...

    def follow(
        self, server: BackendServer, primary_address: Address, term: int
    ) -> ServerStatus:
        """Make the server a replica of a primary for a term."""
        ...

    def fence(self, server: BackendServer, term: int) -> ServerStatus:
        """Make the server refuse writes of older terms than this one."""
        ...


class SqlRoleChanger:
    """Change roles with the group's statements, each on a separate connection.

    Args:
        connect_timeout: time limit for the connection in seconds.
        statement_timeout: time limit for the statement's answer in seconds.
        failure_domain: failure domain of this process.
    """

    def __init__(
        self,
        user: str,
        password: str,
        statements: Statements,
        connect_timeout: float,
        statement_timeout: float,
        *,
        clock: Clock | None = None,
        failure_domain: str = "",
    ) -> None:
        self._statements = statements
        self._connect_timeout = connect_timeout
        self._statement_timeout = statement_timeout
        self._clock: Clock = clock or SystemClock()
        self._connector = MySqlConnector(
            Credentials(user, password), failure_domain, statements, self._clock
        )

    def status(self, server: BackendServer) -> ServerStatus:
        """Return the server's status; see ``RoleChanger``."""
        return self._run(server, self._statements.status)

    def promote(self, server: BackendServer, term: int) -> ServerStatus:
        """Make the server the primary of its group; see ``RoleChanger``."""
        return self._run(server, self._statements.promote.format(term=term))

    def follow(
        self, server: BackendServer, primary_address: Address, term: int
    ) -> ServerStatus:
        """Make the server a replica; see ``RoleChanger``."""
        sql = self._statements.follow.format(
            host=primary_address.host, port=primary_address.port, term=term
        )
        return self._run(server, sql)

    def fence(self, server: BackendServer, term: int) -> ServerStatus:
        """Make the server refuse writes of older terms; see ``RoleChanger``."""
        return self._run(server, self._statements.fence.format(term=term))

    def _run(self, server: BackendServer, sql: str) -> ServerStatus:
        deadline = self._clock.now() + self._connect_timeout
        connection = self._connector.connect(server, deadline)
        try:
            return connection.query_status(sql, self._statement_timeout)
        finally:
            connection.close()
