"""Transactions, each on one connection from its first statement to its end."""

from dogwoodspool_common import Clock, Consistency, Endpoint, log_rate_limited
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_connections import (
    BackendError,
    ConnectFailedError,
    OutcomeUnknownError,
)
from dogwoodspool_following import ViewStore

from .const import (
    BUSY_RETRY_SECONDS,
    INTERNAL_STATEMENT_TIMEOUT,
    MAX_READ_ATTEMPTS,
)
from .databases import KnownCaller
from .errors import NotFreshError, NotServedError
from .final_writes import FinalWrites
from .held import ConnectionAccess, HeldConnection, ReadBound, roll_back
from .identity import Caller
from .models import (
    ErrorCode,
    Reply,
    Statement,
    StatementError,
    StatementKind,
    TransactionState,
)
from .primaries import PrimaryPath
from .read_choice import ReadChoice
from .read_placement import ReadPlacement, log_read_moved
from .requests import Request
from .writes import in_doubt, reply_if_final


class Transaction:
    """One open transaction of a caller.

    The connection is acquired for the first statement and not for the begin: callers
    pause between their statements, and connections are scarce.

    Attributes:
        endpoint: the endpoint of its database as of its first statement or, before it,
            of its begin.
        caller: on whose behalf it runs, as of the same time.
        view: version of the view that named both.
        is_read_only: whether the caller began it as read-only.
        idle_since: clock time at which its last statement ended.
        held: the connection; None before the first statement and after a failure.
        has_failed: whether it was rolled back and only awaits its commit or rollback.
        is_counted: whether it was counted against the limit of its account.
        has_written: whether one of its writes was answered without an error.
    """

    def __init__(
        self, known: KnownCaller, began_at: float, *, is_read_only: bool
    ) -> None:
        self.endpoint: Endpoint
        self.caller: Caller
        self.view: int
        self.follow(known)
        self.is_read_only = is_read_only
        self.idle_since = began_at
        self.held: HeldConnection | None = None
        self.has_failed = False
        self.is_counted = False
        self.has_written = False

    def follow(self, known: KnownCaller) -> None:
        """Use the endpoint and caller of a newer view, before it has run anything."""
        self.endpoint, self.caller, self.view = known.endpoint, known.caller, known.view

    @property
    def has_started(self) -> bool:
        """Return whether it has a connection, or is over: its route stays as it is."""
        return self.held is not None or self.has_failed

    @property
    def needs_primary(self) -> bool:
        """Return whether only the primary can serve it."""
        is_primary_only = self.endpoint.consistency is Consistency.PRIMARY
        return not self.is_read_only or is_primary_only


