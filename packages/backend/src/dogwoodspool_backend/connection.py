"""Connection to a backend server and the answers read from it."""

from collections.abc import Callable
from typing import TypeVar

import pymysql
from dogwoodspool_common import BackendServer, Clock, Position, ServerStatus
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_settings.models import Statements
from pymysql.connections import MySQLResult

from .const import (
    CR_MAX_ERROR,
    CR_MIN_ERROR,
    ER_INVALID_CHARACTER_STRING,
    QUIT_TIMEOUT,
    SQLSTATE_GENERAL,
)
from .errors import (
    BackendError,
    ConnectFailedError,
    OutcomeUnknownError,
    StatementFailedError,
)
from .models import Row
from .result import StatementResult
from .status import parse_status
from .wire import Wire

AnswerT = TypeVar("AnswerT")


class BackendConnection:
    """Represent a connection to a backend server, used by one caller at a time.

    Attributes:
        server: the backend server.
        answered_at: when the server last gave a complete answer, clock seconds.
        went_silent: a wait for the server timed out without an answer.
        needs_reset: statements ran that may have changed the session.
        is_probing: the pool gave the connection to a probe and not to a caller.
        generation: the pool's count of settings changes when it was opened.
        account: client account in whose name it was opened; empty for none.
        running_since: since when its server's process is known to run, clock seconds.
        used_at: when the pool last gave it to a caller, clock seconds.
    """

    def __init__(
        self, server: BackendServer, wire: Wire, clock: Clock, statements: Statements
    ) -> None:
        self._wire = wire
        self._clock = clock
        self._statements = statements
        self._result: StatementResult | None = None
        self.server = server
        self.answered_at = clock.now()
        self.went_silent = False
        self.needs_reset = False
        self.is_probing = False
        self.generation = 0
        self.account = ""
        self.running_since = self.used_at = self.answered_at

    @property
    def in_transaction(self) -> bool:
        """Return whether the server reported an open transaction in its last answer."""
        return self._wire.in_transaction

    @property
    def is_open(self) -> bool:
        """Return whether the connection can run another statement."""
        return bool(self._wire.open)

    @property
    def has_unread_answer(self) -> bool:
        """Return whether the last statement's answer has not been read completely."""
        return self._result is not None and not self._result.is_complete

    def has_unexpected_input(self) -> bool:
        """Return whether an idle connection is closed or has unexpected input.

        This detects a connection that the server closed while it was idle, and
        bytes that belong to no statement, before anything is sent. The statement
        has not run and can use another connection, and a stray answer is never
        read as the answer to this statement.
        """
        return not self._wire.open or self._wire.has_input()

    def execute(
        self, sql: str, timeout: float, *, may_change_session: bool = True
    ) -> StatementResult:
        """Run one statement and return its answer.

        Args:
            sql: one statement.
            timeout: seconds for the whole answer, its rows included.
            may_change_session: False when the caller knows that the statement
                changes no session state outside a transaction, so that the
                connection needs no reset before its next use.

        Raises:
            ConnectFailedError: the connection is closed; nothing was sent.
            StatementFailedError: the database answered with an error.
            OutcomeUnknownError: no complete answer was received; the connection is
                closed.
        """
        if self.has_unread_answer:
            self.close()
        if not self.is_open:
            raise ConnectFailedError(f"connection to {self.server.name} is closed")
        encoded = _encode(sql)
        self.needs_reset = self.needs_reset or may_change_session
        self._wire.set_deadline(self._clock.now() + timeout)
        raw = self._run_exchange(lambda: self._wire.send_query(encoded))
        self._result = StatementResult(self, raw)
        if raw.has_next:
            self._reject_second_result()
        if not self._result.is_resultset:
            self._record_answer()
        return self._result

    def extend_deadline(self, seconds: float) -> None:
        """Extend the deadline for the rest of the current answer.

        Reading a long result takes as long as its caller needs, so the deadline
        bounds the wait for the next part and not the whole result.
        """
        self._wire.set_deadline(self._clock.now() + seconds)

    def read_row(self, raw: MySQLResult) -> Row | None:
        """Return the next row of the current answer, None at its end."""
        row: Row | None = self._run_exchange(lambda: self._wire.read_row(raw))
        if row is not None:
            return row
        if raw.has_next:
            self._reject_second_result()
        self._record_answer()
        return None

    def status(self, timeout: float) -> ServerStatus:
        """Return the server's status; raise ``BackendError`` if there is none."""
        return self.query_status(self._statements.status, timeout)

    def wait_for(self, position: Position, wait: float, timeout: float) -> ServerStatus:
        """Wait until the server has reached a position and return its status.

        The server answers when it has reached the position or after ``wait``
        seconds; the status tells the caller which. ``timeout`` is the time limit
        for the answer in seconds.
        """
        sql = self._statements.wait.format(
            term=position.term,
            offset=position.offset,
            timeout_ms=max(0, round(wait * MILLISECONDS)),
        )
        return self.query_status(sql, timeout)

    def query_status(self, sql: str, timeout: float) -> ServerStatus:
        """Run a statement that returns a status row; raise ``BackendError``."""
        with self.execute(sql, timeout, may_change_session=False) as result:
            return parse_status(result.columns, list(result.rows))

    def ping(self, timeout: float) -> None:
        """Ping the server; close and raise ``BackendError`` if it does not answer."""
        self._wire.set_deadline(self._clock.now() + timeout)
        self._run_exchange(self._wire.ping)
        self._record_answer()

    def reset(self, timeout: float) -> None:
        """Roll back any transaction and reset the session state.

        Raises:
            BackendError: the reset failed; the connection is closed.
        """
        if self.has_unread_answer:
            self.close()
            raise OutcomeUnknownError("the last answer was not read completely")
        self._wire.set_deadline(self._clock.now() + timeout)
        try:
            self._run_exchange(self._wire.reset_session)
        except BackendError:
            self.close()
            raise
        self._record_answer()
        self.needs_reset = False

    def close(self) -> None:
        """Close the connection at once, without waiting for the server."""
        if self.has_unread_answer:
            self._wire.abandon()
            return
        self._wire.set_deadline(self._clock.now() + QUIT_TIMEOUT)
        self._wire.quit()

    def _run_exchange(self, action: Callable[[], AnswerT]) -> AnswerT:
        # After any error other than a complete error answer, the connection is in
        # the middle of an exchange and its next bytes would be read as the answer
        # to another statement. The connection is therefore closed before the error
        # is raised.
        try:
            return action()
        except pymysql.MySQLError as error:
            if self._is_server_error(error):
                self._record_answer()
                raise self._statement_failed(error) from error
            self._abort_connection()
            raise OutcomeUnknownError(f"{self.server.name}: {error}") from error
        except Exception as error:
            self._abort_connection()
            text = f"{self.server.name}: cannot parse the answer: {error!r}"
            raise OutcomeUnknownError(text) from error

    def _is_server_error(self, error: pymysql.MySQLError) -> bool:
        number = error.args[0] if error.args else None
        if not self.is_open or not isinstance(number, int):
            return False
        return not CR_MIN_ERROR <= number <= CR_MAX_ERROR

    def _statement_failed(self, error: pymysql.MySQLError) -> StatementFailedError:
        sqlstate = getattr(error, "sqlstate", None) or SQLSTATE_GENERAL
        message = str(error.args[1]) if len(error.args) > 1 else ""
        failed = StatementFailedError(error.args[0], sqlstate, message)
        if self._result is not None:
            self._result.end()
        if failed.is_connection_lost:
            self.close()
        return failed

    def _reject_second_result(self) -> None:
        self.close()
        raise OutcomeUnknownError("statements with multiple results are not supported")

    def _record_answer(self) -> None:
        self.answered_at = self._clock.now()

    def _abort_connection(self) -> None:
        self.went_silent = self.went_silent or self._wire.has_timed_out
        self._wire.abandon()


def _encode(sql: str) -> bytes:
    try:
        return sql.encode()
    except UnicodeEncodeError as error:
        raise StatementFailedError(
            ER_INVALID_CHARACTER_STRING,
            SQLSTATE_GENERAL,
            "the statement is not valid utf8mb4 text",
        ) from error
