"""What the paths of requests need of a connection that one of them holds."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol, TypeVar

from dogwoodspool_common import BackendServer, Position, log_rate_limited
from dogwoodspool_connections import ConnectFailedError, OutcomeUnknownError

from .models import Prepared, Reply, Statement, StatementKind, TransactionState
from .requests import Request


@dataclass(frozen=True, slots=True)
class ReadBound:
    """What a read that any server may serve must reflect.

    Attributes:
        max_age: every commit older than so many seconds.
        at_least: a position besides; None for none.
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
        """Tell whether a transaction is open on it."""
        ...

    def run(
        self,
        values: Mapping[str, str],
        statement: Statement,
        prepared: Prepared | None,
        deadline: float,
    ) -> Reply:
        """Run one statement in a session's state.

        Args:
            values: the session's values.
            statement: what the caller sent.
            prepared: what it executes, where it executes a prepared statement.
            deadline: clock time until which the whole answer must be there.

        Raises:
            NotServedError: it waited for a place in vain; nothing was sent.
            ServerNotReachedError: no connection came up; nothing was sent.
            ConnectFailedError: the connection had ended; nothing was sent.
            OutcomeUnknownError: no complete answer came.
        """
        ...

    def order(
        self,
        statement: Statement,
        deadline: float,
        *,
        bound: ReadBound | None = None,
    ) -> Reply:
        """Run one of the pooler's own statements.

        Args:
            statement: what shall run.
            deadline: clock time until which the whole answer must be there.
            bound: what the server must reflect, where it may be any.

        Raises:
            NotFreshError: no position is known that meets the bound; nothing was sent.
            BackendError: as for ``run``.
        """
        ...

    def finish(self, *, is_good: bool) -> None:
        """Give connection and place back; finishing again does nothing."""
        ...


HeldT = TypeVar("HeldT", bound=HeldConnection)
HeldT_co = TypeVar("HeldT_co", bound=HeldConnection, covariant=True)


class ConnectionAccess(Protocol[HeldT_co]):
    """Give requests connections to backend servers."""

    def open(
        self,
        server: BackendServer,
        request: Request,
        *,
        has_alternatives: bool = False,
    ) -> HeldT_co:
        """Return a connection, or what stands for one of another process.

        Args:
            server: where it shall run.
            request: what shall run.
            has_alternatives: another server may serve the request as well, so that
                it is not worth waiting until this one takes one connection more.

        Raises:
            NotServedError: there is none; nothing was sent.
            ConnectFailedError: the server cannot be reached; nothing was sent.
        """
        ...

    def begin_on_primary(self, held: HeldConnection, request: Request) -> Reply:
        """Begin a transaction, which only a server that leads does."""
        ...

    def may_be_fresh(self, group: str, bound: ReadBound) -> bool:
        """Tell whether a position that meets a bound may be known where it runs."""
        ...

    def note_fresh(
        self, server: BackendServer, position: Position | None, asked_at: float
    ) -> None:
        """Take in how far a primary was that surely held its place."""
        ...


def roll_back(held: HeldConnection, deadline: float) -> None:
    """End a transaction on a held connection and give the connection back."""
    is_good = False
    try:
        reply = held.order(Statement(StatementKind.ROLLBACK), deadline)
        is_good = reply.state is TransactionState.IDLE
    except (ConnectFailedError, OutcomeUnknownError) as error:
        # The connection is closed below, which ends the transaction as well.
        log_rate_limited("rollback_by_close", server=held.server.name, reason=error)
    finally:
        held.finish(is_good=is_good)
