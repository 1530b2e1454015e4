"""A place on a backend server and a connection to it, for one request."""

from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

from dogwoodspool_common import (
    BackendServer,
    Clock,
    Position,
    log_rate_limited,
    span,
)
from dogwoodspool_connections import (
    BackendError,
    ConnectFailedError,
    ConnectionLimitError,
    PoolTimeoutError,
    ServerDownError,
)
from dogwoodspool_limits import AdmissionOutcome
from dogwoodspool_routing import ServerTable

from .connection import ServerConnection
from .const import (
    CONNECTION_RETRY_SECONDS,
    NO_CONNECTION_RETRY_MS,
    SESSION_ORDER_TIMEOUT,
)
from .errors import NotFreshError, NotServedError
from .freshness import FreshnessTracker
from .held import HeldConnection, ReadBound
from .lag import LagTracker
from .models import (
    ErrorCode,
    Reply,
    Statement,
    StatementError,
    StatementKind,
)
from .pooled_hold import PooledHold
from .registry import Backend, BackendRegistry
from .requests import PlaceRequest, Request
from .server_work import ServerWork
from .session_state import carry_over_cost
from .stalls import StallBook


class ServerAccess:
    """Give requests places and connections of this process; see ``ConnectionAccess``.

    It learns from how the requests end.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        table: ServerTable,
        stalls: StallBook,
        freshness: FreshnessTracker,
        behind: LagTracker,
        suspect: Callable[[str], None],
        clock: Clock,
    ) -> None:
        self._suspect = suspect
        self._registry = registry
        self._table = table
        self._stalls = stalls
        self._freshness = freshness
        self._behind = behind
        self._clock = clock

    def open(
        self,
        server: BackendServer,
        request: Request,
        *,
        has_alternatives: bool = False,
    ) -> PooledHold:
        """Wait for a place and a connection; see ``ConnectionAccess``."""
        return self.open_here(server, request.place(has_alternatives=has_alternatives))

    def open_here(self, server: BackendServer, place: PlaceRequest) -> PooledHold:
        """Wait for a place and a connection, as long as the request may wait.

        A place and a connection that are free are taken also when that time is over.
        Errors as for ``open``.
        """
        backend = self._registry.backend(server)
        backend.adjust()
        start_by = max(place.start_by, self._clock.now())
        with span("admission.wait", server=server.name):
            admitted = backend.admission.admit(start_by, place.priority)
        if admitted.is_error():
            refusal = admitted.error
            message = f"{server.name}: {refusal.reason}"
            raise NotServedError(
                StatementError(ErrorCode.BUSY, message, refusal.retry_after_ms)
            )
        try:
            connection = self._connect(backend, place, start_by)
        except NotServedError:
            admitted.ok.done(0.0, AdmissionOutcome.NO_WORK)
            raise
        except ConnectFailedError:
            admitted.ok.done(0.0, AdmissionOutcome.UNANSWERED)
            raise
        return PooledHold(backend, connection, admitted.ok, self)

    def may_be_fresh(self, group: str, bound: ReadBound) -> bool:
        """Tell whether a position is known that meets a bound."""
        return self._freshness.min_position(group, bound.max_age) is not None

    def behind(self, floor: Position) -> set[str]:
        """Return the servers that need not be asked for a position now."""
        return self._behind.lagging(floor)

    def floor(self, group: str, bound: ReadBound) -> Position:
        """Return the position that a server must have; raise ``NotFreshError``."""
        floor = self._freshness.min_position(group, bound.max_age)
        if floor is None:
            raise NotFreshError(f"no position of {group} is known that is young enough")
        return floor if bound.at_least is None else max(floor, bound.at_least)

    def begin_on_primary(self, held: HeldConnection, request: Request) -> Reply:
        """Begin a transaction, which only a server that leads does; errors as for run.

        The answer shows how far the primary surely was when it was asked.
        """
        asked_at = self._clock.now()
        order_by = min(request.deadline, asked_at + SESSION_ORDER_TIMEOUT)
        reply = held.order(Statement(StatementKind.BEGIN), order_by)
        if reply.error is None:
            self.note_fresh(held.server, reply.position, asked_at)
        return reply

    def now(self) -> float:
        """Return the clock's time."""
        return self._clock.now()

    def exchange(
        self,
        server: BackendServer,
        connection: ServerConnection,
        statements: Sequence[Statement],
        deadline: float,
    ) -> list[Reply]:
        """Send statements and take in what the answers tell of the server."""
        name = server.name
        write = self._stalls.begin(name) if _may_write(statements) else None
        is_answered = False
        try:
            with self.observed(server) as work, span("server.statement", server=name):
                replies = connection.exchange(statements, deadline)
                work.note(statements, replies)
            is_answered = True
        except BackendError as error:
            self.note_trouble(server, error)
            raise
        finally:
            if write is not None:
                self._stalls.end(name, write, is_answered=is_answered)
        for statement, reply in zip(statements, replies, strict=True):
            if statement.wait_for is not None:
                self._note_floor(name, statement.wait_for, reply)
        return replies

    def _note_floor(self, server: str, floor: Position, reply: Reply) -> None:
        if reply.error is None:
            self._behind.record_caught_up(server)
        elif reply.error.code is ErrorCode.BEHIND:
            self._behind.record_lagging(server, floor)
            log_rate_limited(
                "server_behind",
                server=server,
                floor=_shown(floor),
                position=_shown(reply.position),
            )

    @contextmanager
    def observed(self, server: BackendServer) -> Iterator[ServerWork]:
        """Count a statement as in flight; what ends without error was answered."""
        began_at = self._clock.now()
        work = ServerWork()
        is_answered = False
        self._table.begin(server.name)
        try:
            yield work
            is_answered = True
        finally:
            latency = self._clock.now() - began_at if work.was_done else None
            self._table.end(server.name, latency, is_answered=is_answered)

    def note_fresh(
        self, server: BackendServer, position: Position | None, asked_at: float
    ) -> None:
        """Take in how far a primary was that surely held its place."""
        self._freshness.record(server.group, position, asked_at)

    def note_unreachable(self, server: BackendServer, error: BackendError) -> None:
        """Note that no connection came up, which counts against the server."""
        if error.suggests_unreachable:
            is_down = isinstance(error, ServerDownError)
            self._table.note_failure(server.name, is_down=is_down)
        self.note_trouble(server, error)

    def note_trouble(self, server: BackendServer, error: BackendError) -> None:
        """Note that a statement got no answer, or its connection had ended.

        Only the server is asked at once: connections are lost and statements slow on
        servers that work.
        """
        log_rate_limited("server_failed", server=server.name, reason=error)
        if error.suggests_unreachable:
            self._suspect(server.name)

    def _connect(
        self, backend: Backend, place: PlaceRequest, start_by: float
    ) -> ServerConnection:
        def rank(connection: ServerConnection) -> int:
            return carry_over_cost(place.values, connection.session)

        while True:
            try:
                return backend.pool.acquire(start_by, open_by=place.deadline, rank=rank)
            except PoolTimeoutError as error:
                raise NotServedError(_no_connection(backend)) from error
            except ConnectionLimitError as error:
                # Others hold the rest at present; one of ours may come free.
                backend.ceiling.record_connection_refused(backend.pool.open_count)
                backend.adjust()
                log_rate_limited(
                    "connections_exhausted",
                    server=backend.server.name,
                    ceiling=backend.pool.limit,
                )
                remaining = start_by - self._clock.now()
                has_none = backend.pool.open_count == 0
                if remaining <= 0 or (has_none and place.has_alternatives):
                    raise NotServedError(_no_connection(backend)) from error
                if has_none:
                    self._clock.sleep(min(remaining, CONNECTION_RETRY_SECONDS))
            except ConnectFailedError as error:
                self.note_unreachable(backend.server, error)
                raise


def _may_write(statements: Sequence[Statement]) -> bool:
    writing = (StatementKind.WRITE, StatementKind.COMMIT)
    return any(statement.kind in writing for statement in statements)


def _shown(position: Position | None) -> str:
    return "-" if position is None else f"{position.term}.{position.offset}"


def _no_connection(backend: Backend) -> StatementError:
    message = f"no connection to {backend.server.name} came free"
    return StatementError(ErrorCode.BUSY, message, NO_CONNECTION_RETRY_MS)
