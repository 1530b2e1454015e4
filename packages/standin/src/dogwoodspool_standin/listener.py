"""Accept connections of callers and run mysql-mimic's event loop."""

import asyncio
import contextlib
import itertools
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from dogwoodspool_common import Address, log_event
from dogwoodspool_common.const import MILLISECONDS
from mysql_mimic.control import Control
from mysql_mimic.stream import MysqlStream

from .connection import ConnectionDependencies, StandinConnection
from .connection_limiter import ConnectionLimiter
from .const import MAX_REPLICATION_CONNECTIONS, STOP_TIMEOUT
from .errors import ConnectionCutError
from .faults import FaultSwitches
from .identity import Users
from .session import CallerSession
from .streams import CallerReader, CallerWriter


@dataclass(eq=False, slots=True)
class OpenConnection:
    """A caller's connection with its reader and writer."""

    reader: CallerReader
    writer: CallerWriter
    connection: StandinConnection

    def silence(self) -> None:
        """Discard all further input and answers."""
        self.reader.is_silenced = True
        self.writer.is_silenced = True

    def drop(self) -> None:
        """Abort the connection without an answer."""
        self.writer.transport.abort()


class Listener:
    """Serve callers on one address.

    Args:
        address: address to listen on; port 0 selects a free port.
        limit: maximum number of connections of callers.
        connect_delay_ms: delay before a new connection is served.
        users: passwords by user name.
        faults: the injected faults.
        new_session: builds the session that runs a connection's statements.
    """

    def __init__(
        self,
        *,
        address: Address,
        limit: int,
        connect_delay_ms: float,
        users: dict[str, str],
        faults: FaultSwitches,
        new_session: Callable[[], CallerSession],
    ) -> None:
        self._requested_address = address
        self._address = address
        self._connect_delay = connect_delay_ms / MILLISECONDS
        self._faults = faults
        self._new_session = new_session
        self._connection_limiter = ConnectionLimiter(limit, MAX_REPLICATION_CONNECTIONS)
        self._executor = ThreadPoolExecutor(
            limit + MAX_REPLICATION_CONNECTIONS, thread_name_prefix="statement"
        )
        self._is_rebuilding = False
        self._dependencies = ConnectionDependencies(
            executor=self._executor,
            faults=faults,
            connection_limiter=self._connection_limiter,
            users=Users(users),
            control=Control(),
            is_refusing=self._is_refusing,
        )
        self._open: set[OpenConnection] = set()
        self._ids = itertools.count(1)
        self._loop = asyncio.new_event_loop()
        self._server: asyncio.Server | None = None
        self._thread = threading.Thread(
            target=self._run, name="caller-listener", daemon=True
        )
        self._ready = threading.Event()
        self._failure: OSError | None = None

    @property
    def address(self) -> Address:
        """The address in use, with the actual port if port 0 was requested."""
        return self._address

    @property
    def connection_limiter(self) -> ConnectionLimiter:
        """Limits and counts of connections."""
        return self._connection_limiter

    def set_up(self) -> None:
        """Start listening.

        Raises:
            OSError: the address cannot be bound, for example because it is in use.
        """
        self._thread.start()
        self._ready.wait()
        if self._failure is not None:
            raise self._failure

    def unload(self) -> None:
        """Drop all connections, wait for their statements and stop the event loop."""
        asyncio.run_coroutine_threadsafe(self._stop(), self._loop).result(
            STOP_TIMEOUT * 2
        )
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(STOP_TIMEOUT)
        self._executor.shutdown(wait=False, cancel_futures=True)
        if not self._thread.is_alive():
            self._loop.close()

    def freeze(self) -> None:
        """Block the event loop's thread until the server is no longer frozen."""
        self._loop.call_soon_threadsafe(self._faults.pause_while_frozen)

    def silence(self) -> None:
        """Silence the currently open connections."""
        self._loop.call_soon_threadsafe(
            self._for_each_connection, OpenConnection.silence
        )

    def drop_cut(self) -> None:
        """Drop the connections that the current fault switches refuse."""
        self._loop.call_soon_threadsafe(self._drop_cut)

    def drop_writers(self) -> None:
        """Drop the connections whose transaction holds the write lock."""
        self._loop.call_soon_threadsafe(self._drop_writers)

    def begin_rebuilding(self) -> None:
        """Drop all connections, refuse new ones and wait until none is left.

        Otherwise a read that began before the rows are dropped could end after it
        and return a mix of two histories.

        Raises:
            TimeoutError: a statement still runs, so the rows must not be dropped.
        """
        self._is_rebuilding = True
        asyncio.run_coroutine_threadsafe(self._drop_all(), self._loop).result(
            STOP_TIMEOUT * 2
        )

    def end_rebuilding(self) -> None:
        """Accept callers again."""
        self._is_rebuilding = False

    def _is_refusing(self) -> bool:
        return self._is_rebuilding or self._faults.current.refuse_connections

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        try:
            self._server = self._loop.run_until_complete(self._listen())
        except OSError as error:
            self._failure = error
            return
        finally:
            self._ready.set()
        self._loop.run_forever()

    async def _listen(self) -> asyncio.Server:
        loop = self._loop

        def protocol() -> asyncio.StreamReaderProtocol:
            reader = CallerReader(loop=loop)
            return asyncio.StreamReaderProtocol(reader, self._serve, loop=loop)

        server = await loop.create_server(
            protocol,
            self._requested_address.host,
            self._requested_address.port,
            backlog=1024,
        )
        port = server.sockets[0].getsockname()[1]
        self._address = Address(self._requested_address.host, int(port))
        return server

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        assert isinstance(reader, CallerReader)
        if self._is_refusing():
            writer.transport.abort()
            return
        caller_writer = CallerWriter(writer)
        stream = MysqlStream(reader, caller_writer)  # type: ignore[arg-type]
        connection = StandinConnection(stream, self._new_session(), self._dependencies)
        connection.connection_id = next(self._ids)
        opened = OpenConnection(reader, caller_writer, connection)
        self._open.add(opened)
        try:
            await asyncio.sleep(self._connect_delay)
            await connection.serve()
        except (OSError, EOFError, ConnectionCutError):
            # The caller disconnected, the network failed or the login timed out.
            writer.transport.abort()
        except Exception as error:  # noqa: BLE001
            # A malformed packet must end only its own connection.
            log_event("connection_failed", level="WARNING", error=repr(error))
            writer.transport.abort()
        finally:
            self._open.discard(opened)
            writer.close()

    def _for_each_connection(self, action: Callable[[OpenConnection], None]) -> None:
        for opened in list(self._open):
            action(opened)

    def _drop_cut(self) -> None:
        for opened in list(self._open):
            is_cut = self._faults.is_cut(opened.connection.failure_domain)
            if is_cut or self._faults.current.refuse_connections:
                opened.drop()

    def _drop_writers(self) -> None:
        for opened in list(self._open):
            if opened.connection.holds_write_lock:
                opened.drop()

    async def _drop_all(self) -> None:
        deadline = self._loop.time() + STOP_TIMEOUT
        self._for_each_connection(OpenConnection.drop)
        while self._open:
            if self._loop.time() > deadline:
                raise TimeoutError(
                    "a statement of a dropped connection is still running"
                )
            await asyncio.sleep(0.005)

    async def _stop(self) -> None:
        if self._server is not None:
            self._server.close()
        with contextlib.suppress(TimeoutError):
            await self._drop_all()
