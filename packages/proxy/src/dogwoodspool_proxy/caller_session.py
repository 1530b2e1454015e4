"""Session of one caller connection; dispatches statements by their kind."""

import threading
from collections.abc import Callable

from dogwoodspool_accounts import OperationLimiter, RateLimitedError
from dogwoodspool_common import Clock, log_rate_limited
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_common.counters import Counters
from dogwoodspool_following import ViewStore
from dogwoodspool_gateway import (
    ER_NO_DATABASE,
    ER_NOT_SUPPORTED,
    ER_UNKNOWN_VARIABLE,
    VARIABLE_SESSION,
    Answer,
    AnswerColumn,
    DoneAnswer,
    ErrorAnswer,
    Outcome,
    RowsAnswer,
    StatementKind,
    StatementRequest,
    system_variable,
)
from dogwoodspool_sessions import NEW_SESSION, SessionTokenError, TokenCodec

from .accounts import CallerAccounts
from .answers import failed_with, no_primary, not_run, refused
from .callers import CallerState
from .const import (
    ER_SESSION_REFUSED,
    NO_PRIMARY_RETRY_AFTER_MS,
    SERVER_VERSION,
)
from .reads import ReadPath
from .transactions import TransactionPath
from .writes import WritePath

TEXT_TYPE = 253
TEXT_CHARSET = 255
WRITING_KINDS = frozenset({StatementKind.WRITE, StatementKind.DDL})