class TransactionPath:
    """Serve the statements of transactions."""

    def __init__(
        self,
        views: ViewStore,
        placement: ReadPlacement,
        primaries: PrimaryPath[HeldConnection],
        access: ConnectionAccess[HeldConnection],
        final_writes: FinalWrites,
        clock: Clock,
    ) -> None:
        self._final_writes = final_writes
        self._views = views
        self._placement = placement
        self._primaries = primaries
        self._access = access
        self._clock = clock

    def run(self, transaction: Transaction, request: Request) -> Reply:
        """Run a read or write of a transaction.

        After any error the transaction is rolled back.
        """
        try:
            held = transaction.held or self._begin(transaction, request)
            reply = self._run_held(transaction, held, request)
        except NotServedError as error:
            _release_ended(transaction)
            return _error_reply(error.error)
        except BackendError as error:
            return self._connection_lost(transaction, request, error)
        finally:
            transaction.idle_since = self._clock.now()
        if reply.error is not None:
            self.abort(transaction)
        return reply

    def commit(self, transaction: Transaction, request: Request) -> Reply:
        """Commit; the transaction is over whatever the outcome."""
        if transaction.has_failed:
            return _error_reply(_aborted("the transaction was rolled back before"))
        try:
            held = transaction.held or self._begin(transaction, request)
        except NotServedError as error:
            return _error_reply(error.error)
        except BackendError as error:
            return self._connection_lost(transaction, request, error)
        if transaction.has_written:
            doubt = self._final_writes.doubt_before(held)
            if doubt is not None:
                self.abort(transaction)
                return _error_reply(_aborted(doubt.value))
        try:
            reply = self._run_held(transaction, held, request)
        except NotServedError as error:
            _release_ended(transaction)
            return _error_reply(error.error)
        except ConnectFailedError as error:
            # The connection had ended before, so the commit was not sent and the
            # server rolls the transaction back.
            return self._connection_lost(transaction, request, error)
        except OutcomeUnknownError as error:
            held.finish(is_good=False)
            transaction.held = None
            log_rate_limited(
                "commit_in_doubt",
                request=request.statement.request_id,
                server=held.server.name,
                reason=error,
            )
            return in_doubt("the commit was sent to the server and was not answered")
        if reply.state is TransactionState.IDLE:
            held.finish(is_good=True)
            transaction.held = None
        else:
            self.abort(transaction)
        if reply.error is None and transaction.has_written:
            request_id = request.statement.request_id
            return reply_if_final(
                self._final_writes, held, reply, request_id, request.deadline
            )
        if reply.error is not None and reply.error.code.is_not_run:
            return _error_reply(
                _aborted(f"the server refused the commit: {reply.error.message}")
            )
        return reply

    def abort(self, transaction: Transaction) -> None:
        """Roll a transaction back and release its connection."""
        transaction.has_failed = True
        held, transaction.held = transaction.held, None
        if held is not None:
            roll_back(held, self._clock.now() + INTERNAL_STATEMENT_TIMEOUT)

    def is_expired(self, transaction: Transaction) -> bool:
        """Return whether a transaction has been idle for too long."""
        settings = self._views.settings(transaction.endpoint.group)
        limit = settings.max_transaction_idle_ms / MILLISECONDS
        return self._clock.now() - transaction.idle_since >= limit

    def _run_held(
        self, transaction: Transaction, held: HeldConnection, request: Request
    ) -> Reply:
        is_commit = request.statement.kind is StatementKind.COMMIT
        while True:
            asked_at = self._clock.now()
            reply = held.run(
                request.values, request.statement, request.prepared, request.deadline
            )
            if reply.error is None:
                transaction.has_written |= request.writes
                # A server that is no longer the primary still accepts the commit of a
                # transaction that wrote nothing.
                shows_primary = transaction.has_written or not is_commit
                if transaction.needs_primary and shows_primary:
                    self._access.record_freshness(held.server, reply.position, asked_at)
                return reply
            is_busy = reply.error.code is ErrorCode.BUSY
            still_open = reply.state is TransactionState.OPEN
            pause_ends = self._clock.now() + BUSY_RETRY_SECONDS
            if not is_busy or not still_open or pause_ends >= request.deadline:
                return reply
            self._clock.sleep(BUSY_RETRY_SECONDS)
            # The view may have changed since the commit was sent.
            must_be_final = is_commit and transaction.has_written
            if must_be_final and self._final_writes.doubt_before(held) is not None:
                return reply

    def _begin(self, transaction: Transaction, request: Request) -> HeldConnection:
        if transaction.needs_primary:
            may_write = not transaction.is_read_only
            held = self._begin_on_primary(request, may_write=may_write)
        else:
            held = self._begin_on_replica(request)
        transaction.held = held
        return held

    def _begin_on_primary(
        self, request: Request, *, may_write: bool = False
    ) -> HeldConnection:
        held, reply = self._primaries.run_idempotent(
            request,
            lambda one: self._access.begin_on_primary(one, request),
            may_write=may_write,
        )
        if reply.error is not None:
            held.finish(is_good=True)
            raise NotServedError(reply.error)
        return held

    def _begin_on_replica(self, request: Request) -> HeldConnection:
        bound = self._placement.bound(request)
        if bound is None:
            return self._begin_on_primary(request)
        excluded: set[str] = set()
        may_wait = True
        for _attempt in range(MAX_READ_ATTEMPTS):
            choice = self._placement.choose(request, bound, excluded, may_wait=may_wait)
            if choice is None:
                break
            excluded.add(choice.server.name)
            if choice.wait:
                may_wait = False
                request = self._placement.wait(request, choice)
            try:
                held = self._try_begin(request, choice, bound)
            except NotFreshError:
                break
            if held is not None:
                return held
        return self._begin_on_primary(request)

    def _try_begin(
        self, request: Request, choice: ReadChoice, bound: ReadBound
    ) -> HeldConnection | None:
        """Begin on one server; return None if it does not serve the transaction.

        Raises:
            NotFreshError: no position is known that satisfies the bound, so that no
                replica can serve it.
        """
        server, asked_at = choice.server, self._clock.now()
        try:
            held = self._access.open(server, request, has_alternatives=True)
        except (NotServedError, ConnectFailedError) as error:
            log_read_moved(request, server, error)
            return None
        try:
            reply = held.run_internal(
                Statement(StatementKind.BEGIN_READ_ONLY),
                min(request.deadline, asked_at + INTERNAL_STATEMENT_TIMEOUT),
                bound=bound,
            )
        except NotFreshError:
            held.finish(is_good=True)
            raise
        except (NotServedError, BackendError) as error:
            held.finish(is_good=False)
            log_read_moved(request, server, error)
            return None
        self._placement.record_wait(choice, reply)
        if reply.error is None:
            return held
        held.finish(is_good=True)
        log_read_moved(request, server, reply.error.code)
        return None

    def _connection_lost(
        self, transaction: Transaction, request: Request, error: BackendError
    ) -> Reply:
        """Return the reply after the connection was lost with no commit in flight.

        A server rolls back a transaction whose connection ends, so that none of its
        writes take effect.
        """
        _release_ended(transaction)
        log_rate_limited(
            "transaction_lost",
            request=request.statement.request_id,
            database=request.endpoint.database,
            reason=error,
        )
        message = (
            "the connection to the server was lost; the transaction is rolled back"
        )
        return _error_reply(_aborted(message))


def _release_ended(transaction: Transaction) -> None:
    """Release the connection of a transaction that has ended where it ran."""
    transaction.has_failed = True
    held, transaction.held = transaction.held, None
    if held is not None:
        held.finish(is_good=False)


def _aborted(message: str) -> StatementError:
    return StatementError(ErrorCode.ABORTED, message)


def _error_reply(error: StatementError) -> Reply:
    return Reply((), "", error, TransactionState.FAILED, None)
