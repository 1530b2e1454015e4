"""One connection to a backend server and the answers read from it."""

from collections.abc import Callable
from typing import TypeVar

import pymysql
from dogwoodspool_common import BackendServer, Clock, Position, ServerStatus
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_settings.models import Statements
from pymysql.connections import MySQLResult

from .const import (
    ER_INVALID_CHARACTER_STRING,
    FIRST_CLIENT_NUMBER,
    LAST_CLIENT_NUMBER,
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
    """One connection to a backend server, used by one caller at a time.

    Attributes:
        server: the backend server.
        answered_at: when the server last gave a complete answer, clock seconds.
        went_silent: a wait for the server ended without an answer.
        needs_reset: statements ran that may have changed the session.
        is_probing: the pool gave it to a probe and not to a caller.
        generation: the pool's count of settings under which it was opened.
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

    @property
    def in_transaction(self) -> bool:
        """Tell whether the server's last answer was inside a transaction."""
        return self._wire.in_transaction

    @property
    def is_open(self) -> bool:
        """Tell whether the connection can carry another statement."""
        return bool(self._wire.open)

    @property
    def has_unread_answer(self) -> bool:
        """Tell whether the last statement's answer was not read to its end."""
        return self._result is not None and not self._result.is_complete

    def has_unexpected_input(self) -> bool:
        """Tell whether an idle connection holds bytes or its end.

        A server that closed the connection while it was idle, or bytes that no
        statement asked for, show here before anything is sent: the statement can
        go to another connection as not run, and a stray answer is never read as
        this statement's.
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
                leaves nothing behind in the session outside a transaction, so
                that the connection needs no reset before its next use.

        Raises:
            ConnectFailedError: the connection is closed; nothing was sent.
            StatementFailedError: the database said no.
            OutcomeUnknownError: no complete answer came; the connection is closed.
        """
        if self.has_unread_answer:
            self.close()
        if not self.is_open:
            raise ConnectFailedError(f"connection to {self.server.name} is closed")
        encoded = _encode(sql)
        self.needs_reset = self.needs_reset or may_change_session
        self._wire.set_deadline(self._clock.now() + timeout)
        raw = self._guarded(lambda: self._wire.send_query(encoded))
        self._result = StatementResult(self, raw)
        if raw.has_next:
            self._refuse_second_answer()
        if not self._result.is_resultset:
            self._note_answer()
        return self._result

    def allow_more(self, seconds: float) -> None:
        """Give the rest of the current answer more time.

        A long result takes as long as its caller needs to read it; what is bounded
        then is the wait for the next part of it.
        """
        self._wire.set_deadline(self._clock.now() + seconds)

    def read_row(self, raw: MySQLResult) -> Row | None:
        """Read the next row of the current answer, None at its end."""
        row: Row | None = self._guarded(lambda: self._wire.read_row(raw))
        if row is not None:
            return row
        if raw.has_next:
            self._refuse_second_answer()
        self._note_answer()
        return None

    def status(self, timeout: float) -> ServerStatus:
        """Ask the server for its status; raise ``BackendError`` without one."""
        return self.ask_status(self._statements.status, timeout)

    def wait_for(self, position: Position, wait: float, timeout: float) -> ServerStatus:
        """Wait on the server for a position and return its status then.

        The server answers when it has the position or after ``wait`` seconds: the
        caller looks at the status to see which. ``timeout`` bounds the answer.
        """
        sql = self._statements.wait.format(
            term=position.term,
            offset=position.offset,
            timeout_ms=max(0, round(wait * MILLISECONDS)),
        )
        return self.ask_status(sql, timeout)

    def ask_status(self, sql: str, timeout: float) -> ServerStatus:
        """Run a statement whose answer is a status row; raise ``BackendError``."""
        with self.execute(sql, timeout, may_change_session=False) as result:
            return parse_status(result.columns, list(result.rows))

    def ping(self, timeout: float) -> None:
        """Ask for a sign of life; raise ``BackendError`` and close without one."""
        self._wire.set_deadline(self._clock.now() + timeout)
        self._guarded(self._wire.ping)
        self._note_answer()

    def reset(self, timeout: float) -> None:
        """End any transaction and give the connection a fresh session.

        Raises:
            BackendError: it did not work; the connection is closed.
        """
        if self.has_unread_answer:
            self.close()
            raise OutcomeUnknownError("the last answer was not read to its end")
        self._wire.set_deadline(self._clock.now() + timeout)
        try:
            self._guarded(self._wire.reset_session)
        except BackendError:
            self.close()
            raise
        self._note_answer()
        self.needs_reset = False

    def close(self) -> None:
        """Close the connection at once, without waiting for the server."""
        if self.has_unread_answer:
            self._wire.abandon()
            return
        self._wire.set_deadline(self._clock.now() + QUIT_TIMEOUT)
        self._wire.quit()

    def _guarded(self, action: Callable[[], AnswerT]) -> AnswerT:
        # Any error but a complete error answer leaves the connection in the middle
        # of an exchange: its next bytes would be read as another statement's
        # answer. So it is closed before the error leaves this method.
        try:
            return action()
        except pymysql.MySQLError as error:
            if self._is_answer(error):
                self._note_answer()
                raise self._failed(error) from error
            self._lose()
            raise OutcomeUnknownError(f"{self.server.name}: {error}") from error
        except Exception as error:
            self._lose()
            text = f"{self.server.name}: unreadable answer: {error!r}"
            raise OutcomeUnknownError(text) from error

    def _is_answer(self, error: pymysql.MySQLError) -> bool:
        number = error.args[0] if error.args else None
        if not self.is_open or not isinstance(number, int):
            return False
        return not FIRST_CLIENT_NUMBER <= number <= LAST_CLIENT_NUMBER

    def _failed(self, error: pymysql.MySQLError) -> StatementFailedError:
        sqlstate = getattr(error, "sqlstate", None) or SQLSTATE_GENERAL
        message = str(error.args[1]) if len(error.args) > 1 else ""
        failed = StatementFailedError(error.args[0], sqlstate, message)
        if self._result is not None:
            self._result.end()
        if failed.is_connection_lost:
            self.close()
        return failed

    def _refuse_second_answer(self) -> None:
        self.close()
        raise OutcomeUnknownError("several answers to one statement are not supported")

    def _note_answer(self) -> None:
        self.answered_at = self._clock.now()

    def _lose(self) -> None:
        self.went_silent = self.went_silent or self._wire.has_timed_out
        self._wire.abandon()


def _encode(sql: str) -> bytes:
    try:
        return sql.encode()
    except UnicodeEncodeError as error:
        raise StatementFailedError(
            ER_INVALID_CHARACTER_STRING,
            SQLSTATE_GENERAL,
            "the statement is no valid utf8mb4 text",
        ) from error
