"""Ask replicas how far they have received and applied their group's log."""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from dogwoodspool_common import BackendServer, Position
from dogwoodspool_connections import BackendError, PoolTimeoutError
from dogwoodspool_routing import ServerTable

from .access import ServerAccess
from .backend import Backend
from .connection import ServerConnection
from .models import Statement, StatementKind
from .registry import BackendRegistry
from .replica_lag import ReplicaLag


@dataclass(frozen=True, slots=True)
class KnownPosition:
    """A position that a server has told.

    Attributes:
        running_since: clock seconds since which the process that told it is known to
            run.
    """

    position: Position
    running_since: float


@dataclass(frozen=True, slots=True)
class ExpectedApply:
    """A server that is expected to apply a position within some seconds."""

    server: BackendServer
    seconds: float


@dataclass(frozen=True, slots=True)
class KeptConnection:
    """A connection that a question was answered on, and its backend."""

    backend: Backend
    connection: ServerConnection


class ReplicaPositions:
    """Query the positions of replicas on the pools of this process.

    A query takes a server next to no time, so it neither waits for admission nor for a
    connection that callers may use.

    Out of turn no connection stays in the pool. Within ``keeping`` the one that was
    asked is kept for the next question, as only a connection that was opened before a
    read of the view shows that its process was running then.

    Args:
        failure_domain: failure domain of this process.
        kept: connections to keep, by name of their server; None to keep none.
    """

    def __init__(
        self,
        failure_domain: str,
        registry: BackendRegistry,
        table: ServerTable,
        access: ServerAccess,
        replica_lag: ReplicaLag,
        kept: dict[str, KeptConnection] | None = None,
    ) -> None:
        self._failure_domain = failure_domain
        self._registry = registry
        self._table = table
        self._access = access
        self._replica_lag = replica_lag
        self._kept = kept

    @contextmanager
    def keeping(self) -> Iterator["ReplicaPositions"]:
        """Return positions for one caller, whose connections are kept until the end.

        At most one to each server is kept, and only to those whose processes matter.
        """
        connections: dict[str, KeptConnection] = {}
        positions = ReplicaPositions(
            self._failure_domain,
            self._registry,
            self._table,
            self._access,
            self._replica_lag,
            connections,
        )
        try:
            yield positions
        finally:
            for kept in connections.values():
                _release(kept, is_answered=True)

    def reachable(self, servers: Iterable[BackendServer]) -> list[BackendServer]:
        """Return the servers that did not fail last, those of this domain first."""
        return sorted(
            (one for one in servers if self._is_reachable(one)),
            key=lambda one: (
                one.is_leaving,
                one.failure_domain != self._failure_domain,
                one.name,
            ),
        )

    def first_to_apply(
        self, servers: Iterable[BackendServer], position: Position
    ) -> ExpectedApply | None:
        """Return the server that should be the first to apply a position.

        None if the lag of none of them is known. Of several that should have applied it
        already, the first one is returned. A leaving server is never returned, as it
        gets no new transactions, not even an empty one.
        """
        found = None
        for server in servers:
            if server.is_leaving:
                continue
            seconds = self._replica_lag.seconds_until(server, position)
            if seconds is None:
                continue
            if found is None or seconds < found.seconds:
                found = ExpectedApply(server, seconds)
        return found

    def applied(
        self, server: BackendServer, position: Position, deadline: float
    ) -> KnownPosition | None:
        """Return what a server has applied, if it answers whether it has a position."""

        def ask(connection: ServerConnection) -> Position | None:
            begin = Statement(StatementKind.BEGIN_READ_ONLY, wait_for=position)
            end = Statement(StatementKind.ROLLBACK)
            return connection.exchange([begin, end], deadline)[0].position

        applied = self._query(server, ask, deadline)
        if applied is not None:
            self._replica_lag.record_replica(server, applied.position)
        return applied

    def received(self, server: BackendServer, deadline: float) -> KnownPosition | None:
        """Return what a server has received; None without an answer."""
        return self._query(
            server, lambda one: one.received_position(deadline), deadline
        )

    def running_since(self, server: BackendServer) -> float | None:
        """Return since when a server's process is known to run.

        None without an open connection to it.
        """
        return self._registry.backend(server).pool.running_since

    def _is_reachable(self, server: BackendServer) -> bool:
        known = self._table.get(server.name)
        return known is None or not known.is_failing

    def _query(
        self,
        server: BackendServer,
        ask: Callable[[ServerConnection], Position | None],
        deadline: float,
    ) -> KnownPosition | None:
        backend = self._registry.backend(server)
        try:
            connection = self._connect(backend, deadline)
        except PoolTimeoutError:
            return None
        except BackendError as error:
            self._access.record_no_answer(server, error)
            return None
        asked = KeptConnection(backend, connection)
        is_answered = False
        try:
            position = ask(connection)
            since = backend.pool.record_answer(connection)
            is_answered = True
        except BackendError as error:
            self._access.record_no_answer(server, error)
            return None
        finally:
            if is_answered and self._is_worth_keeping(backend):
                self._keep(asked)
            else:
                _release(asked, is_answered=is_answered)
        return None if position is None else KnownPosition(position, since)

    def _connect(self, backend: Backend, deadline: float) -> ServerConnection:
        """Return the connection that shows for the longest time which process answers.

        Raises:
            BackendError: there is none, as for ``ConnectionPool.acquire``.
        """
        kept = self._kept.pop(backend.server.name, None) if self._kept else None
        if kept is not None:
            is_usable = kept.connection.is_open
            is_usable = is_usable and not kept.connection.has_unexpected_input()
            if is_usable and kept.backend is backend:
                return kept.connection
            _release(kept, is_answered=is_usable)
        return backend.pool.acquire(
            deadline, is_probe=True, rank=lambda one: one.running_since
        )

    def _is_worth_keeping(self, backend: Backend) -> bool:
        if self._kept is None or not backend.server.incarnation:
            return False
        return backend.turns.wait() > 0

    def _keep(self, asked: KeptConnection) -> None:
        if self._kept is not None:
            self._kept[asked.backend.server.name] = asked


def _release(asked: KeptConnection, *, is_answered: bool) -> None:
    is_reusable = is_answered and asked.backend.turns.wait() <= 0
    asked.backend.pool.release(asked.connection, reuse=is_reusable)
