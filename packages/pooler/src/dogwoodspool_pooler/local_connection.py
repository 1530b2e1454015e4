"""A connection of this process's pools that one request or transaction holds."""

from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Protocol

from dogwoodspool_common import BackendServer, Position, log_rate_limited
from dogwoodspool_connections import OutcomeUnknownError, ServerNotReachedError
from dogwoodspool_limits import Admission, AdmissionOutcome, Work

from .backend import Backend
from .connection import ServerConnection
from .const import BUSY_RETRY_MS
from .held import ReadBound
from .models import (
    ErrorCode,
    Prepared,
    Reply,
    Statement,
    StatementError,
    StatementKind,
    writes,
)
from .server_work import WORKING_KINDS, outcome_of
from .session_state import sync_statements, with_server_name


class StatementSender(Protocol):
    """Interface that a held connection sends statements with; see ``ServerAccess``."""

    def now(self) -> float:
        """Return the clock's time."""
        ...

    def min_position(self, group: str, bound: ReadBound) -> Position:
        """Return the position that a server must have reached.

        Raises:
            NotFreshError: no position is known that satisfies the bound.
        """
        ...

    def exchange(
        self,
        server: BackendServer,
        connection: ServerConnection,
        statements: Sequence[Statement],
        deadline: float,
    ) -> list[Reply]:
        """Send statements and record what the replies show of the server."""
        ...


