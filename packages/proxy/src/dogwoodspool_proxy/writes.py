"""Writes to the primary, acknowledged only under a valid grant."""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import islice

from dogwoodspool_backend import (
    BackendError,
    ConnectFailedError,
    OutcomeUnknownError,
    StatementFailedError,
)
from dogwoodspool_common import Clock, Position, Role, log_event, span
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_following import ViewStore
from dogwoodspool_gateway import (
    ER_WRONG_ARGUMENTS,
    Answer,
    AnswerColumn,
    DoneAnswer,
    ErrorAnswer,
    Outcome,
    RowsAnswer,
    StatementKind,
    StatementRequest,
)
from dogwoodspool_limits import Priority, RetryBudget
from dogwoodspool_requests import (
    RequestIdentity,
    RequestIdReusedError,
    RequestNotRunError,
    RequestRunner,
)
from dogwoodspool_settings import WriteAck
from expression import Error, Result

from .access import BackendAccess, HeldConnection
from .acks import ReplicaAcks
from .answers import failed, failed_with, no_primary, refused, unknown
from .callers import CallerState
from .const import (
    CONNECT_RETRY_AFTER_MS,
    ER_READ_ONLY,
    MAX_WRITE_RESULT_ROWS,
    NO_GRANT_RETRY_AFTER_MS,
    NO_PRIMARY_RETRY_AFTER_MS,
    STATUS_TIMEOUT_SECONDS,
)
from .errors import NothingSentError
from .grants import GrantTracker
from .models import WritePermit
from .reads import answer_columns

Rows = Sequence[tuple[bytes | None, ...]]


@dataclass(frozen=True, slots=True)
class WriteResult:
    """The primary's result of a write."""

    affected_rows: int
    last_insert_id: int
    columns: tuple[AnswerColumn, ...] = ()
    rows: Rows = ()

    def answer(self) -> Answer:
        """Return the answer for the caller."""
        if self.columns:
            return RowsAnswer(self.columns, iter(self.rows), lambda _complete: None)
        return DoneAnswer(self.affected_rows, self.last_insert_id)


