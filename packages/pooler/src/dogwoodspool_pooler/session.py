"""One caller's session: its values, prepared statements and open transaction."""

import threading
from collections.abc import Callable

from dogwoodspool_common import (
    Clock,
    Endpoint,
    Position,
    log_rate_limited,
)
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_common.counters import Counters
from dogwoodspool_following import ViewStore
from expression import Error, Ok, Result

from .const import BUSY_RETRY_MS, NOT_READY_RETRY_MS
from .databases import Databases, KnownCaller
from .errors import (
    NoDatabaseError,
    NotReadyError,
    NotServedError,
    UnknownKeyError,
)
from .identity import Caller, identify
from .models import (
    Access,
    Answer,
    ErrorCode,
    Prepared,
    Reply,
    Statement,
    StatementError,
    StatementKind,
    TransactionState,
)
from .operations import OperationCounter
from .removals import RemovalLog
from .requests import Request
from .session_state import SessionState
from .statements import Statements
from .transactions import Transaction, TransactionPath

RUNNING_KINDS = (StatementKind.READ, StatementKind.WRITE, StatementKind.EXECUTE)
BEGINNING_KINDS = (StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY)


class PooledSession:
    """Serve one caller connection.

    The values and prepared statements of a session are kept here and acknowledged at
    once; they are sent to a server only when a statement needs them.
    """

    def __init__(
        self,
        database: str,
        key_digest: str,
        views: ViewStore,
        databases: Databases,
        statements: Statements,
        transactions: TransactionPath,
        operations: OperationCounter,
        removals: RemovalLog,
        counters: Counters,
        clock: Clock,
        on_close: "Callable[[PooledSession], None]",
    ) -> None:
        self._database = database
        self._key_digest = key_digest
        self._views = views
        self._databases = databases
        self._statements = statements
        self._transactions = transactions
        self._operations = operations
        self._removals = removals
        self._counters = counters
        self._clock = clock
        self._on_close = on_close
        self._lock = threading.Lock()
        self._state = SessionState()
        # By group: the position of the session's last commit there.
        self._positions: dict[str, Position] = {}
        self._transaction: Transaction | None = None

    @property
    def state(self) -> TransactionState:
        """Transaction state of the session."""
        if self._transaction is None:
            return TransactionState.IDLE
        if self._transaction.has_failed:
            return TransactionState.FAILED
        return TransactionState.OPEN

    @property
    def database(self) -> str:
        """The database that the caller connected to."""
        return self._database

    @property
    def has_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._transaction is not None

    @property
    def is_revoked(self) -> bool:
        """Return whether no client account holds the caller's key any longer."""
        endpoint = self._endpoint()
        if endpoint is None:
            return False
        try:
            self._identify(endpoint)
        except UnknownKeyError:
            return True
        return False

    def run(self, statement: Statement, *, is_refused: bool = False) -> Answer:
        """Run one statement; every failure is reported in the answer.

        Args:
            statement: the caller's statement.
            is_refused: whether to refuse it and to roll back its transaction, because
                the process is shutting down.
        """
        arrived_at = self._clock.now()
        with self._lock:
            if is_refused:
                answer = self._refuse_at_shutdown(statement)
            else:
                answer = self._run(statement, arrived_at)
        outcome = "ok" if answer.error is None else answer.error.code
        elapsed = self._clock.now() - arrived_at
        self._counters.answered(statement.kind, outcome, elapsed)
        if answer.error is None:
            self._log_late(statement, elapsed)
        else:
            log_rate_limited(
                "request_not_served",
                request=statement.request_id,
                database=self._database,
                kind=statement.kind,
                code=answer.error.code,
                reason=answer.error.message,
                retry_after_ms=answer.error.retry_after_ms,
                elapsed_ms=round(elapsed * MILLISECONDS, 1),
                view=self._views.view.version,
                state=answer.state,
            )
        return answer

    def interrupt(self, statement: Statement) -> Answer:
        """Return the answer to a statement in progress when the process must end.

        A server rolls back a transaction whose connection ends before its commit.
        """
        if statement.kind is not StatementKind.COMMIT and self._transaction is not None:
            message = "this proxy shuts down; the transaction is rolled back"
            error = StatementError(ErrorCode.ABORTED, message)
            return Answer(TransactionState.FAILED, error=error)
        message = "this proxy shuts down before the server answered"
        error = StatementError(ErrorCode.IN_DOUBT, message)
        return Answer(TransactionState.IDLE, error=error)

    def close(self) -> None:
        """Roll back an open transaction and unregister the session."""
        with self._lock:
            if self._transaction is not None:
                self._transactions.abort(self._transaction)
                self._transaction = None
        self._on_close(self)

    def expire_transaction(self) -> None:
        """Roll back a transaction whose caller has been idle for too long."""
        if not self._lock.acquire(blocking=False):
            return  # A statement is running, which its own deadline bounds.
        try:
            transaction = self._transaction
            if transaction is None or transaction.held is None:
                return
            if self._transactions.is_expired(transaction):
                log_rate_limited("transaction_expired", database=self._database)
                self._transactions.abort(transaction)
        finally:
            self._lock.release()

    def abandon_transaction(self) -> None:
        """Roll back an open transaction, unless a statement is running."""
        if not self._lock.acquire(blocking=False):
            return
        try:
            if self._transaction is not None and self._transaction.held is not None:
                self._transactions.abort(self._transaction)
        finally:
            self._lock.release()

    def _log_late(self, statement: Statement, elapsed: float) -> None:
        endpoint = self._endpoint()
        elapsed_ms = elapsed * MILLISECONDS
        if endpoint is None or elapsed_ms <= endpoint.target_latency_ms:
            return
        log_rate_limited(
            "request_late",
            request=statement.request_id,
            database=self._database,
            kind=statement.kind,
            elapsed_ms=round(elapsed_ms, 1),
            target_ms=endpoint.target_latency_ms,
            view=self._views.view.version,
        )

    def _run(self, statement: Statement, arrived_at: float) -> Answer:
        kind = statement.kind
        if kind is StatementKind.ROLLBACK:
            return self._roll_back()
        refusal = self._check_key(statement) or self._check_route(statement)
        if refusal is not None:
            return refusal
        if kind is StatementKind.COMMIT:
            return self._commit(statement, arrived_at)
        if self.state is TransactionState.FAILED:
            message = "the transaction has failed; roll it back first"
            return self._refuse(ErrorCode.MALFORMED, message)
        if kind in BEGINNING_KINDS:
            return self._begin(statement, arrived_at)
        if kind in RUNNING_KINDS:
            return self._run_on_group(statement, arrived_at)
        return self._change_state(statement)

    def _refuse_at_shutdown(self, statement: Statement) -> Answer:
        """Refuse a statement; only the end of a transaction needs no server."""
        if statement.kind is StatementKind.ROLLBACK:
            return self._roll_back()
        if self._transaction is None:
            message = "this proxy shuts down; another one can serve the statement"
            error = StatementError(ErrorCode.BUSY, message, BUSY_RETRY_MS)
            return Answer(TransactionState.IDLE, error=error)
        self._end_refused(statement)
        message = "this proxy shuts down; the transaction is rolled back"
        return self._refuse(ErrorCode.ABORTED, message)

    def _identify(self, endpoint: Endpoint) -> Caller:
        return identify(self._views.view, endpoint, self._key_digest)

    def _resolve(self, statement: Statement) -> Result[KnownCaller, StatementError]:
        """Return the session's endpoint and caller, or why there are none."""
        request_id = statement.request_id
        try:
            known = self._databases.resolve(
                self._database, self._key_digest, request_id
            )
        except NoDatabaseError as error:
            return Error(StatementError(ErrorCode.NO_DATABASE, str(error)))
        except UnknownKeyError as error:
            return Error(error.error)
        except NotReadyError as error:
            return Error(_not_ready(error))
        return Ok(known)

    def _check_key(self, statement: Statement) -> Answer | None:
        """Refuse a caller whose key was revoked or moved during its transaction."""
        transaction = self._transaction
        if transaction is None or not transaction.has_started:
            return self._check_unused_key(statement)
        try:
            caller = self._databases.identify(
                transaction.endpoint, self._key_digest, statement.request_id
            )
        except UnknownKeyError as error:
            self._abort_open_transaction()
            return Answer(self.state, error=error.error)
        except NotReadyError as error:
            self._end_refused(statement)
            return Answer(self.state, error=_not_ready(error))
        if caller.account != transaction.caller.account:
            self._end_refused(statement)
            message = "the key moved to another client account; begin again"
            return self._refuse(ErrorCode.ABORTED, message)
        return None

    def _check_unused_key(self, statement: Statement) -> Answer | None:
        """Refuse a caller whose key the newest view lacks, before anything has run."""
        if self._endpoint() is None or self._follows_route(statement):
            return None
        known = self._resolve(statement)
        if known.is_ok():
            return None
        self._abort_open_transaction()
        return Answer(self.state, error=known.error)

    def _check_route(self, statement: Statement) -> Answer | None:
        """Apply the newest view to a transaction that has run nothing yet.

        Only this session knows of it, and its caller may pause for long before the
        first statement: it must not run where the view no longer allows it.
        """
        transaction = self._transaction
        if transaction is None or not self._follows_route(statement):
            return None
        resolved = self._resolve(statement)
        if resolved.is_ok():
            transaction.follow(resolved.ok)
            return None
        self._end_refused(statement)
        if resolved.error.code is ErrorCode.NO_DATABASE:
            message = f"{resolved.error.message}; the transaction has run nothing"
            return self._refuse(ErrorCode.ABORTED, message)
        return Answer(self.state, error=resolved.error)

    def _follows_route(self, statement: Statement) -> bool:
        """Return whether a statement is the first one that the transaction sends."""
        transaction = self._transaction
        is_run = statement.kind in (*RUNNING_KINDS, StatementKind.COMMIT)
        return transaction is not None and not transaction.has_started and is_run

    def _abort_open_transaction(self) -> None:
        if self._transaction is not None:
            self._transactions.abort(self._transaction)

    def _end_refused(self, statement: Statement) -> None:
        """Roll back an open transaction; a refused commit also ends it."""
        self._abort_open_transaction()
        if statement.kind is StatementKind.COMMIT:
            self._transaction = None

    def _change_state(self, statement: Statement) -> Answer:
        match statement.kind:
            case StatementKind.SET:
                self._state.values[statement.name] = statement.argument
            case StatementKind.PREPARE:
                access = statement.access or Access.READ
                prepared = Prepared(access, statement.argument)
                self._state.prepared[statement.name] = prepared
            case StatementKind.DEALLOCATE:
                if self._state.prepared.pop(statement.name, None) is None:
                    return self._unknown_statement(statement)
            case _:
                message = f"callers may not send a {statement.kind} statement"
                return self._refuse(ErrorCode.MALFORMED, message)
        return Answer(self.state)

    def _begin(self, statement: Statement, arrived_at: float) -> Answer:
        if self._transaction is not None:
            return self._refuse(ErrorCode.MALFORMED, "a transaction is already open")
        resolved = self._resolve(statement)
        if resolved.is_error():
            return Answer(TransactionState.IDLE, error=resolved.error)
        known = resolved.ok
        is_read_only = statement.kind is StatementKind.BEGIN_READ_ONLY
        self._transaction = Transaction(known, arrived_at, is_read_only=is_read_only)
        return Answer(TransactionState.OPEN)

    def _roll_back(self) -> Answer:
        if self._transaction is not None:
            self._transactions.abort(self._transaction)
            self._transaction = None
        return Answer(TransactionState.IDLE)

    def _commit(self, statement: Statement, arrived_at: float) -> Answer:
        transaction = self._transaction
        if transaction is None:
            return self._refuse(ErrorCode.MALFORMED, "no transaction is open")
        request = self._request(
            transaction.endpoint, transaction.caller, statement, None, arrived_at
        )
        self._transaction = None
        try:
            reply = self._operations.run_in_transaction(
                transaction, request, self._transactions.commit
            )
        except NotServedError as error:
            return Answer(TransactionState.IDLE, error=error.error)
        self._removals.check(request, reply, transaction.view, self._views.view)
        if reply.error is None and transaction.has_written:
            self._advance_position(transaction.endpoint, reply.position)
        return self._answer(reply)

    def _run_on_group(self, statement: Statement, arrived_at: float) -> Answer:
        prepared = None
        if statement.kind is StatementKind.EXECUTE:
            prepared = self._state.prepared.get(statement.name)
            if prepared is None:
                return self._unknown_statement(statement)
        if self._transaction is not None:
            transaction = self._transaction
            request = self._request(
                transaction.endpoint,
                transaction.caller,
                statement,
                prepared,
                arrived_at,
            )
            try:
                reply = self._operations.run_in_transaction(
                    transaction, request, self._transactions.run
                )
            except NotServedError as error:
                transaction.has_failed = True
                return Answer(self.state, error=error.error)
            self._removals.check(request, reply, transaction.view, self._views.view)
            return self._answer(reply)
        resolved = self._resolve(statement)
        if resolved.is_error():
            return Answer(TransactionState.IDLE, error=resolved.error)
        known = resolved.ok
        request = self._request(
            known.endpoint, known.caller, statement, prepared, arrived_at
        )
        try:
            reply = self._run_single(request)
        except NotServedError as error:
            return Answer(TransactionState.IDLE, error=error.error)
        self._removals.check(request, reply, known.view, self._views.view)
        return self._answer(reply)

    def _run_single(self, request: Request) -> Reply:
        reply = self._operations.run_single(request, self._statements.run)
        if request.writes and reply.error is None:
            self._advance_position(request.endpoint, reply.position)
        return reply

    def _request(
        self,
        endpoint: Endpoint,
        caller: Caller,
        statement: Statement,
        prepared: Prepared | None,
        arrived_at: float,
    ) -> Request:
        return Request(
            endpoint=endpoint,
            statement=statement,
            values=self._state.values,
            prepared=prepared,
            session_position=self._positions.get(endpoint.group),
            arrived_at=arrived_at,
            caller=caller,
        )

    def _endpoint(self) -> Endpoint | None:
        return self._databases.endpoint(self._database)

    def _advance_position(self, endpoint: Endpoint, position: Position | None) -> None:
        """Record the position of a commit, whatever the database's consistency.

        Later reads may be served under another one, or by another group.
        """
        if position is None:
            return
        known = self._positions.get(endpoint.group)
        if known is None or position > known:
            self._positions[endpoint.group] = position

    def _answer(self, reply: Reply) -> Answer:
        return Answer(self.state, reply.rows, reply.proof, reply.error)

    def _refuse(self, code: ErrorCode, message: str) -> Answer:
        return Answer(self.state, error=StatementError(code, message))

    def _unknown_statement(self, statement: Statement) -> Answer:
        self._abort_open_transaction()
        message = f"no statement is prepared under the name {statement.name}"
        return self._refuse(ErrorCode.UNKNOWN_STATEMENT, message)


def _not_ready(error: NotReadyError) -> StatementError:
    return StatementError(ErrorCode.BUSY, str(error), NOT_READY_RETRY_MS)
