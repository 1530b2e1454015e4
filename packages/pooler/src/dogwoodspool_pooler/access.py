"""Admission to a backend server and a connection to it, for one request."""

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

from .backend import Backend
from .connection import ServerConnection
from .const import (
    CONNECTION_RETRY_SECONDS,
    INTERNAL_STATEMENT_TIMEOUT,
    MAX_TOKEN_AGE,
    NO_ACCOUNT,
    NO_CONNECTION_RETRY_MS,
    NO_TURN_RETRY_MS,
)
from .errors import NotFreshError, NotServedError
from .freshness import FreshnessTracker
from .held import HeldConnection, ReadBound
from .lag import LagTracker
from .local_connection import LocalHeldConnection
from .models import (
    ErrorCode,
    Reply,
    Statement,
    StatementError,
    StatementKind,
)
from .registry import BackendRegistry
from .replica_lag import ReplicaLag
from .requests import AdmissionRequest, Request
from .server_work import ServerWork
from .session_state import sync_cost
from .stalls import StallTracker
from .token_age import TokenAge


class ServerAccess:
    """Admit requests and provide them with this process's connections.

    Implements ``ConnectionAccess``. The outcome of each request updates what is known
    of the server: its latency, failures, stalled writes and log position.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        table: ServerTable,
        stalls: StallTracker,
        freshness: FreshnessTracker,
        lag: LagTracker,
        suspect: Callable[[str], None],
        clock: Clock,
        replica_lag: ReplicaLag | None = None,
        token_age: TokenAge | None = None,
    ) -> None:
        self._replica_lag = replica_lag or ReplicaLag(clock)
        self._token_age = token_age
        self._suspect = suspect
        self._registry = registry
        self._table = table
        self._stalls = stalls
        self._freshness = freshness
        self._lag = lag
        self._clock = clock

    def open(
        self,
        server: BackendServer,
        request: Request,
        *,
        has_alternatives: bool = False,
    ) -> LocalHeldConnection:
        """Wait for admission and a connection; see ``ConnectionAccess``."""
        return self.open_local(
            server, request.admission_request(has_alternatives=has_alternatives)
        )

    def open_local(
        self, server: BackendServer, admission_request: AdmissionRequest
    ) -> LocalHeldConnection:
        """Wait for admission and a connection, as long as the request may wait.

        A free slot and a free connection are taken even after that time has passed.
        Raises the same errors as ``open``.
        """
        backend = self._registry.backend(server)
        backend.adjust()
        with span("admission.wait", server=server.name):
            admitted = backend.admit(admission_request)
        if admitted.is_error():
            refusal = admitted.error
            message = f"{server.name} did not admit the statement: {refusal.reason}"
            raise NotServedError(
                StatementError(ErrorCode.BUSY, message, refusal.retry_after_ms)
            )
        wait_until = backend.wait_until(admission_request, self._clock.now())
        try:
            connection = self._connect(backend, admission_request, wait_until)
        except NotServedError:
            admitted.ok.done(0.0, AdmissionOutcome.NO_WORK)
            raise
        except ConnectFailedError:
            admitted.ok.done(0.0, AdmissionOutcome.UNANSWERED)
            raise
        held = LocalHeldConnection(
            backend, connection, admitted.ok, admission_request.work, self
        )
        try:
            self.check_token(admission_request)
        except BaseException:
            held.finish(is_good=True)
            raise
        return held

    def check_token(
        self, admission_request: AdmissionRequest, max_age: float = MAX_TOKEN_AGE
    ) -> None:
        """Exchange the token of an operation that waited; see ``TokenAge.check``."""
        if self._token_age is not None:
            self._token_age.check(admission_request, max_age)

    def can_satisfy(self, group: str, bound: ReadBound) -> bool:
        """Return whether a position is known that satisfies a bound."""
        return self._freshness.min_position(group, bound.max_age) is not None

    def lagging(self, min_position: Position) -> set[str]:
        """Return the servers that are not to be tried for a position at present."""
        return self._lag.lagging(min_position)

    def min_position(self, group: str, bound: ReadBound) -> Position:
        """Return the position that a server must have reached.

        Raises:
            NotFreshError: no position is known that satisfies the bound.
        """
        min_position = self._freshness.min_position(group, bound.max_age)
        if min_position is None:
            raise NotFreshError(
                f"no position of {group} is known from the last {bound.max_age} s"
            )
        return (
            min_position
            if bound.at_least is None
            else max(min_position, bound.at_least)
        )

    def begin_on_primary(self, held: HeldConnection, request: Request) -> Reply:
        """Begin a read-write transaction, which only the acting primary accepts.

        The position in the reply is one that the primary had certainly reached when it
        was asked. Raises the same errors as ``HeldConnection.run``.
        """
        asked_at = self._clock.now()
        reply_by = min(request.deadline, asked_at + INTERNAL_STATEMENT_TIMEOUT)
        reply = held.run_internal(Statement(StatementKind.BEGIN), reply_by)
        if reply.error is None:
            self.record_freshness(held.server, reply.position, asked_at)
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
        """Send statements and record what the replies show of the server."""
        name = server.name
        write = self._stalls.begin(name) if _may_write(statements) else None
        is_answered = False
        try:
            with (
                self.count_in_flight(server) as work,
                span("server.statement", server=name),
            ):
                replies = connection.exchange(statements, deadline)
                work.record(statements, replies)
            is_answered = True
        except BackendError as error:
            self.record_no_answer(server, error)
            raise
        finally:
            if write is not None:
                self._stalls.end(name, write, is_answered=is_answered)
        for statement, reply in zip(statements, replies, strict=True):
            if statement.wait_for is not None:
                self._record_lag(name, statement.wait_for, reply)
                self._replica_lag.record_replica(server, reply.position)
        return replies

    def _record_lag(self, server: str, min_position: Position, reply: Reply) -> None:
        if reply.error is None:
            self._lag.record_caught_up(server)
        elif reply.error.code is ErrorCode.BEHIND:
            self._lag.record_lagging(server, min_position)
            log_rate_limited(
                "server_behind",
                server=server,
                floor=_position_text(min_position),
                position=_position_text(reply.position),
            )

    @contextmanager
    def count_in_flight(self, server: BackendServer) -> Iterator[ServerWork]:
        """Count a statement as in flight; an end without an error is an answer."""
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

    def record_freshness(
        self, server: BackendServer, position: Position | None, asked_at: float
    ) -> None:
        """Record a log position of a server that was certainly the primary then."""
        self._freshness.record(server.group, position, asked_at)
        self._replica_lag.record_primary(server.group, position, asked_at)

    def record_unreachable(self, server: BackendServer, error: BackendError) -> None:
        """Record a failed connection attempt, which counts against the server."""
        if error.suggests_unreachable:
            is_down = isinstance(error, ServerDownError)
            self._table.record_failure(server.name, is_down=is_down)
        self.record_no_answer(server, error)

    def record_no_answer(self, server: BackendServer, error: BackendError) -> None:
        """Record that a statement got no answer or that its connection had ended.

        The server is probed at once, but not marked as failing by this alone:
        healthy servers lose connections and have slow statements, too.
        """
        log_rate_limited("server_failed", server=server.name, reason=error)
        if error.suggests_unreachable:
            self._suspect(server.name)

    def _connect(
        self, backend: Backend, admission_request: AdmissionRequest, wait_until: float
    ) -> ServerConnection:
        def rank(connection: ServerConnection) -> int:
            return sync_cost(admission_request.values, connection.session)

        while True:
            self._wait_for_turn(backend, wait_until)
            try:
                connection = backend.pool.acquire(
                    wait_until,
                    open_by=admission_request.deadline,
                    account=admission_request.account,
                    rank=rank,
                )
                # An accepted connection may have raised the ceiling.
                backend.adjust()
                return connection
            except PoolTimeoutError as error:
                raise NotServedError(_no_connection(backend)) from error
            except ConnectionLimitError as error:
                # Other processes hold the rest of the server's connections at present;
                # one of this process may become free.
                backend.ceiling.record_connection_refused(backend.pool.open_count)
                backend.adjust()
                log_rate_limited(
                    "connections_exhausted",
                    server=backend.server.name,
                    account=admission_request.account or NO_ACCOUNT,
                    ceiling=backend.pool.limit,
                    part=backend.ceiling.highest,
                )
                remaining = wait_until - self._clock.now()
                has_none = backend.pool.open_count == 0
                if remaining <= 0 or (has_none and admission_request.has_alternatives):
                    raise NotServedError(_no_connection(backend)) from error
                if has_none:
                    self._clock.sleep(min(remaining, CONNECTION_RETRY_SECONDS))
            except ConnectFailedError as error:
                self.record_unreachable(backend.server, error)
                raise

    def _wait_for_turn(self, backend: Backend, wait_until: float) -> None:
        """Wait until this process may use a connection.

        Raises:
            NotServedError: its turn begins too late.
        """
        wait = backend.turns.wait()
        if wait <= 0:
            return
        if self._clock.now() + wait > wait_until:
            raise NotServedError(_no_connection(backend, NO_TURN_RETRY_MS))
        self._clock.sleep(wait)


def _may_write(statements: Sequence[Statement]) -> bool:
    writing = (StatementKind.WRITE, StatementKind.COMMIT)
    return any(statement.kind in writing for statement in statements)


def _position_text(position: Position | None) -> str:
    return "-" if position is None else f"{position.term}.{position.offset}"


def _no_connection(
    backend: Backend, retry_after_ms: int = NO_CONNECTION_RETRY_MS
) -> StatementError:
    message = f"no connection to {backend.server.name} became free in time"
    return StatementError(ErrorCode.BUSY, message, retry_after_ms)
