"""Transactions, each on one backend connection from begin to end."""

from dogwoodspool_backend import (
    BackendError,
    ConnectFailedError,
    OutcomeUnknownError,
    StatementFailedError,
    StatementResult,
)
from dogwoodspool_common import Clock, log_event
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_following import ViewStore
from dogwoodspool_gateway import (
    Answer,
    DoneAnswer,
    ErrorAnswer,
    RowsAnswer,
    StatementKind,
    StatementRequest,
)
from expression import Error, Ok, Result

from .access import HeldConnection
from .answers import failed, refused, rolled_back, unknown
from .callers import CallerState, Transaction
from .errors import NothingSentError
from .grants import GrantTracker
from .models import WritePermit
from .reads import ReadPath, answer_columns, rows_with_stall_timeout
from .writes import WritePath


class TransactionPath:
    """Serve the statements of transactions."""

    def __init__(
        self,
        views: ViewStore,
        grants: GrantTracker,
        reads: ReadPath,
        writes: WritePath,
        clock: Clock,
    ) -> None:
        self._views = views
        self._grants = grants
        self._reads = reads
        self._writes = writes
        self._clock = clock

    def begin(self, caller: CallerState, is_read_only: bool, deadline: float) -> Answer:
        """Begin a transaction; an open one is committed first, as in MySQL."""
        if caller.transaction is not None:
            answer = self.commit(caller, deadline)
            if isinstance(answer, ErrorAnswer):
                return answer
        caller.transaction = Transaction(is_read_only, self._clock.now())
        return DoneAnswer()

    def run(
        self, caller: CallerState, request: StatementRequest, deadline: float
    ) -> Answer:
        """Run one statement of the caller's open transaction."""
        transaction = caller.transaction
        assert transaction is not None
        if transaction.has_failed:
            self.end(caller)
            return rolled_back("the transaction was rolled back; restart it")
        opened = self._connection(caller, transaction, request, deadline)
        if opened.is_error():
            # A refused statement leaves the transaction open, as any failed
            # statement does: when sent again, it must not run outside of it.
            return opened.error
        return self._execute(caller, transaction, opened.ok, request, deadline)

    def commit(self, caller: CallerState, deadline: float) -> Answer:
        """Commit the open transaction and acknowledge it if its grant is valid."""
        transaction = caller.transaction
        if transaction is None:
            return DoneAnswer()
        try:
            return self._commit(caller, transaction, deadline)
        finally:
            self.end(caller)

    def rollback(self, caller: CallerState, deadline: float) -> Answer:
        """Roll back the open transaction."""
        transaction = caller.transaction
        if transaction is None or transaction.held is None:
            self.end(caller)
            return DoneAnswer()
        try:
            transaction.held.execute("ROLLBACK", deadline)
        except (BackendError, NothingSentError) as error:
            # The connection is closed below, which rolls the transaction back.
            log_event("rollback_by_close", level="DEBUG", error=error)
            transaction.has_failed = True
        finally:
            self.end(caller)
        return DoneAnswer()

    def end(self, caller: CallerState) -> None:
        """Release the transaction's connection and write permit.

        A connection that is still inside the transaction is closed, so that no
        other caller's statement can run in it.
        """
        transaction = caller.transaction
        if transaction is None:
            return
        caller.transaction = None
        if transaction.held is not None:
            connection = transaction.held.connection
            is_clean = not connection.in_transaction and not transaction.has_failed
            transaction.held.finish(connection.is_open and is_clean)
        if transaction.permit is not None:
            self._grants.end_write(transaction.permit)

    def expire(self, caller: CallerState) -> None:
        """Roll back a transaction that has been open for too long."""
        transaction = caller.transaction
        if transaction is None or transaction.held is None or transaction.has_failed:
            return
        limit = self._views.settings(caller.group).max_transaction_ms / MILLISECONDS
        if self._clock.now() - transaction.began_at < limit:
            return
        log_event("transaction_expired", group=caller.group, user=caller.user)
        transaction.has_failed = True
        transaction.held.finish(False)

    def _connection(
        self,
        caller: CallerState,
        transaction: Transaction,
        request: StatementRequest,
        deadline: float,
    ) -> Result[HeldConnection, ErrorAnswer]:
        if transaction.held is not None:
            refusal = transaction.held.resume(deadline)
            return Error(refusal) if refusal else Ok(transaction.held)
        if transaction.is_read_only:
            opened = self._reads.open(caller, request.properties.max_age_ms, deadline)
        else:
            opened = self._open_primary(caller, transaction, deadline)
        if opened.is_error():
            return opened
        begun = self._begin_on(transaction, opened.ok, deadline)
        if begun.is_error():
            self.end(caller)
        return begun

    def _open_primary(
        self, caller: CallerState, transaction: Transaction, deadline: float
    ) -> Result[HeldConnection, ErrorAnswer]:
        permit = self._grants.begin_write(caller.group)
        if permit is None:
            return Error(self._writes.no_grant(caller.group))
        opened = self._writes.open(permit, deadline, caller.account)
        if opened.is_error():
            self._grants.end_write(permit)
        else:
            transaction.permit = permit
        return opened

    def _begin_on(
        self, transaction: Transaction, held: HeldConnection, deadline: float
    ) -> Result[HeldConnection, ErrorAnswer]:
        transaction.held = held
        begin = "START TRANSACTION READ ONLY" if transaction.is_read_only else "BEGIN"
        try:
            held.execute(begin, deadline)
        except (BackendError, NothingSentError) as error:
            transaction.has_failed = True
            return Error(rolled_back(f"the transaction could not begin: {error}"))
        return Ok(held)

    def _execute(
        self,
        caller: CallerState,
        transaction: Transaction,
        held: HeldConnection,
        request: StatementRequest,
        deadline: float,
    ) -> Answer:
        try:
            result = held.execute(request.sql, deadline)
        except StatementFailedError as error:
            # Some errors, such as a deadlock, roll back the whole transaction.
            if not held.connection.in_transaction:
                transaction.has_failed = True
            held.pause()
            return failed(error)
        except NothingSentError as error:
            return refused(str(error), 0)
        except (OutcomeUnknownError, ConnectFailedError) as error:
            transaction.has_failed = True
            log_event("transaction_lost", server=held.server.name, error=error)
            if request.classified.kind is StatementKind.DDL:
                return unknown(
                    "the server did not answer a statement that commits implicitly"
                )
            # Without a commit the server rolls back when the connection ends.
            return rolled_back("the server was lost; the transaction is rolled back")
        if result.is_resultset:
            return _rows_in_transaction(transaction, held, result)
        held.pause()
        caller.last_insert_id = result.last_insert_id or caller.last_insert_id
        return DoneAnswer(result.affected_rows, result.last_insert_id)

    def _commit(
        self, caller: CallerState, transaction: Transaction, deadline: float
    ) -> Answer:
        if transaction.has_failed:
            return rolled_back("the transaction was rolled back; restart it")
        held, permit = transaction.held, transaction.permit
        if held is None:
            return DoneAnswer()
        if permit is not None and not self._grants.is_valid(permit):
            return rolled_back("the grant has ended; the transaction is rolled back")
        try:
            held.execute("COMMIT", deadline)
        except StatementFailedError as error:
            return failed(error)
        except NothingSentError as error:
            return rolled_back(f"{error}; the transaction is rolled back")
        except BackendError as error:
            log_event("commit_unknown", server=held.server.name, error=error)
            transaction.has_failed = True
            return unknown("the server did not answer the commit")
        if permit is None:
            return DoneAnswer()
        return self._confirm(caller, held, permit)

    def _confirm(
        self, caller: CallerState, held: HeldConnection, permit: WritePermit
    ) -> Answer:
        try:
            position = self._writes.position(held, permit)
        except BackendError as error:
            log_event("position_unknown", server=held.server.name, error=error)
            position = None
        held.finish(held.connection.is_open)
        if position is None:
            return unknown("the primary's term was not confirmed after the commit")
        return self._writes.confirm(caller, permit, position) or DoneAnswer()


def _rows_in_transaction(
    transaction: Transaction, held: HeldConnection, result: StatementResult
) -> RowsAnswer:
    def finish(is_complete: bool) -> None:
        if transaction.held is None:
            return
        if not is_complete:
            result.close()
        if not transaction.held.connection.is_open:
            transaction.has_failed = True
        transaction.held.pause()

    rows = rows_with_stall_timeout(held, result)
    return RowsAnswer(answer_columns(result), rows, finish)
