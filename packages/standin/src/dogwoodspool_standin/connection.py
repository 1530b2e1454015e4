"""One caller's connection in MySQL's protocol, on mysql-mimic's event loop."""

import asyncio
import struct
from collections.abc import Callable, Sequence
from concurrent.futures import Executor
from dataclasses import dataclass
from typing import Any, TypeVar

from mysql_mimic.connection import Connection
from mysql_mimic.control import Control
from mysql_mimic.errors import MysqlError, get_sqlstate
from mysql_mimic.packets import (
    make_column_count,
    make_column_definition_41,
    parse_com_query,
)
from mysql_mimic.results import ResultColumn
from mysql_mimic.stream import ConnectionClosed, MysqlStream
from mysql_mimic.types import ColumnType, Commands, ServerStatus

from .connection_limiter import ConnectionLimiter
from .const import (
    ATTR_FAILURE_DOMAIN,
    ATTR_PROGRAM_NAME,
    HANDSHAKE_TIMEOUT,
    REPLICATION_USER,
)
from .errors import (
    AccessDeniedError,
    ConnectionCutError,
    NotPreparedError,
    StatementError,
    TooManyConnectionsError,
    UnknownCommandError,
)
from .faults import FaultSwitches
from .identity import MimicSession, Users
from .models import OkResult, Rows
from .session import CallerSession

T = TypeVar("T")

_ERROR_HEADER = 0xFF
_SQLSTATE_MARK = b"#"


@dataclass(frozen=True, slots=True)
class ConnectionDependencies:
    """Objects that all connections of a listener share."""

    executor: Executor
    faults: FaultSwitches
    connection_limiter: ConnectionLimiter
    users: Users
    control: Control
    is_refusing: Callable[[], bool]


