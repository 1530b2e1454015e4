"""Run a write with a request id in one transaction with a row for the request.

The row is stored in the database group itself, so it is committed, replicated and
lost together with the write: after a change of primary a resend finds either both or
neither. A row in the state of the proxies or control could exist without the write,
or be missing although the write was committed.
"""

from collections.abc import Callable
from typing import Protocol

from dogwoodspool_backend import (
    OutcomeUnknownError,
    StatementFailedError,
)

from .const import (
    CREATE_TABLE,
    ER_DUPLICATE_KEY,
    ER_NO_SUCH_TABLE,
    INSERT_REQUEST,
    RECORD_OUTCOME,
    SELECT_OUTCOME,
)
from .errors import RequestIdReusedError, RequestNotRunError
from .models import RequestIdentity, RequestOutcome, ResultLike


class StatementRunner(Protocol):
    """An exclusive connection to the group's primary."""

    def execute(self, sql: str, timeout: float) -> ResultLike:
        """Run one statement with a timeout in seconds."""
        ...


class RequestRunner:
    """Run a write at most once for each request id.

    Example:
        >>> runner = RequestRunner(connection, lambda: 1.5)
        >>> runner.run(RequestIdentity.of("line-17", sql), sql)
    """

    def __init__(
        self, connection: StatementRunner, remaining: Callable[[], float]
    ) -> None:
        self._connection = connection
        self._remaining = remaining

    def run(self, identity: RequestIdentity, sql: str) -> RequestOutcome:
        """Run the write, or return the outcome of its first run.

        Raises:
            RequestIdReusedError: the id was used for another statement.
            RequestNotRunError: nothing was committed; a resend is safe.
            StatementFailedError: the database refused the write; it was rolled back.
            OutcomeUnknownError: the commit was sent and no answer came.
        """
        try:
            if not self._begin(identity):
                return self._first_outcome(identity)
            outcome = self._write(identity, sql)
        except OutcomeUnknownError as error:
            # Without a commit the database rolls the transaction back when it detects
            # that the connection is closed.
            raise RequestNotRunError(f"nothing was committed: {error}") from error
        self._execute("COMMIT")
        return outcome

    def _begin(self, identity: RequestIdentity) -> bool:
        """Begin the transaction with the request's row; return False if it exists."""
        try:
            return self._insert_row(identity)
        except StatementFailedError as error:
            if error.number != ER_NO_SUCH_TABLE:
                raise
        self._execute("ROLLBACK")
        self._execute(CREATE_TABLE)
        return self._insert_row(identity)

    def _insert_row(self, identity: RequestIdentity) -> bool:
        self._execute("BEGIN")
        try:
            self._execute(
                INSERT_REQUEST.format(
                    request_id=identity.request_id, fingerprint=identity.fingerprint
                )
            )
        except StatementFailedError as error:
            if error.number != ER_DUPLICATE_KEY:
                raise
            self._execute("ROLLBACK")
            return False
        return True

    def _write(self, identity: RequestIdentity, sql: str) -> RequestOutcome:
        try:
            result = self._execute(sql)
            outcome = RequestOutcome(result.affected_rows, result.last_insert_id, False)
            self._execute(
                RECORD_OUTCOME.format(
                    affected_rows=outcome.affected_rows,
                    last_insert_id=outcome.last_insert_id,
                    request_id=identity.request_id,
                )
            )
        except StatementFailedError:
            self._execute("ROLLBACK")
            raise
        return outcome

    def _first_outcome(self, identity: RequestIdentity) -> RequestOutcome:
        result = self._execute(SELECT_OUTCOME.format(request_id=identity.request_id))
        rows = list(result.rows)
        if not rows:
            raise RequestNotRunError(
                f"outcome of request id {identity.request_id} was pruned before it "
                "could be read"
            )
        fingerprint, affected_rows, last_insert_id = rows[0]
        if _text(fingerprint) != identity.fingerprint:
            raise RequestIdReusedError(
                f"request id {identity.request_id} was used for another statement"
            )
        return RequestOutcome(int(affected_rows or 0), int(last_insert_id or 0), True)

    def _execute(self, sql: str) -> ResultLike:
        remaining = self._remaining()
        if remaining <= 0:
            raise RequestNotRunError("the deadline passed before the commit")
        return self._connection.execute(sql, remaining)


def _text(value: bytes | str | None) -> str:
    if isinstance(value, bytes):
        return value.decode("ascii")
    return value or ""