class ProxySession:
    """Serve the statements of one caller connection.

    Args:
        refresh_view: has control confirm the view in force unless that was done lately;
            returns whether it was.
    """

    def __init__(
        self,
        caller: CallerState,
        views: ViewStore,
        refresh_view: Callable[[], bool],
        reads: ReadPath,
        writes: WritePath,
        transactions: TransactionPath,
        accounts: CallerAccounts,
        limiter: OperationLimiter,
        counters: Counters,
        clock: Clock,
        on_close: "Callable[[ProxySession], None]",
    ) -> None:
        self._caller = caller
        self._views = views
        self._refresh_view = refresh_view
        self._reads = reads
        self._writes = writes
        self._transactions = transactions
        self._accounts = accounts
        self._limiter = limiter
        self._counters = counters
        self._clock = clock
        self._on_close = on_close
        self._lock = threading.Lock()
        self._counted_at = 0.0

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open."""
        return self._caller.transaction is not None

    @property
    def is_autocommit(self) -> bool:
        """Return whether each statement commits by itself."""
        return self._caller.is_autocommit

    def use(self, database: str) -> ErrorAnswer | None:
        """Select the database group."""
        if self._caller.transaction is not None:
            message = "the database cannot change inside a transaction"
            return failed_with(ER_NOT_SUPPORTED, message)
        self._caller.group = database
        return None

    def run(self, request: StatementRequest) -> Answer:
        """Run one statement."""
        with self._lock:
            answer = self._run(request)
        outcome = answer.outcome if isinstance(answer, ErrorAnswer) else "ok"
        elapsed = self._clock.now() - request.arrived_at
        self._counters.answered(request.classified.kind, outcome, elapsed)
        return answer

    def reset(self) -> None:
        """Roll back and reset the connection's session state."""
        with self._lock:
            self._transactions.end(self._caller)
            self._caller.is_autocommit = True
            self._caller.last_insert_id = 0

    def close(self) -> None:
        """Roll back, release all resources and report the end of the session."""
        with self._lock:
            self._transactions.end(self._caller)
        self._on_close(self)

    def expire_transaction(self) -> None:
        """Roll back a transaction that has been open for too long and is idle."""
        if not self._lock.acquire(blocking=False):
            return  # A statement is running and is bounded by its own deadline.
        try:
            self._transactions.expire(self._caller)
        finally:
            self._lock.release()

    def _run(self, request: StatementRequest) -> Answer:
        refusal = self._adopt_session(request.properties.session)
        if refusal is not None:
            return refusal
        deadline = self._deadline(request)
        caller = self._caller
        match request.classified.kind:
            case StatementKind.IGNORED:
                return DoneAnswer()
            case StatementKind.UNSUPPORTED:
                names = ", ".join(request.classified.names)
                message = f"not supported through a pooled connection: {names}"
                return failed_with(ER_NOT_SUPPORTED, message)
            case StatementKind.LOCAL_SELECT:
                return self._local_select(request.classified.names)
            case StatementKind.USE:
                return self.use(request.classified.names[0]) or DoneAnswer()
            case StatementKind.AUTOCOMMIT_ON:
                caller.is_autocommit = True
                return self._transactions.commit(caller, deadline)
            case StatementKind.AUTOCOMMIT_OFF:
                caller.is_autocommit = False
                return DoneAnswer()
            case StatementKind.COMMIT:
                return self._transactions.commit(caller, deadline)
            case StatementKind.ROLLBACK:
                return self._transactions.rollback(caller, deadline)
        if not caller.group:
            return not_run(ER_NO_DATABASE, "no database group is selected")
        return self._run_on_group(request, deadline)

    def _run_on_group(self, request: StatementRequest, deadline: float) -> Answer:
        caller, kind = self._caller, request.classified.kind
        if kind is StatementKind.BEGIN or kind is StatementKind.BEGIN_READ_ONLY:
            is_read_only = kind is StatementKind.BEGIN_READ_ONLY
            return self._transactions.begin(caller, is_read_only, deadline)
        if caller.transaction is None or caller.transaction.held is None:
            self._use_newest_view()
        if deadline <= self._clock.now():
            return refused("the deadline has passed", 0)
        if caller.transaction is not None:
            return self._run_in_transaction(request, deadline)
        is_write = kind in WRITING_KINDS
        # Without autocommit the first statement begins a transaction. A read that
        # states a maximum age asks for no isolation and runs outside of one.
        if not caller.is_autocommit and (
            is_write or request.properties.max_age_ms is None
        ):
            self._transactions.begin(caller, False, deadline)
            return self._run_in_transaction(request, deadline)
        refusal = self._count_operation()
        if refusal is not None:
            return refusal
        path = self._writes if is_write else self._reads
        answer = path.run(caller, request, deadline)
        self._give_back_if_not_run(answer)
        return answer

    def _use_newest_view(self) -> None:
        """Have control confirm the view in force, unless that was done lately.

        A proxy that is cut off goes on with the view that it has.
        """
        if self._views.is_filled and not self._refresh_view():
            log_rate_limited(
                "served_unconfirmed",
                group=self._caller.group,
                view=self._views.view.version,
                view_age_ms=self._views.age_ms,
                view_from=self._views.confirmed_by,
            )

    def _run_in_transaction(self, request: StatementRequest, deadline: float) -> Answer:
        caller = self._caller
        transaction = caller.transaction
        assert transaction is not None
        is_first = not transaction.is_counted
        if is_first:
            refusal = self._count_operation()
            if refusal is not None:
                return refusal
            transaction.is_counted = True
        answer = self._transactions.run(caller, request, deadline)
        if is_first and transaction.held is None:
            transaction.is_counted = not self._give_back_if_not_run(answer)
        return answer

    def _count_operation(self) -> ErrorAnswer | None:
        """Count an operation of the caller's account; return why it must not run."""
        caller = self._caller
        caller.account = self._accounts.account_of(caller.user)
        if not caller.account:
            return None
        self._counted_at = self._clock.now()
        try:
            self._limiter.acquire(caller.account)
        except RateLimitedError as error:
            self._accounts.usage.record(caller.account, is_admitted=False)
            self._counters.rate_limited(caller.account)
            return refused(str(error), error.retry_after_ms)
        self._accounts.usage.record(caller.account, is_admitted=True)
        return None

    def _give_back_if_not_run(self, answer: Answer) -> bool:
        is_not_run = (
            isinstance(answer, ErrorAnswer) and answer.outcome is Outcome.NOT_RUN
        )
        if is_not_run and self._caller.account:
            age = self._clock.now() - self._counted_at
            self._limiter.give_back(self._caller.account, age)
        return is_not_run

    def _deadline(self, request: StatementRequest) -> float:
        deadline_ms = request.properties.deadline_ms
        if deadline_ms is None:
            deadline_ms = self._views.settings(self._caller.group or None).deadline_ms
        return request.arrived_at + deadline_ms / MILLISECONDS

    def _adopt_session(self, token: str | None) -> ErrorAnswer | None:
        if token is None:
            return None
        if token == NEW_SESSION:
            self._caller.session.mark_complete()
            return None
        codec = self._codec()
        if codec is None:
            return self._no_key()
        try:
            self._caller.session.adopt(codec.decode(token))
        except SessionTokenError as error:
            return not_run(ER_SESSION_REFUSED, str(error))
        return None

    def _codec(self) -> TokenCodec | None:
        key = self._views.settings(None).token_key
        return TokenCodec(bytes.fromhex(key)) if key else None

    def _no_key(self) -> ErrorAnswer:
        message = "token_key is not set in the settings"
        return no_primary(message, NO_PRIMARY_RETRY_AFTER_MS)

    def _local_select(self, names: tuple[str, ...]) -> Answer:
        values: list[bytes | str | None] = []
        for name in names:
            if name == VARIABLE_SESSION:
                codec = self._codec()
                if codec is None:
                    return self._no_key()
                values.append(codec.encode(self._caller.session.positions))
                continue
            value = self._variable(name)
            if value is None:
                message = f"unknown system variable {name}"
                return failed_with(ER_UNKNOWN_VARIABLE, message)
            values.append(value)
        columns = tuple(AnswerColumn(name, TEXT_TYPE, TEXT_CHARSET) for name in names)
        return RowsAnswer(columns, iter([values]), lambda _complete: None)

    def _variable(self, name: str) -> str | None:
        caller = self._caller
        match name:
            case "database" | "schema":
                return caller.group
            case "user" | "current_user":
                return caller.user
            case "version" | "version_comment":
                return SERVER_VERSION
            case "last_insert_id" | "identity":
                return str(caller.last_insert_id)
            case "autocommit":
                return str(int(caller.is_autocommit))
            case "connection_id":
                return "0"
        return system_variable(name)
