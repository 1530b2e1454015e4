"""Connections to backend servers for one statement or transaction."""

from dogwoodspool_backend import (
    BackendConnection,
    BackendError,
    ConnectFailedError,
    OutcomeUnknownError,
    PoolTimeoutError,
    StatementResult,
)
from dogwoodspool_common import BackendServer, Clock, span
from dogwoodspool_gateway import ErrorAnswer
from dogwoodspool_limits import Admission, AdmissionOutcome, Priority, Refusal
from dogwoodspool_routing import ServerTable
from expression import Error, Ok, Result

from .answers import no_primary, refused
from .backends import Backend, BackendRegistry
from .const import (
    CONNECT_RETRY_AFTER_MS,
    MAX_CONNECTION_WAIT_SECONDS,
    NO_PRIMARY_RETRY_AFTER_MS,
)
from .errors import NothingSentError


class HeldConnection:
    """A pooled connection together with its admission to the backend server.

    Every instance must be finished; finishing it again does nothing. The service
    time reported to the admission queue is the mean time of one statement on the
    server, also where a transaction holds the connection for much longer.
    """

    def __init__(
        self,
        backend: Backend,
        connection: BackendConnection,
        admission: Admission,
        priority: Priority,
        table: ServerTable,
        clock: Clock,
    ) -> None:
        self._backend = backend
        self._table = table
        self._admission: Admission | None = admission
        self._priority = priority
        self._clock = clock
        self._busy_seconds = 0.0
        self._statements = 0
        self._is_finished = False
        self.connection = connection

    @property
    def server(self) -> BackendServer:
        """The backend server."""
        return self._backend.server

    def execute(self, sql: str, deadline: float) -> StatementResult:
        """Run one statement that does not change the server's session state.

        Raises:
            NothingSentError: the deadline has passed; nothing was sent.
            BackendError: as for ``BackendConnection.execute``.
        """
        began_at = self._clock.now()
        if began_at >= deadline:
            raise NothingSentError("the deadline passed before the statement was sent")
        name = self.server.name
        is_answered = True
        self._table.begin(name)
        try:
            with span("backend.statement", server=name):
                return self.connection.execute(
                    sql, deadline - began_at, may_change_session=False
                )
        except (ConnectFailedError, OutcomeUnknownError):
            is_answered = False
            raise
        finally:
            elapsed = self._clock.now() - began_at
            self._table.end(name, elapsed, is_answered=is_answered)
            self._busy_seconds += elapsed
            self._statements += 1

    def pause(self) -> None:
        """End the admission until ``resume`` and keep the connection.

        A transaction between two statements runs nothing on the server. If it
        counted as in flight, one idle transaction could block every other statement.
        """
        self._end_admission(True)

    def resume(self, deadline: float) -> ErrorAnswer | None:
        """Wait for admission again; nothing was sent if a refusal is returned."""
        if self._admission is not None:
            return None
        admitted = self._backend.admission.admit(deadline, self._priority)
        if admitted.is_error():
            return admission_refused(self.server, admitted.error)
        self._admission = admitted.ok
        return None

    def finish(self, is_healthy: bool) -> None:
        """Return the connection to the pool and end the admission.

        Args:
            is_healthy: whether the connection can be reused; otherwise it is closed
                and the admission counts as unanswered.
        """
        if self._is_finished:
            return
        self._is_finished = True
        self._backend.pool.release(self.connection, reuse=is_healthy)
        self._end_admission(is_healthy)

    def _end_admission(self, is_healthy: bool) -> None:
        if self._admission is None:
            return
        outcome = (
            AdmissionOutcome.ANSWERED if is_healthy else AdmissionOutcome.UNANSWERED
        )
        seconds = self._busy_seconds / max(1, self._statements)
        self._admission.done(seconds, outcome)
        self._admission = None
        self._busy_seconds, self._statements = 0.0, 0


class BackendAccess:
    """Admit a statement to a backend server and take a connection for it."""

    def __init__(
        self, registry: BackendRegistry, table: ServerTable, clock: Clock
    ) -> None:
        self._registry = registry
        self._table = table
        self._clock = clock

    def report_failure(self, server: BackendServer, error: BackendError) -> None:
        """Report a failed statement or connection, which triggers a probe."""
        self._registry.report_failure(server, error)

    def open(
        self,
        server: BackendServer,
        deadline: float,
        priority: Priority,
        account: str = "",
    ) -> Result[HeldConnection, ErrorAnswer]:
        """Wait for admission and a connection until the deadline (clock time).

        The connection belongs to the client account, or to none if that is empty.

        The statement is refused at once if the estimated wait exceeds the deadline, and
        a write if its server has been leaving for longer than the grace period. Nothing
        has been sent to the server when an error is returned.
        """
        known = self._table.get(server.name)
        is_leaving = known is not None and known.is_past_grace
        if priority is Priority.WRITE and is_leaving:
            message = f"primary {server.name} is leaving"
            return Error(no_primary(message, NO_PRIMARY_RETRY_AFTER_MS))
        backend = self._registry.backend(server)
        with span("admission.wait", server=server.name, priority=priority.name):
            admitted = backend.admission.admit(deadline, priority)
        if admitted.is_error():
            return Error(admission_refused(server, admitted.error))
        return self._connect(backend, admitted.ok, priority, deadline, account)

    def _connect(
        self,
        backend: Backend,
        admission: Admission,
        priority: Priority,
        deadline: float,
        account: str,
    ) -> Result[HeldConnection, ErrorAnswer]:
        name = backend.server.name
        try:
            connection = backend.pool.acquire(
                min(deadline, self._clock.now() + MAX_CONNECTION_WAIT_SECONDS),
                account=account,
            )
        except PoolTimeoutError:
            admission.done(0.0, AdmissionOutcome.NO_WORK)
            message = f"no connection to {name} became free in time"
            return Error(refused(message, CONNECT_RETRY_AFTER_MS))
        except ConnectFailedError as error:
            admission.done(0.0, AdmissionOutcome.UNANSWERED)
            self._registry.report_failure(backend.server, error)
            message = f"{name} cannot be reached"
            return Error(refused(message, CONNECT_RETRY_AFTER_MS))
        held = HeldConnection(
            backend, connection, admission, priority, self._table, self._clock
        )
        return Ok(held)


def admission_refused(server: BackendServer, refusal: Refusal) -> ErrorAnswer:
    """Return the answer to a statement that the admission queue refused."""
    return refused(f"{server.name}: {refusal.reason}", refusal.retry_after_ms)
