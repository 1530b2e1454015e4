"""Reads, served by a replica that is fresh enough or by the primary."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice

from dogwoodspool_backend import (
    BackendError,
    ConnectFailedError,
    OutcomeUnknownError,
    Row,
    StatementFailedError,
    StatementResult,
)
from dogwoodspool_common import Clock, GroupState, Role, ServerStatus, log_event, span
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_common.counters import Counters
from dogwoodspool_following import ViewStore
from dogwoodspool_gateway import (
    Answer,
    AnswerColumn,
    ErrorAnswer,
    RowsAnswer,
    StatementRequest,
)
from dogwoodspool_limits import Priority, RetryBudget
from dogwoodspool_routing import (
    ReadChoice,
    ReadNeed,
    ServerTable,
    satisfies,
)
from dogwoodspool_sessions import SessionRefusal
from expression import Error, Ok, Result

from .access import BackendAccess, HeldConnection
from .answers import failed, no_primary, not_run, refused, unknown
from .callers import CallerState
from .const import (
    ER_SESSION_REFUSED,
    MAX_READ_ATTEMPTS,
    NEWER_SESSION_RETRY_AFTER_MS,
    NO_PRIMARY_RETRY_AFTER_MS,
    READ_ATTEMPT_FRACTION,
    RESULT_STALL_ROWS,
    RESULT_STALL_SECONDS,
)
from .errors import NothingSentError
from .grants import GrantTracker
from .routers import GroupRouters


@dataclass(frozen=True, slots=True)
class TryNextServer:
    """The result of an attempt on a server that did not serve the read.

    Attributes:
        server: name of the server, which further attempts exclude.
        answer: the caller's answer if no other server is available.
        is_retry: whether the server failed, so that the next attempt is a retry and
            uses the retry budget.
    """

    server: str
    answer: ErrorAnswer
    is_retry: bool


class ReadPath:
    """Serve reads outside of transactions.

    A read changes nothing, so it is retried on another server when one fails, as far
    as the retry budget allows.
    """

    def __init__(
        self,
        views: ViewStore,
        grants: GrantTracker,
        access: BackendAccess,
        table: ServerTable,
        routers: GroupRouters,
        budget: RetryBudget,
        counters: Counters,
        clock: Clock,
    ) -> None:
        self._views = views
        self._grants = grants
        self._access = access
        self._table = table
        self._routers = routers
        self._budget = budget
        self._counters = counters
        self._clock = clock

    def run(
        self, caller: CallerState, request: StatementRequest, deadline: float
    ) -> Answer:
        """Serve one read."""
        max_age_ms = request.properties.max_age_ms
        excluded: set[str] = set()
        answer: Answer = unknown("no server was available")
        for number in range(MAX_READ_ATTEMPTS):
            attempt_deadline = self._attempt_deadline(number, deadline)
            match self._open_once(caller, max_age_ms, attempt_deadline, excluded):
                case HeldConnection() as held:
                    attempt = self._execute(held, request.sql, attempt_deadline)
                case ErrorAnswer() as refusal:
                    return answer if excluded else refusal
                case TryNextServer() as attempt:
                    pass
            if not isinstance(attempt, TryNextServer):
                return attempt
            answer = attempt.answer
            excluded.add(attempt.server)
            if attempt.is_retry and not self._budget.try_spend():
                return answer
        return answer

    def _attempt_deadline(self, number: int, deadline: float) -> float:
        """Return the attempt's deadline; the first leaves time for another server.

        A connection that has gone silent is noticed only by the missing answer.
        Waiting for it until the caller's deadline would leave no time to try another
        server. The cost: a read that needs more than this fraction of its deadline
        is cut short on its first attempt.
        """
        if number > 0:
            return deadline
        now = self._clock.now()
        return now + (deadline - now) * READ_ATTEMPT_FRACTION

    def open(
        self, caller: CallerState, max_age_ms: int | None, deadline: float
    ) -> Result[HeldConnection, ErrorAnswer]:
        """Open a connection to a server that is fresh enough for the session."""
        excluded: set[str] = set()
        answer = refused("no server was available", NO_PRIMARY_RETRY_AFTER_MS)
        for _attempt in range(MAX_READ_ATTEMPTS):
            match self._open_once(caller, max_age_ms, deadline, excluded):
                case HeldConnection() as held:
                    return Ok(held)
                case ErrorAnswer() as refusal:
                    return Error(answer if excluded else refusal)
                case TryNextServer() as attempt:
                    answer = attempt.answer
                    excluded.add(attempt.server)
        return Error(answer)

    def _open_once(
        self,
        caller: CallerState,
        max_age_ms: int | None,
        deadline: float,
        excluded: set[str],
    ) -> HeldConnection | TryNextServer | ErrorAnswer:
        state = self._views.view.groups.get(caller.group)
        if state is None:
            message = f"database group {caller.group} is not in the view yet"
            return no_primary(message, NO_PRIMARY_RETRY_AFTER_MS)
        needed = self._need(caller, state, max_age_ms)
        if needed.is_error():
            return needed.error
        need = needed.ok
        unconfirmed = self._grants.unconfirmed_seconds(state.name, state.term)
        with span("route.read", group=caller.group):
            choice = self._routers.router(caller.group).choose(
                state,
                need,
                exclude=excluded,
                own_failure_domain=self._views.failure_domain,
                unconfirmed_ms=unconfirmed * MILLISECONDS,
            )
        if choice.is_error():
            return no_primary(choice.error.reason, choice.error.retry_after_ms)
        return self._open_chosen(caller, state, need, choice.ok, deadline)

    def _need(
        self, caller: CallerState, state: GroupState, max_age_ms: int | None
    ) -> Result[ReadNeed, ErrorAnswer]:
        if max_age_ms is None:
            max_age_ms = self._views.settings(caller.group).max_age_ms
        position = caller.session.read_position(state)
        if position.is_ok():
            known = position.ok
            return Ok(ReadNeed(known.position, not known.is_known, max_age_ms))
        if position.error is SessionRefusal.LOST:
            message = (
                "writes of this session were lost in a change of primary; "
                "begin a new session"
            )
            return Error(not_run(ER_SESSION_REFUSED, message))
        message = "this proxy does not know the session's newer term yet"
        return Error(no_primary(message, NEWER_SESSION_RETRY_AFTER_MS))

    def _open_chosen(
        self,
        caller: CallerState,
        state: GroupState,
        need: ReadNeed,
        choice: ReadChoice,
        deadline: float,
    ) -> HeldConnection | TryNextServer | ErrorAnswer:
        priority = Priority.READ_PRIMARY if choice.is_primary else Priority.READ
        opened = self._access.open(choice.server, deadline, priority, caller.account)
        if opened.is_error():
            return TryNextServer(choice.server.name, opened.error, is_retry=False)
        held = opened.ok
        try:
            is_fresh = self._is_fresh(caller, state, need, choice, held, deadline)
        except BackendError as error:
            held.finish(False)
            self._access.report_failure(choice.server, error)
            message = f"status query on {choice.server.name} failed: {error}"
            answer = refused(message, NO_PRIMARY_RETRY_AFTER_MS)
            return TryNextServer(choice.server.name, answer, is_retry=True)
        if is_fresh:
            self._counters.read_served(caller.group, choice.is_primary)
            return held
        held.finish(True)
        answer = refused(
            f"{choice.server.name} does not have the session's writes yet",
            NO_PRIMARY_RETRY_AFTER_MS,
        )
        return TryNextServer(choice.server.name, answer, is_retry=False)

    def _is_fresh(
        self,
        caller: CallerState,
        state: GroupState,
        need: ReadNeed,
        choice: ReadChoice,
        held: HeldConnection,
        deadline: float,
    ) -> bool:
        if need.needs_primary:
            return self._resolve_session(caller, state, held, deadline)
        if not choice.must_check_status:
            return True
        asked_at = self._clock.now()
        status = held.connection.status(deadline - asked_at)
        if self._is_satisfied(status, need, state, asked_at):
            return True
        if need.position is None or choice.is_primary:
            return False
        wait = self._views.settings(caller.group).replica_wait_ms / MILLISECONDS
        asked_at = self._clock.now()
        status = held.connection.wait_for(need.position, wait, deadline - asked_at)
        return self._is_satisfied(status, need, state, asked_at)

    def _is_satisfied(
        self, status: ServerStatus, need: ReadNeed, state: GroupState, asked_at: float
    ) -> bool:
        self._table.record_status(status, asked_at)
        unconfirmed = self._grants.unconfirmed_seconds(state.name, state.term)
        elapsed = self._clock.now() - asked_at + unconfirmed
        return satisfies(status, need, state, elapsed * MILLISECONDS)

    def _resolve_session(
        self,
        caller: CallerState,
        state: GroupState,
        held: HeldConnection,
        deadline: float,
    ) -> bool:
        """Set the position of a session with unknown earlier writes from the primary.

        All its earlier writes were acknowledged before, so the primary's position,
        queried now and under a valid grant, is past each of them.
        """
        status = held.connection.status(deadline - self._clock.now())
        grant = self._grants.current(state.name)
        if grant is None or status.role is not Role.PRIMARY:
            return False
        if status.position.term != grant.term:
            return False
        caller.session.advance(state.name, status.position)
        return True

    def _execute(
        self, held: HeldConnection, sql: str, deadline: float
    ) -> Answer | TryNextServer:
        name = held.server.name
        try:
            result = held.execute(sql, deadline)
        except StatementFailedError as error:
            held.finish(True)
            return failed(error)
        except NothingSentError as error:
            held.finish(True)
            return refused(str(error), 0)
        except (OutcomeUnknownError, ConnectFailedError) as error:
            held.finish(False)
            log_event("read_moved", level="DEBUG", server=name, error=error)
            self._access.report_failure(held.server, error)
            return TryNextServer(name, unknown(f"{name} did not answer"), is_retry=True)
        self._budget.record_served()
        return rows_answer(held, result)


def rows_answer(held: HeldConnection, result: StatementResult) -> RowsAnswer:
    """Stream a result to the caller and finish the connection at its end."""

    def finish(is_complete: bool) -> None:
        if not is_complete:
            result.close()
        held.finish(result.is_complete)

    return RowsAnswer(
        answer_columns(result), rows_with_stall_timeout(held, result), finish
    )


def rows_with_stall_timeout(
    held: HeldConnection, result: StatementResult
) -> Iterator[Row]:
    """Yield a result's rows, bounding only the wait for each next batch.

    The statement's deadline applies up to its first rows. A long result may then take
    as long as its caller needs to read it.
    """
    rows = result.rows
    while batch := list(islice(rows, RESULT_STALL_ROWS)):
        yield from batch
        held.connection.extend_deadline(RESULT_STALL_SECONDS)


def answer_columns(result: StatementResult) -> tuple[AnswerColumn, ...]:
    """Convert a result's columns to those of the answer."""
    return tuple(
        AnswerColumn(column.name, column.type_code, column.charset)
        for column in result.columns
    )
