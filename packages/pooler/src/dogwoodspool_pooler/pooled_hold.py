"""A connection of this process's own pools that one request or transaction holds."""

from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Protocol

from dogwoodspool_common import BackendServer, Position, log_rate_limited
from dogwoodspool_limits import Admission, AdmissionOutcome

from .connection import ServerConnection
from .held import ReadBound
from .models import ErrorCode, Prepared, Reply, Statement
from .registry import Backend
from .server_work import outcome_of
from .session_state import carry_over, on_server


class Exchanges(Protocol):
    """What a held connection needs to send statements; see ``ServerAccess``."""

    def now(self) -> float:
        """Return the clock's time."""
        ...

    def floor(self, group: str, bound: ReadBound) -> Position:
        """Return the position that a server must have; raise ``NotFreshError``."""
        ...

    def exchange(
        self,
        server: BackendServer,
        connection: ServerConnection,
        statements: Sequence[Statement],
        deadline: float,
    ) -> list[Reply]:
        """Send statements and take in what the answers tell of the server."""
        ...


class PooledHold:
    """A connection of this process's own pools; see ``HeldConnection``."""

    def __init__(
        self,
        backend: Backend,
        connection: ServerConnection,
        admission: Admission,
        access: Exchanges,
    ) -> None:
        self._backend = backend
        self._connection = connection
        self._admission: Admission | None = admission
        self._access = access
        self._is_finished = False
        self._elapsed = 0.0
        self._outcome = AdmissionOutcome.NO_WORK

    @property
    def server(self) -> BackendServer:
        """The backend server."""
        return self._backend.server

    @property
    def in_transaction(self) -> bool:
        """Tell whether a transaction is open on it."""
        return self._connection.in_transaction

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
        """Run one statement in a session's state."""
        before = carry_over(values, self._connection.session, prepared)
        after = [] if then is None else [then]
        sent = on_server(self._bounded(statement, bound), prepared)
        replies = self._exchange([*before, sent, *after], deadline)
        reply = replies[len(before)]
        self._outcome = outcome_of(statement, reply)
        self._leave_place()
        for own, answer in zip(before, replies, strict=False):
            if answer.error is not None:
                log_rate_limited(
                    "session_state_refused",
                    level="WARNING",
                    server=self.server.name,
                    kind=own.kind,
                    code=answer.error.code,
                )
        return self._with_return_time(reply)

    def order(
        self,
        statement: Statement,
        deadline: float,
        *,
        bound: ReadBound | None = None,
    ) -> Reply:
        """Run one of the pooler's own statements."""
        (reply,) = self._exchange([self._bounded(statement, bound)], deadline)
        self._outcome = outcome_of(statement, reply)
        return self._with_return_time(reply)

    def finish(self, *, is_good: bool) -> None:
        """Give connection and place back; finishing again does nothing."""
        if self._is_finished:
            return
        self._is_finished = True
        is_reusable = is_good and self._connection.is_open
        self._backend.pool.release(self._connection, reuse=is_reusable)
        if not is_good:
            self._outcome = AdmissionOutcome.UNANSWERED
        self._leave_place()

    def _bounded(self, statement: Statement, bound: ReadBound | None) -> Statement:
        if bound is None:
            return statement
        # Only now: a process may stand still between its decisions, and a position
        # of before would be older than the read may see.
        floor = self._access.floor(self.server.group, bound)
        return replace(statement, wait_for=floor)

    def _exchange(
        self, statements: Sequence[Statement], deadline: float
    ) -> list[Reply]:
        began_at = self._access.now()
        replies = self._access.exchange(
            self.server, self._connection, statements, deadline
        )
        self._elapsed += self._access.now() - began_at
        return replies

    def _with_return_time(self, reply: Reply) -> Reply:
        """Add when to come back to a refusal of a full server, which does not say."""
        error = reply.error
        if error is None or error.code is not ErrorCode.BUSY or error.retry_after_ms:
            return reply
        retry_after_ms = self._backend.admission.next_retry_after_ms()
        return replace(reply, error=replace(error, retry_after_ms=retry_after_ms))

    def _leave_place(self) -> None:
        """Tell the admission how the statement ended, and leave.

        A transaction between two statements runs nothing on the server, so it
        keeps no place.
        """
        if self._admission is not None:
            self._admission.done(self._elapsed, self._outcome)
            self._admission = None
