"""Connection of a caller: reads requests, runs them and writes the answers."""

import asyncio
import io
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from functools import partial
from typing import Any, cast

from dogwoodspool_common import Clock, log_event, span
from mysql_mimic import packets, types
from mysql_mimic.connection import Connection
from mysql_mimic.packets import make_column_definition_41
from mysql_mimic.prepared import PreparedStatement
from mysql_mimic.results import ResultColumn
from mysql_mimic.stream import ConnectionClosed, MysqlStream
from mysql_mimic.types import Capabilities, ServerStatus

from .classify import classify
from .const import (
    CALLER_STALL_SECONDS,
    ER_NET_PACKET_TOO_LARGE,
    ER_NOT_SUPPORTED,
    ER_PARSE,
    ER_WRONG_ARGUMENTS,
    MAX_PREPARED_STATEMENTS,
)
from .errors import (
    BadRequestPropertyError,
    CallerNotAuthenticatedError,
    PacketTooLargeError,
)
from .fetched import FetchedRows
from .models import (
    CallerSession,
    DoneAnswer,
    ErrorAnswer,
    Outcome,
    RowsAnswer,
    SessionFactory,
    StatementRequest,
)
from .prepared import (
    PlaceholderError,
    interpolate,
    placeholder_offsets,
    read_execution,
)
from .properties import parse_properties, split_comment
from .refusals import (
    busy_answer,
    interrupted_result_answer,
    interrupted_statement_answer,
    refusal,
    shutdown_answer,
)
from .results import Row, binary_columns, binary_row, text_columns
from .stream import CallerStream
from .workers import WorkerPool

RowEncoder = Callable[[Row], bytes]
FetchedAnswer = FetchedRows | DoneAnswer | ErrorAnswer
ERROR_SQLSTATE = slice(4, 9)