class WritePath:
    """Serve writes outside of transactions."""

    def __init__(
        self,
        views: ViewStore,
        grants: GrantTracker,
        access: BackendAccess,
        acks: ReplicaAcks,
        budget: RetryBudget,
        clock: Clock,
    ) -> None:
        self._views = views
        self._grants = grants
        self._access = access
        self._acks = acks
        self._budget = budget
        self._clock = clock

    def run(
        self, caller: CallerState, request: StatementRequest, deadline: float
    ) -> Answer:
        """Serve one write.

        If the outcome is unknown, an idempotent write is sent again, as far as the
        deadline and the retry budget allow. No other write is repeated.
        """
        answer = self._run_once(caller, request, deadline)
        while (
            _has_outcome(answer, Outcome.UNKNOWN)
            and self._may_repeat(caller, request)
            and self._clock.now() < deadline
            and self._budget.try_spend()
        ):
            repeated = self._run_once(caller, request, deadline)
            if _has_outcome(repeated, Outcome.NOT_RUN):
                # The repetition did not run, but the first attempt may have.
                return answer
            answer = repeated
        return answer

    def open(
        self, permit: WritePermit, deadline: float, account: str = ""
    ) -> Result[HeldConnection, ErrorAnswer]:
        """Open a connection of a client account to the permit's primary."""
        server = self._views.view.servers.get(permit.primary)
        if server is None:
            message = f"primary {permit.primary} is not in the view yet"
            return Error(no_primary(message, NO_PRIMARY_RETRY_AFTER_MS))
        opened = self._access.open(server, deadline, Priority.WRITE, account)
        if opened.is_error() or self._grants.is_valid(permit):
            return opened
        opened.ok.finish(True)
        return Error(self.no_grant(permit.group))

    def no_grant(self, group: str) -> ErrorAnswer:
        """Return the answer to a write for which no grant is valid."""
        message = f"no valid grant for the primary of {group}"
        return no_primary(message, NO_GRANT_RETRY_AFTER_MS)

    def position(self, held: HeldConnection, permit: WritePermit) -> Position | None:
        """Return a position that includes the write; None if the server was replaced.

        Raises:
            BackendError: the server's status could not be queried.
        """
        status = held.connection.status(STATUS_TIMEOUT_SECONDS)
        if status.role is not Role.PRIMARY or status.position.term != permit.term:
            return None
        return status.position

    def confirm(
        self, caller: CallerState, permit: WritePermit, position: Position
    ) -> ErrorAnswer | None:
        """Acknowledge an answered write, or return why that is not possible."""
        settings = self._views.settings(permit.group)
        if settings.write_ack is WriteAck.REPLICA:
            timeout = settings.write_ack_timeout_ms / MILLISECONDS
            with span("write.replica_ack", group=permit.group):
                if not self._acks.wait(permit.group, position, timeout):
                    return unknown("no replica confirmed the write in time")
        if not self._grants.acknowledge(permit, position):
            return unknown("the grant ended before the write could be acknowledged")
        caller.session.advance(permit.group, position)
        return None

    def _run_once(
        self, caller: CallerState, request: StatementRequest, deadline: float
    ) -> Answer:
        permit = self._grants.begin_write(caller.group)
        if permit is None:
            return self.no_grant(caller.group)
        try:
            opened = self.open(permit, deadline, caller.account)
            if opened.is_error():
                return opened.error
            return self._write(caller, request, permit, opened.ok, deadline)
        finally:
            self._grants.end_write(permit)

    def _write(
        self,
        caller: CallerState,
        request: StatementRequest,
        permit: WritePermit,
        held: HeldConnection,
        deadline: float,
    ) -> Answer:
        is_healthy = False
        try:
            written = self._execute(held, request, deadline)
            is_healthy = True
            position = self._position_or_none(held, permit)
        except StatementFailedError as error:
            is_healthy = True
            return self._refused_by_database(error)
        except RequestIdReusedError as error:
            is_healthy = True
            return failed_with(ER_WRONG_ARGUMENTS, str(error))
        except (RequestNotRunError, ConnectFailedError, NothingSentError) as error:
            return refused(str(error), CONNECT_RETRY_AFTER_MS)
        except OutcomeUnknownError as error:
            log_event("write_unknown", server=held.server.name, error=error)
            self._access.report_failure(held.server, error)
            return unknown(f"{held.server.name} did not answer the write")
        finally:
            held.finish(is_healthy)
        if position is None:
            return unknown("the primary's term was not confirmed after the write")
        refusal = self.confirm(caller, permit, position)
        if refusal is not None:
            return refusal
        self._budget.record_served()
        caller.last_insert_id = written.last_insert_id or caller.last_insert_id
        return written.answer()

    def _execute(
        self, held: HeldConnection, request: StatementRequest, deadline: float
    ) -> WriteResult:
        request_id = request.properties.request_id
        # A statement that changes the schema commits implicitly, so it cannot share a
        # transaction with the row of its request id.
        if request_id is not None and request.classified.kind is StatementKind.WRITE:
            runner = RequestRunner(
                held.connection, lambda: deadline - self._clock.now()
            )
            outcome = runner.run(
                RequestIdentity.of(request_id, request.sql), request.sql
            )
            return WriteResult(outcome.affected_rows, outcome.last_insert_id)
        result = held.execute(request.sql, deadline)
        rows = list(islice(result.rows, MAX_WRITE_RESULT_ROWS + 1))
        if len(rows) > MAX_WRITE_RESULT_ROWS:
            result.close()
            raise OutcomeUnknownError(
                f"the write's result has more than {MAX_WRITE_RESULT_ROWS} rows"
            )
        columns = answer_columns(result)
        return WriteResult(result.affected_rows, result.last_insert_id, columns, rows)

    def _position_or_none(
        self, held: HeldConnection, permit: WritePermit
    ) -> Position | None:
        try:
            return self.position(held, permit)
        except BackendError as error:
            log_event("position_unknown", server=held.server.name, error=error)
            return None

    def _refused_by_database(self, error: StatementFailedError) -> ErrorAnswer:
        if error.number in ER_READ_ONLY:
            # A fenced or demoted primary refuses the statement before running it.
            message = f"the server is read-only: {error.message}"
            return no_primary(message, NO_PRIMARY_RETRY_AFTER_MS)
        return failed(error)

    def _may_repeat(self, caller: CallerState, request: StatementRequest) -> bool:
        if request.properties.request_id is not None:
            return True
        stated = request.properties.idempotent
        if stated is not None:
            return stated
        return self._views.settings(caller.group).idempotent


def _has_outcome(answer: Answer, outcome: Outcome) -> bool:
    return isinstance(answer, ErrorAnswer) and answer.outcome is outcome