class LocalHeldConnection:
    """A connection of this process's pools; implements ``HeldConnection``."""

    def __init__(
        self,
        backend: Backend,
        connection: ServerConnection,
        admission: Admission,
        work: Work | None,
        access: StatementSender,
    ) -> None:
        self._backend = backend
        self._connection = connection
        self._admission: Admission | None = admission
        self._work = work
        self._access = access
        self._is_finished = False
        self._elapsed = 0.0
        self._outcome = AdmissionOutcome.NO_WORK
        self._has_written = False
        self._has_unknown_state = False

    @property
    def server(self) -> BackendServer:
        """The backend server."""
        return self._backend.server

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open on it."""
        return self._connection.in_transaction

    @property
    def is_remote(self) -> bool:
        """Always false: this process runs the statements."""
        return False

    @property
    def has_written(self) -> bool:
        """Whether a write on it was answered without an error."""
        return self._has_written

    def run(
        self,
        values: Mapping[str, str],
        statement: Statement,
        prepared: Prepared | None,
        deadline: float,
        *,
        then: Statement | None = None,
        bound: ReadBound | None = None,
    ) -> Reply:
        """Run one statement with a session's values and prepared statement.

        The statement is sent once the connection has the values. What prepares it goes
        with it: if that is refused, the server does not know the name and runs nothing.
        """
        before = sync_statements(values, self._connection.session, prepared)
        changes = [one for one in before if one.kind is not StatementKind.PREPARE]
        refusal = self._change_session(changes, deadline)
        if refusal is not None:
            return refusal
        prepares = before[len(changes) :]
        after = [] if then is None else [then]
        sent = with_server_name(self._with_wait_for(statement, bound), prepared)
        self._count_continuation(statement)
        replies = self._exchange([*prepares, sent, *after], deadline)
        reply = replies[len(prepares)]
        self._outcome = outcome_of(statement, reply)
        self._has_written |= reply.error is None and writes(statement, prepared)
        self._release_slot()
        if self._is_refused(prepares, replies) and _is_unknown_statement(reply):
            return self._not_prepared(reply)
        return self._with_retry_time(reply)

    def _change_session(
        self, changes: Sequence[Statement], deadline: float
    ) -> Reply | None:
        """Bring the connection to a session's values; return a refusal, if any.

        Raises:
            ServerNotReachedError: the answer is missing; the caller's statement was not
                sent.
        """
        if not changes:
            return None
        try:
            replies = self._exchange(changes, deadline)
        except OutcomeUnknownError as error:
            raise ServerNotReachedError(f"session state: {error}") from error
        if not self._is_refused(changes, replies):
            return None
        # The slot is kept: the statement may be sent again on this connection.
        self._outcome = AdmissionOutcome.NO_WORK
        return self._not_prepared(replies[-1])

    def _is_refused(
        self, statements: Sequence[Statement], replies: Sequence[Reply]
    ) -> bool:
        """Return whether session state was refused; log the first refusal."""
        for one, reply in zip(statements, replies, strict=False):
            if reply.error is None:
                continue
            # What a refused statement has changed on the server is not known.
            self._has_unknown_state = True
            log_rate_limited(
                "session_state_refused",
                level="WARNING",
                server=self.server.name,
                kind=one.kind,
                code=reply.error.code,
            )
            return True
        return False

    def _not_prepared(self, last: Reply) -> Reply:
        """Return the reply to a statement whose session state was refused.

        Args:
            last: the last reply on the connection.
        """
        message = f"{self.server.name} did not take the session's state"
        error = StatementError(ErrorCode.BUSY, message, BUSY_RETRY_MS)
        return Reply((), "", error, last.state, last.position)

    def run_internal(
        self,
        statement: Statement,
        deadline: float,
        *,
        bound: ReadBound | None = None,
    ) -> Reply:
        """Run a statement that the pooler itself issues, such as a begin."""
        (reply,) = self._exchange([self._with_wait_for(statement, bound)], deadline)
        self._outcome = outcome_of(statement, reply)
        return self._with_retry_time(reply)

    def finish(self, *, is_good: bool) -> None:
        """Release the connection and its admission; repeated calls do nothing."""
        if self._is_finished:
            return
        self._is_finished = True
        is_reusable = is_good and self._connection.is_open
        is_reusable = is_reusable and not self._has_unknown_state
        self._backend.turns.record_use()
        is_reusable = is_reusable and self._backend.turns.wait() <= 0
        self._backend.pool.release(self._connection, reuse=is_reusable)
        if not is_good:
            self._outcome = AdmissionOutcome.UNANSWERED
        self._release_slot()

    def _count_continuation(self, statement: Statement) -> None:
        """Count a further statement of the transaction as in flight.

        New work would otherwise be admitted to the slots that it uses.
        """
        if self._admission is not None or self._work is None:
            return
        if statement.kind in WORKING_KINDS and self._backend.is_ordered_by_target:
            self._elapsed = 0.0
            self._admission = self._backend.admission.admit_continuation(self._work)

    def _with_wait_for(
        self, statement: Statement, bound: ReadBound | None
    ) -> Statement:
        if bound is None:
            return statement
        # Looked up at the last moment: the process may be suspended between choosing
        # the server and sending, and a position looked up earlier could then be older
        # than the read accepts.
        min_position = self._access.min_position(self.server.group, bound)
        return replace(statement, wait_for=min_position)

    def _exchange(
        self, statements: Sequence[Statement], deadline: float
    ) -> list[Reply]:
        began_at = self._access.now()
        replies = self._access.exchange(
            self.server, self._connection, statements, deadline
        )
        self._elapsed += self._access.now() - began_at
        return replies

    def _with_retry_time(self, reply: Reply) -> Reply:
        """Add a retry time to the refusal of a full server that names none."""
        error = reply.error
        if error is None or error.code is not ErrorCode.BUSY or error.retry_after_ms:
            return reply
        retry_after_ms = self._backend.admission.next_retry_after_ms()
        return replace(reply, error=replace(error, retry_after_ms=retry_after_ms))

    def _release_slot(self) -> None:
        """Report the statement's outcome to the admission queue and free its slot.

        A transaction runs nothing on the server between two statements, so it does
        not occupy a slot then.
        """
        if self._admission is not None:
            self._admission.done(self._elapsed, self._outcome)
            self._admission = None


def _is_unknown_statement(reply: Reply) -> bool:
    return reply.error is not None and reply.error.code is ErrorCode.UNKNOWN_STATEMENT