class CallerConnection(Connection):
    """Serve the connection of a caller.

    Statements run in the worker pool, one at a time per connection; the event loop
    only reads and writes packets.
    """

    def __init__(
        self,
        stream: CallerStream,
        *,
        sessions: SessionFactory,
        workers: WorkerPool,
        clock: Clock,
        **kwargs: Any,
    ) -> None:
        # ``CallerStream`` has the methods of ``MysqlStream``, which cannot be
        # subclassed.
        super().__init__(cast(MysqlStream, stream), **kwargs)
        self._caller_stream = stream
        self._sessions = sessions
        self._workers = workers
        self._clock = clock
        self._caller: CallerSession | None = None
        self._is_busy = False
        self._is_answered = False
        self._is_draining = False
        self._is_ended = False
        self.status_flags = ServerStatus.SERVER_STATUS_AUTOCOMMIT

    @property
    def is_connecting(self) -> bool:
        """Return whether the handshake, which takes no other packet, is going on."""
        return self._caller is None

    @property
    def is_idle(self) -> bool:
        """Return whether a request could be sent and none is in progress.

        An open transaction counts as one in progress.
        """
        return not (self.is_connecting or self._is_busy or self._in_transaction)

    @property
    def _in_transaction(self) -> bool:
        return self._caller is not None and self._caller.in_transaction

    def start_draining(self) -> None:
        """Refuse new requests except those of an open transaction."""
        self._is_draining = True

    async def end_idle(self) -> None:
        """Close an idle connection with an error that reports requests as not run.

        A request may be in flight while the proxy closes the connection, and its
        caller could not tell whether it ran. The error packet has the sequence
        number of a response, so the caller reads it as the response to its current
        or next request. The error is correct, because nothing more is read from
        this connection.
        """
        if self._is_ended:
            return
        self._is_ended = True
        self.stream.reset_seq()
        next(self.stream.seq)
        await self._write_error(shutdown_answer())
        self._caller_stream.close()

    def interrupt(self) -> None:
        """Close the connection; a statement that still runs is answered as in doubt.

        Its later answer is dropped. The answer may take the place of a row in a result
        that is being sent.
        """
        if self._is_ended or self.is_connecting:
            return
        self._is_ended = True
        if self._is_answered:
            self._caller_stream.close()
        elif self._is_busy:
            log_event("request_cut_off", level="WARNING", connection=self.connection_id)
            answer = interrupted_statement_answer()
            self._caller_stream.close_with(self._error_packet(answer))
        else:
            self.stream.reset_seq()
            next(self.stream.seq)
            self._caller_stream.close_with(self._error_packet(shutdown_answer()))

    def abandon_handshake(self) -> None:
        """Close the connection of a caller that has not logged in.

        It has sent no request, so that there is nothing to answer.
        """
        if self._is_ended:
            return
        self._is_ended = True
        log_event("handshake_abandoned", connection=self.connection_id)
        self._caller_stream.close()

    async def authenticate(self, *args: Any, **kwargs: Any) -> None:
        """Check the caller's name and password.

        After a failed authentication the library sends the error and continues with
        the command phase, where the caller could send statements. The connection is
        therefore ended here.
        """
        self.session.username = None
        await super().authenticate(*args, **kwargs)
        if self.session.username is None:
            raise CallerNotAuthenticatedError("the caller's authentication failed")

    async def command_phase(self) -> None:
        """Open the caller's session, serve its requests and close the session."""
        self._caller_stream.end_handshake()
        self._caller = self._sessions.open(str(self.session.username))
        try:
            if self.session.database:
                await self._use(self.session.database)
            await super().command_phase()
        except PacketTooLargeError as error:
            await self._write_error(
                ErrorAnswer(Outcome.NOT_RUN, *ER_NET_PACKET_TOO_LARGE, str(error))
            )
        finally:
            # Closing the session releases resources and must not wait for a worker,
            # since all workers may hold waiting statements. It therefore runs in the
            # default executor.
            await asyncio.get_running_loop().run_in_executor(None, self._caller.close)

    async def handle_init_db(self, data: bytes) -> None:
        """Select the database group."""
        answer = await self._use(self.client_charset.decode(data))
        await self._write_outcome(answer or DoneAnswer())

    async def handle_reset_connection(self, data: bytes) -> None:
        """Roll back and reset the connection's session state."""
        await self._reset_caller()
        await self.stream.write(self.ok())

    async def handle_change_user(self, data: bytes) -> None:
        """Reset the session and authenticate as another caller."""
        await self._reset_caller()
        await super().handle_change_user(data)

    async def handle_query(self, data: bytes) -> None:
        """Serve a statement of the text protocol."""
        with self._mark_busy():
            await self._serve_query(data)

    async def _serve_query(self, data: bytes) -> None:
        query = packets.parse_com_query(
            capabilities=self.capabilities,
            client_charset=self.client_charset,
            data=data,
        )
        answer = await self._run(query.sql, query.query_attrs)
        if isinstance(answer, FetchedRows):
            columns = text_columns(answer.columns)
            encode = partial(packets.make_text_resultset_row, columns=columns)
            await self._write_rows(answer, columns, encode)
        else:
            await self._write_outcome(answer)

    async def handle_stmt_prepare(self, data: bytes) -> None:
        """Store a prepared statement; it is sent as text on execution."""
        sql = self.client_charset.decode(data)
        if len(self.prepared_stmts) >= MAX_PREPARED_STATEMENTS:
            await self._write_error(
                refusal(
                    ER_NOT_SUPPORTED,
                    f"more than {MAX_PREPARED_STATEMENTS} prepared statements",
                )
            )
            return
        try:
            parameters = len(placeholder_offsets(sql))
        except PlaceholderError as error:
            await self._write_error(refusal(ER_PARSE, str(error)))
            return
        statement = PreparedStatement(next(self.prepared_stmt_seq), sql, parameters)
        self.prepared_stmts[statement.stmt_id] = statement
        for packet in self.com_stmt_prepare_response(statement):
            await self.stream.write(packet, drain=False)
        await self.stream.drain()

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Serve an execution of a prepared statement."""
        with self._mark_busy():
            await self._serve_execute(data)

    async def _serve_execute(self, data: bytes) -> None:
        statement = self.get_stmt(types.read_uint_4(io.BytesIO(data)))
        values, attributes = read_execution(
            statement, data, self.capabilities, self.client_charset
        )
        statement.param_buffers = None
        sql = interpolate(statement.sql, values)
        answer = await self._run(sql, attributes)
        if isinstance(answer, FetchedRows):
            columns = binary_columns(answer.columns)

            def encode(row: Row) -> bytes:
                return packets.make_binary_resultrow(
                    binary_row(row, answer.columns), columns
                )

            await self._write_rows(answer, columns, encode)
        else:
            await self._write_outcome(answer)

    @contextmanager
    def _mark_busy(self) -> Iterator[None]:
        """Mark the connection as busy until its answer is written."""
        self._is_busy = True
        try:
            yield
        finally:
            self._is_busy = False
            self._is_answered = False

    async def _use(self, database: str) -> ErrorAnswer | None:
        assert self._caller is not None
        self.session.database = database
        return self._caller.use(database)

    async def _reset_caller(self) -> None:
        assert self._caller is not None
        await asyncio.get_running_loop().run_in_executor(None, self._caller.reset)
        self._refresh_status()

    async def _run(self, sql: str, attributes: dict[str, Any]) -> FetchedAnswer:
        arrived_at = self._clock.now()
        if self._is_draining and not self._in_transaction:
            return shutdown_answer()
        sql, pairs = split_comment(sql)
        try:
            properties = parse_properties({**pairs, **attributes})
        except BadRequestPropertyError as error:
            return refusal(ER_WRONG_ARGUMENTS, str(error))
        request = StatementRequest(sql, classify(sql), properties, arrived_at)
        answer = await self._workers.run(partial(self._run_traced, request))
        self._refresh_status()
        return answer if answer is not None else busy_answer()

    def _run_traced(self, request: StatementRequest) -> FetchedAnswer:
        assert self._caller is not None
        with span(
            "gateway.statement",
            traceparent=request.properties.traceparent,
            kind=request.classified.kind,
        ) as current:
            answer = self._caller.run(request)
            if isinstance(answer, ErrorAnswer):
                current.set_attribute("outcome", answer.outcome)
            return FetchedRows(answer) if isinstance(answer, RowsAnswer) else answer

    async def _write_rows(
        self, rows: FetchedRows, columns: Sequence[ResultColumn], encode: RowEncoder
    ) -> None:
        """Send a result set in batches.

        A batch is fetched only after the caller has received the previous one, so
        that a large result needs only the memory of one batch.
        """
        try:
            self.stream.write_many(self._header_packets(columns))
            self.stream.write_many([encode(row) for row in rows.batch])
            while not rows.is_finished:
                await self._drain_within(CALLER_STALL_SECONDS)
                await self._workers.run_admitted(rows.fetch_batch)
                self.stream.write_many([encode(row) for row in rows.batch])
        finally:
            if not rows.is_finished:
                await self._workers.run_cleanup(rows.abandon)
            self._refresh_status()
        if rows.failure is None:
            self._is_answered = True
            await self.stream.write(self.ok_or_eof())
            return
        # The protocol allows an error packet in place of a row, so the caller does
        # not mistake the rows received so far for the complete result.
        await self._write_error(interrupted_result_answer())

    async def _drain_within(self, seconds: float) -> None:
        """Wait for the caller to receive data; raise ``ConnectionClosed`` on timeout.

        Otherwise a caller that stops reading in the middle of a result would hold a
        scarce connection to a backend server indefinitely.
        """
        try:
            await asyncio.wait_for(self.stream.drain(), seconds)
        except TimeoutError as error:
            log_event("caller_stalled", level="WARNING")
            raise ConnectionClosed from error

    def _header_packets(self, columns: Sequence[ResultColumn]) -> list[bytes]:
        header = [packets.make_column_count(self.capabilities, len(columns))]
        header += [
            make_column_definition_41(
                server_charset=self.server_charset,
                name=column.name,
                column_type=column.type,
                character_set=column.character_set,
            )
            for column in columns
        ]
        if not self.deprecate_eof():
            header.append(self.eof())
        return header

    async def _write_outcome(self, answer: DoneAnswer | ErrorAnswer) -> None:
        if isinstance(answer, ErrorAnswer):
            await self._write_error(answer)
            return
        self._is_answered = self._is_busy
        await self.stream.write(
            self.ok(
                affected_rows=answer.affected_rows,
                last_insert_id=answer.last_insert_id,
            )
        )

    async def _write_error(self, answer: ErrorAnswer) -> None:
        self._is_answered = self._is_busy
        await self.stream.write(self._error_packet(answer))

    def _error_packet(self, answer: ErrorAnswer) -> bytes:
        packet = bytearray(self.error(msg=answer.text(), code=answer.number))
        # The library maps only a few error numbers to their SQLSTATE.
        if Capabilities.CLIENT_PROTOCOL_41 in self.capabilities:
            packet[ERROR_SQLSTATE] = answer.sqlstate.encode("ascii")
        return bytes(packet)

    def _refresh_status(self) -> None:
        assert self._caller is not None
        flags = ServerStatus(0)
        if self._caller.is_autocommit:
            flags |= ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self._caller.in_transaction:
            flags |= ServerStatus.SERVER_STATUS_IN_TRANS
        self.status_flags = flags
