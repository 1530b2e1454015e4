"""A caller with its session, connections to proxies and requests."""

import random
import threading
import time
from collections.abc import Sequence
from typing import Final

import pymysql
from dogwoodspool_common import Position
from dogwoodspool_sessions import NEW_SESSION, TokenCodec
from dogwoodspool_testbed import CallerConnection, Deployment, ProxyHandle

from .attempts import NO_ANSWER, AttemptResult, CallerOptions, classify
from .const import (
    ANSWER_TIMEOUT_SECONDS,
    CONNECT_TIMEOUT_SECONDS,
    ER_SESSION_REFUSED,
    RETRY_PAUSE_SECONDS,
)
from .history import HistoryRecorder
from .mixes import PlannedRequest, RequestPlanner
from .models import Answer, Invocation, Outcome, RowSeen
from .rows import read_statement, row_seen, with_properties, write_statement
from .statistics import RunStatistics, Sample

SQL_TOKEN: Final = "SELECT @@dogwoodspool_session"


class Caller:
    """Send requests one after the other and record their results.

    Args:
        proxies: proxies that the caller may use; it takes its session token along
            when it changes between them.
        codec: decodes the position of a session token, for the history only.
    """

    def __init__(
        self,
        name: str,
        group: str,
        deployment: Deployment,
        proxies: Sequence[ProxyHandle],
        planner: RequestPlanner,
        options: CallerOptions,
        recorder: HistoryRecorder,
        statistics: RunStatistics,
        codec: TokenCodec,
        seed: int,
    ) -> None:
        self._name = name
        self._group = group
        self._deployment = deployment
        self._proxies = proxies
        self._planner = planner
        self._options = options
        self._recorder = recorder
        self._statistics = statistics
        self._codec = codec
        self._random = random.Random(f"{seed}/{name}/caller")
        self._connections: dict[str, CallerConnection] = {}
        self._proxy = self._random.choice(proxies)
        self._token = NEW_SESSION
        self._token_proxy = ""
        self._sessions = 1

    @property
    def _session(self) -> str:
        return f"{self._name}/{self._sessions}"

    def connect(self) -> None:
        """Open the first connection, so that its time is not part of the run."""
        self._connection(self._proxy)

    def run(self, begins_at: float, stop: threading.Event) -> None:
        """Send requests until ``stop`` is set."""
        interval = self._options.interval
        due_at = begins_at + self._random.random() * interval
        while not stop.wait(max(0.0, due_at - time.monotonic())):
            if not interval:
                due_at = time.monotonic()
            self._send_request(self._planner.next(), due_at)
            # Exponential intervals around the mean, as of independent callers (Poisson
            # arrivals).
            due_at += self._random.expovariate(1 / interval) if interval else 0.0
        self._close_all()

    def _send_request(self, request: PlannedRequest, due_at: float) -> None:
        if self._random.random() < self._options.roam_probability:
            self._proxy = self._random.choice(self._proxies)
        result = AttemptResult(Outcome.NOT_SENT)
        for attempt in range(1, self._options.max_attempts + 1):
            result = self._attempt(request, attempt)
            if not self._should_retry(request, result):
                break
            self._proxy = self._random.choice(self._proxies)
            time.sleep(RETRY_PAUSE_SECONDS)
        now = time.monotonic()
        sample = Sample(
            now, now - due_at, request.profile.kind, self._group, result.outcome
        )
        self._statistics.record(sample)

    def _should_retry(self, request: PlannedRequest, result: AttemptResult) -> bool:
        match result.outcome:
            case Outcome.NOT_RUN | Outcome.NOT_SENT:
                return True
            case Outcome.UNKNOWN:
                # A transaction carries no request id: a retry could run it twice.
                return request.profile.rows_written <= 1
        return False

    def _attempt(self, request: PlannedRequest, attempt: int) -> AttemptResult:
        profile, proxy = request.profile, self._proxy
        connection = self._connection(proxy)
        self._recorder.record(
            Invocation(
                at=time.monotonic(),
                caller=self._name,
                session=self._session,
                request=request.name,
                attempt=attempt,
                kind=profile.kind,
                group=self._group,
                proxy=proxy.name,
                table=profile.table,
                room=request.room,
                rows_written=profile.rows_written,
                max_age_ms=profile.max_age_ms,
            )
        )
        if connection is None:
            result = AttemptResult(Outcome.NOT_SENT, "no connection")
        else:
            result = self._send(connection, request)
        answered_at = time.monotonic()
        position = None
        if result.outcome is Outcome.OK and profile.rows_written:
            position = self._fetch_token(proxy)
        self._recorder.record(
            Answer(
                at=answered_at,
                request=request.name,
                attempt=attempt,
                outcome=result.outcome,
                message=result.message,
                rows=result.rows,
                position=position,
            )
        )
        self._handle_result(result, proxy)
        return result

    def _handle_result(self, result: AttemptResult, proxy: ProxyHandle) -> None:
        if result.outcome is not Outcome.OK:
            # The proxy may have rejected the request before it read the session token.
            self._token_proxy = ""
        if result.message.startswith(NO_ANSWER):
            self._close(proxy)
        if result.error_number == ER_SESSION_REFUSED:
            self._start_session()

    def _send(
        self, connection: CallerConnection, request: PlannedRequest
    ) -> AttemptResult:
        if request.profile.rows_written > 1:
            return self._send_transaction(connection, request)
        profile = request.profile
        if profile.rows_written:
            sql = write_statement(profile.table, request.room, request.name)
            request_id = None if profile.is_idempotent else request.name
            properties = {
                "request_id": request_id,
                "idempotent": "true" if profile.is_idempotent else "false",
            }
        else:
            sql = read_statement(profile.table, request.room, request.name)
            properties = {}
            if profile.max_age_ms is not None:
                properties["max_age_ms"] = str(profile.max_age_ms)
        try:
            rows = self._execute(connection, sql, **properties)
        except pymysql.MySQLError as error:
            return classify(error)
        return AttemptResult(Outcome.OK, rows=rows)

    def _send_transaction(
        self, connection: CallerConnection, request: PlannedRequest
    ) -> AttemptResult:
        profile = request.profile
        try:
            self._execute(connection, "BEGIN")
            for part in range(1, profile.rows_written + 1):
                self._execute(
                    connection,
                    write_statement(profile.table, request.room, request.name, part),
                )
            if request.ends_in_rollback:
                self._execute(connection, "ROLLBACK")
                return AttemptResult(Outcome.ABORTED, "rolled back on purpose")
        except pymysql.MySQLError as error:
            before = classify(error)
            # Without a commit no row may be stored, regardless of the answers.
            self._close(self._proxy)
            return AttemptResult(Outcome.ABORTED, before.message, before.error_number)
        try:
            self._execute(connection, "COMMIT")
        except pymysql.MySQLError as error:
            return classify(error)
        return AttemptResult(Outcome.OK)

    def _execute(
        self, connection: CallerConnection, sql: str, **properties: str | None
    ) -> tuple[RowSeen, ...]:
        if self._token_proxy != self._proxy.name:
            properties["session"] = self._token
            self._token_proxy = self._proxy.name
        text = with_properties(sql, **properties, deadline_ms=self._options.deadline_ms)
        with connection.cursor() as cursor:
            cursor.execute(text)
            return tuple(row_seen(row) for row in cursor.fetchall())

    def _fetch_token(self, proxy: ProxyHandle) -> Position | None:
        connection = self._connections.get(proxy.name)
        try:
            if connection is None:
                raise pymysql.err.InterfaceError(0, "closed")
            with connection.cursor() as cursor:
                cursor.execute(SQL_TOKEN)
                row = cursor.fetchone()
            assert row is not None
            self._token = str(row[0])
        except pymysql.MySQLError:
            # The write succeeded, but no session token includes its position, so that
            # the session cannot be continued.
            self._close(proxy)
            self._start_session()
            return None
        return self._codec.decode(self._token).get(self._group)

    def _start_session(self) -> None:
        self._close_all()
        self._sessions += 1
        self._token = NEW_SESSION

    def _connection(self, proxy: ProxyHandle) -> "CallerConnection | None":
        if proxy.name in self._connections:
            return self._connections[proxy.name]
        try:
            connection = self._deployment.connect(
                proxy,
                self._group,
                connect_timeout=CONNECT_TIMEOUT_SECONDS,
                read_timeout=ANSWER_TIMEOUT_SECONDS,
                write_timeout=ANSWER_TIMEOUT_SECONDS,
            )
        except (pymysql.MySQLError, OSError):
            return None
        self._connections[proxy.name] = connection
        return connection

    def _close(self, proxy: ProxyHandle) -> None:
        connection = self._connections.pop(proxy.name, None)
        self._token_proxy = ""
        if connection is not None:
            _close_quietly(connection)

    def _close_all(self) -> None:
        self._token_proxy = ""
        for connection in self._connections.values():
            _close_quietly(connection)
        self._connections.clear()


def _close_quietly(connection: CallerConnection) -> None:
    try:
        connection.close()
    except pymysql.MySQLError:
        return
