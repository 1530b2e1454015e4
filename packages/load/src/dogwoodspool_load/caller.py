"""One caller: its session, its connections to proxies, its requests."""

import random
import threading
import time
from collections.abc import Sequence
from typing import Final

import pymysql
from dogwoodspool_common import Position
from dogwoodspool_sessions import NEW_SESSION, TokenCodec
from dogwoodspool_testbed import CallerConnection, Deployment, ProxyHandle

from .attempts import NO_ANSWER, Attempted, CallerOptions, classify
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
    """Send requests one after the other and record what comes back.

    Args:
        proxies: where it may connect; it roams between them with its token.
        codec: reads the position out of a token, for the history only.
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
        self._told_proxy = ""
        self._sessions = 1

    @property
    def _session(self) -> str:
        return f"{self._name}/{self._sessions}"

    def connect(self) -> None:
        """Open the first connection, so that the run does not begin with that."""
        self._connection(self._proxy)

    def run(self, begins_at: float, stop: threading.Event) -> None:
        """Send requests until told to stop."""
        interval = self._options.interval
        due_at = begins_at + self._random.random() * interval
        while not stop.wait(max(0.0, due_at - time.monotonic())):
            if not interval:
                due_at = time.monotonic()
            self._perform(self._planner.next(), due_at)
            # Spread like independent callers' requests, at the wanted mean.
            due_at += self._random.expovariate(1 / interval) if interval else 0.0
        self._close_all()

    def _perform(self, request: PlannedRequest, due_at: float) -> None:
        if self._random.random() < self._options.roam_probability:
            self._proxy = self._random.choice(self._proxies)
        attempted = Attempted(Outcome.NOT_SENT)
        for attempt in range(1, self._options.max_attempts + 1):
            attempted = self._attempt(request, attempt)
            if not self._should_repeat(request, attempted):
                break
            self._proxy = self._random.choice(self._proxies)
            time.sleep(RETRY_PAUSE_SECONDS)
        now = time.monotonic()
        sample = Sample(
            now, now - due_at, request.kind.kind, self._group, attempted.outcome
        )
        self._statistics.record(sample)

    def _should_repeat(self, request: PlannedRequest, attempted: Attempted) -> bool:
        match attempted.outcome:
            case Outcome.NOT_RUN | Outcome.NOT_SENT:
                return True
            case Outcome.UNKNOWN:
                # A transaction carries no request id: sent again it could run twice.
                return request.kind.rows_written <= 1
        return False

    def _attempt(self, request: PlannedRequest, attempt: int) -> Attempted:
        kind, proxy = request.kind, self._proxy
        connection = self._connection(proxy)
        self._recorder.record(
            Invocation(
                at=time.monotonic(),
                caller=self._name,
                session=self._session,
                request=request.name,
                attempt=attempt,
                kind=kind.kind,
                group=self._group,
                proxy=proxy.name,
                table=kind.table,
                room=request.room,
                rows_written=kind.rows_written,
                max_age_ms=kind.max_age_ms,
            )
        )
        if connection is None:
            attempted = Attempted(Outcome.NOT_SENT, "no connection")
        else:
            attempted = self._send(connection, request)
        answered_at = time.monotonic()
        position = None
        if attempted.outcome is Outcome.OK and kind.rows_written:
            position = self._take_token(proxy)
        self._recorder.record(
            Answer(
                at=answered_at,
                request=request.name,
                attempt=attempt,
                outcome=attempted.outcome,
                message=attempted.message,
                rows=attempted.rows,
                position=position,
            )
        )
        self._react(attempted, proxy)
        return attempted

    def _react(self, attempted: Attempted, proxy: ProxyHandle) -> None:
        if attempted.outcome is not Outcome.OK:
            # The proxy may have refused before it took the session's token.
            self._told_proxy = ""
        if attempted.message.startswith(NO_ANSWER):
            self._close(proxy)
        if attempted.error_number == ER_SESSION_REFUSED:
            self._begin_session()

    def _send(self, connection: CallerConnection, request: PlannedRequest) -> Attempted:
        if request.kind.rows_written > 1:
            return self._send_transaction(connection, request)
        kind = request.kind
        if kind.rows_written:
            sql = write_statement(kind.table, request.room, request.name)
            request_id = None if kind.is_idempotent else request.name
            stated = {
                "request_id": request_id,
                "idempotent": "true" if kind.is_idempotent else "false",
            }
        else:
            sql = read_statement(kind.table, request.room, request.name)
            stated = {}
            if kind.max_age_ms is not None:
                stated["max_age_ms"] = str(kind.max_age_ms)
        try:
            rows = self._execute(connection, sql, **stated)
        except pymysql.MySQLError as error:
            return classify(error)
        return Attempted(Outcome.OK, rows=rows)

    def _send_transaction(
        self, connection: CallerConnection, request: PlannedRequest
    ) -> Attempted:
        kind = request.kind
        try:
            self._execute(connection, "BEGIN")
            for part in range(1, kind.rows_written + 1):
                self._execute(
                    connection,
                    write_statement(kind.table, request.room, request.name, part),
                )
            if request.ends_in_rollback:
                self._execute(connection, "ROLLBACK")
                return Attempted(Outcome.ABORTED, "rolled back on purpose")
        except pymysql.MySQLError as error:
            before = classify(error)
            # Without a commit nothing of it may stay, whatever was answered.
            self._close(self._proxy)
            return Attempted(Outcome.ABORTED, before.message, before.error_number)
        try:
            self._execute(connection, "COMMIT")
        except pymysql.MySQLError as error:
            return classify(error)
        return Attempted(Outcome.OK)

    def _execute(
        self, connection: CallerConnection, sql: str, **stated: str | None
    ) -> tuple[RowSeen, ...]:
        if self._told_proxy != self._proxy.name:
            stated["session"] = self._token
            self._told_proxy = self._proxy.name
        text = with_properties(sql, **stated, deadline_ms=self._options.deadline_ms)
        with connection.cursor() as cursor:
            cursor.execute(text)
            return tuple(row_seen(row) for row in cursor.fetchall())

    def _take_token(self, proxy: ProxyHandle) -> Position | None:
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
            # The write is done, but no token covers it: its session ends here.
            self._close(proxy)
            self._begin_session()
            return None
        return self._codec.decode(self._token).get(self._group)

    def _begin_session(self) -> None:
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
        self._told_proxy = ""
        if connection is not None:
            _close_quietly(connection)

    def _close_all(self) -> None:
        self._told_proxy = ""
        for connection in self._connections.values():
            _close_quietly(connection)
        self._connections.clear()


def _close_quietly(connection: CallerConnection) -> None:
    try:
        connection.close()
    except pymysql.MySQLError:
        return