class StandinConnection(Connection):
    """Serve one caller; blocking work runs in the executor."""

    def __init__(
        self,
        stream: MysqlStream,
        session: CallerSession,
        dependencies: ConnectionDependencies,
    ) -> None:
        super().__init__(
            stream=stream,
            session=MimicSession(),
            control=dependencies.control,
            identity_provider=dependencies.users,
        )
        self._caller = session
        self._dependencies = dependencies
        self._is_counted = False
        self._update_flags()

    @property
    def holds_write_lock(self) -> bool:
        """Whether an open transaction of the caller holds the write lock."""
        return self._caller.holds_write_lock

    @property
    def failure_domain(self) -> str:
        """Failure domain that the caller named at login; empty if it named none."""
        attributes = self.client_connect_attrs
        return attributes.get(ATTR_FAILURE_DOMAIN) or attributes.get(
            ATTR_PROGRAM_NAME, ""
        )

    async def serve(self) -> None:
        """Serve the caller until it disconnects or the network fails."""
        try:
            await asyncio.wait_for(self.connection_phase(), HANDSHAKE_TIMEOUT)
            await self.command_phase()
        except StatementError as error:
            await self._write_error(error)
        finally:
            await self._run_in_executor(self._caller.close)
            if self._is_counted:
                self._dependencies.connection_limiter.release(
                    self._caller.is_replication
                )

    async def authenticate(self, username: str, *args: Any, **kwargs: Any) -> None:
        """Check the connection limits and the password.

        mysql-mimic reports a wrong password to the caller and then continues to
        serve its commands, so the caller could read and write without a valid
        password. It sets the session's user name only after a correct password;
        a connection without one is therefore closed here.
        """
        if self._dependencies.is_refusing() or self._dependencies.faults.is_cut(
            self.failure_domain
        ):
            raise ConnectionCutError
        is_replication = username == REPLICATION_USER
        if not self._dependencies.connection_limiter.try_acquire(is_replication):
            raise TooManyConnectionsError("Too many connections")
        self._is_counted = True
        self._caller.is_replication = is_replication
        if await self._dependencies.users.get_user(username) is None:
            raise AccessDeniedError(f"Access denied for user '{username}'")
        await super().authenticate(username, *args, **kwargs)
        if self.session.username is None:
            raise ConnectionCutError
        self._caller.database = self.session.database
        self._caller.connection_id = self.connection_id

    async def command_phase(self) -> None:
        """Process commands one after the other."""
        while True:
            try:
                data = await self.stream.read()
            except ConnectionClosed:
                return
            if not data or data[0] == Commands.COM_QUIT:
                return
            await self._delay()
            await self._answer(data[0], data[1:])
            self.stream.reset_seq()

    async def handle_query(self, data: bytes) -> None:
        """Run one statement and send its OK packet or its rows."""
        query = parse_com_query(self.capabilities, self.client_charset, data)
        outcome = await self._run_in_executor(lambda: self._caller.execute(query.sql))
        if isinstance(outcome, OkResult):
            await self._write_ok(outcome)
        else:
            await self._write_rows(outcome)

    async def handle_reset_connection(self, data: bytes) -> None:
        """Roll back and reset the session state."""
        await self._run_in_executor(self._caller.reset)
        await self._write_ok(OkResult())

    async def handle_init_db(self, data: bytes) -> None:
        """Set the current database; all databases share one set of tables."""
        self._caller.database = self.client_charset.decode(data)
        await self._write_ok(OkResult())

    async def handle_ping(self, data: bytes) -> None:
        """Answer a ping."""
        await self._write_ok(OkResult())

    async def _answer(self, command: int, rest: bytes) -> None:
        try:
            match command:
                case Commands.COM_QUERY:
                    await self.handle_query(rest)
                case Commands.COM_PING:
                    await self.handle_ping(rest)
                case Commands.COM_RESET_CONNECTION:
                    await self.handle_reset_connection(rest)
                case Commands.COM_INIT_DB:
                    await self.handle_init_db(rest)
                case Commands.COM_STMT_PREPARE:
                    raise NotPreparedError(
                        "prepared statements are not supported by the stand-in"
                    )
                case _:
                    raise UnknownCommandError(f"unknown command {command:#x}")
        except StatementError as error:
            await self._write_error(error)
        except MysqlError as error:
            await self._write_error_packet(
                int(error.code), get_sqlstate(error.code), error.msg
            )

    async def _write_ok(self, result: OkResult) -> None:
        await self._begin_answer()
        await self.stream.write(
            self.ok(
                affected_rows=result.affected_rows, last_insert_id=result.last_insert_id
            )
        )

    async def _write_rows(self, rows: Rows) -> None:
        """Send a result chunk by chunk, as fast as the caller reads it."""
        await self._begin_answer()
        columns = [
            ResultColumn(name, _column_type(rows.first_chunk, index))
            for index, name in enumerate(rows.columns)
        ]
        head = [make_column_count(self.capabilities, len(columns))]
        head += [
            make_column_definition_41(
                server_charset=self.server_charset,
                name=column.name,
                column_type=column.type,
                character_set=column.character_set,
            )
            for column in columns
        ]
        if not self.deprecate_eof():
            head.append(self.eof())
        self.stream.write_many(head)
        chunk, is_last = rows.first_chunk, rows.is_complete
        while chunk:
            self.stream.write_text_rows(chunk, columns)
            await self.stream.drain()
            if is_last:
                break
            chunk = await self._run_in_executor(self._caller.fetch)
        await self.stream.write(self.ok_or_eof())

    async def _run_in_executor(self, work: Callable[[], T]) -> T:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._dependencies.executor, work)

    async def _write_error(self, error: StatementError) -> None:
        await self._write_error_packet(
            error.number, error.sqlstate.encode(), str(error)
        )

    async def _write_error_packet(
        self, number: int, sqlstate: bytes, message: str
    ) -> None:
        """Send an error packet.

        mysql-mimic's own method supports only a few of the error numbers.
        """
        await self._begin_answer()
        packet = struct.pack("<BH", _ERROR_HEADER, number)
        await self.stream.write(packet + _SQLSTATE_MARK + sqlstate + message.encode())

    async def _begin_answer(self) -> None:
        self._update_flags()
        await self._delay()

    async def _delay(self) -> None:
        latency = self._dependencies.faults.latency
        if latency:  # A sleep of 0 would still yield to the event loop once.
            await asyncio.sleep(latency)

    def _update_flags(self) -> None:
        flags = ServerStatus(0)
        if self._caller.is_autocommit:
            flags |= ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self._caller.in_transaction:
            flags |= ServerStatus.SERVER_STATUS_IN_TRANS
        self.status_flags = flags


def _column_type(rows: Sequence[Sequence[Any]], index: int) -> ColumnType:
    """Choose a type that fits every value in the column's first chunk."""
    kinds = {type(row[index]) for row in rows} - {type(None)}
    if not kinds or str in kinds:
        return ColumnType.VAR_STRING
    if bytes in kinds:
        return ColumnType.BLOB
    return ColumnType.DOUBLE if float in kinds else ColumnType.LONGLONG
