"""Change the role of backend servers by SQL statements."""

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
    """Give backend servers their role in their group.

    Every method returns the server's status after the change and raises
    ``BackendError``: after ``OutcomeUnknownError`` the change may have happened.
    All may be repeated: a server refuses an older term.
    """

    def status(self, server: BackendServer) -> ServerStatus:
        """Ask for the status."""
        ...

    def promote(self, server: BackendServer, term: int) -> ServerStatus:
        """Make the server its group's primary at a term."""
        ...

    def follow(
        self, server: BackendServer, primary_address: Address, term: int
    ) -> ServerStatus:
        """Make the server a replica of a primary at a term."""
        ...

    def fence(self, server: BackendServer, term: int) -> ServerStatus:
        """Make the server refuse writes under terms older than this one."""
        ...


class SqlRoleChanger:
    """Change roles with the group's statements, each on its own connection.

    Args:
        connect_timeout: seconds for the connection.
        statement_timeout: seconds for the statement's answer.
        failure_domain: where this process runs.
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
        """Ask for the status; see ``RoleChanger``."""
        return self._run(server, self._statements.status)

    def promote(self, server: BackendServer, term: int) -> ServerStatus:
        """Make the server its group's primary; see ``RoleChanger``."""
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
        """Make the server refuse older writes; see ``RoleChanger``."""
        return self._run(server, self._statements.fence.format(term=term))

    def _run(self, server: BackendServer, sql: str) -> ServerStatus:
        deadline = self._clock.now() + self._connect_timeout
        connection = self._connector.connect(server, deadline)
        try:
            return connection.ask_status(sql, self._statement_timeout)
        finally:
            connection.close()
