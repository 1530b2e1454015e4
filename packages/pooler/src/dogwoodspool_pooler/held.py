"""Interface to a connection that one request or transaction holds."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol, TypeVar

from dogwoodspool_common import BackendServer, Position, log_rate_limited
from dogwoodspool_connections import ConnectFailedError, OutcomeUnknownError

from .errors import NotServedError
from .models import Prepared, Reply, Statement, StatementKind, TransactionState
from .requests import Request


@dataclass(frozen=True, slots=True)
class ReadBound:
    """What the data of a read must reflect if any server may serve it.

    Attributes:
        max_age: age in seconds from which every commit must be reflected.
        at_least: position that must be reflected as well; None for none.
    """

    max_age: float
    at_least: Position | None = None


class HeldConnection(Protocol):
    """A connection that one request or transaction holds; it must be finished."""

    @property
    def server(self) -> BackendServer:
        """The backend server."""
        ...

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open on it."""
        ...

    @property
    def is_remote(self) -> bool:
        """Return whether another process runs its statements.

        That process reports no commit as successful that is not final.
        """
        ...

    def run(
        self,
        values: Mapping[str, str],
        statement: Statement,
        prepared: Prepared | None,
        deadline: float,
    ) -> Reply:
        """Run one statement with a session's values and prepared statement.

        Args:
            values: the session's values.
            statement: the statement that the caller sent.
            prepared: the prepared statement that it executes, if any.
            deadline: clock time by which the complete reply must have arrived.

        Raises:
            NotServedError: it was not admitted in time; nothing was sent.
            ServerNotReachedError: no connection could be opened; nothing was sent.
            ConnectFailedError: the connection had ended; nothing was sent.
            OutcomeUnknownError: no complete reply arrived.
        """
        ...

    def run_internal(
        self,
        statement: Statement,
        deadline: float,
        *,
        bound: ReadBound | None = None,
    ) -> Reply:
        """Run a statement that the pooler itself issues, such as a begin.

        Args:
            statement: the statement to run.
            deadline: clock time by which the complete reply must have arrived.
            bound: what the server must reflect; None if only the primary may serve it.

        Raises:
            NotFreshError: no position is known that satisfies the bound; nothing was
                sent.
            BackendError: as for ``run``.
        """
        ...

    def finish(self, *, is_good: bool) -> None:
        """Release the connection and its admission; repeated calls do nothing."""
        ...


HeldT = TypeVar("HeldT", bound=HeldConnection)
HeldT_co = TypeVar("HeldT_co", bound=HeldConnection, covariant=True)


class ConnectionAccess(Protocol[HeldT_co]):
    """Provide connections to backend servers for requests."""

    def open(
        self,
        server: BackendServer,
        request: Request,
        *,
        has_alternatives: bool = False,
    ) -> HeldT_co:
        """Return a connection of this process, or a proxy for one of another process.

        Args:
            server: the server to run the request on.
            request: the request to run.
            has_alternatives: whether another server can serve the request as well, so
                that it does not wait for this server to accept another connection.

        Raises:
            NotServedError: no connection is available; nothing was sent.
            ConnectFailedError: the server cannot be reached; nothing was sent.
        """
        ...

    def begin_on_primary(self, held: HeldConnection, request: Request) -> Reply:
        """Begin a read-write transaction, which only the acting primary accepts."""
        ...

    def can_satisfy(self, group: str, bound: ReadBound) -> bool:
        """Return whether the serving process may know a position within a bound."""
        ...

    def record_freshness(
        self, server: BackendServer, position: Position | None, asked_at: float
    ) -> None:
        """Record a log position of a server that was certainly the primary then."""
        ...


def roll_back(held: HeldConnection, deadline: float) -> None:
    """Roll back the transaction on a held connection and release the connection."""
    is_good = False
    try:
        reply = held.run_internal(Statement(StatementKind.ROLLBACK), deadline)
        is_good = reply.state is TransactionState.IDLE
    except (NotServedError, ConnectFailedError, OutcomeUnknownError) as error:
        # The connection is closed below, which makes the server roll back as well.
        log_rate_limited("rollback_by_close", server=held.server.name, reason=error)
    finally:
        held.finish(is_good=is_good)
