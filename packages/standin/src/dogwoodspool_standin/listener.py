"""Accept callers; mysql-mimic's event loop lives and ends here."""

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

from .connection import ConnectionParts, StandinConnection
from .const import MAX_REPLICATION_CONNECTIONS, STOP_TIMEOUT
from .errors import ConnectionCutError
from .faults import FaultSwitches
from .identity import Users
from .registry import Registry
from .session import CallerSession
from .streams import CallerReader, CallerWriter


@dataclass(eq=False, slots=True)
class OpenConnection:
    """A caller's connection with its two ends."""

    reader: CallerReader
    writer: CallerWriter
    connection: StandinConnection

    def silence(self) -> None:
        """Swallow input and drop answers from now on."""
        self.reader.is_silenced = True
        self.writer.is_silenced = True

    def drop(self) -> None:
        """Cut it off without a word."""
        self.writer.transport.abort()


class Listener:
    """Serve callers on one address.

    Args:
        address: where to listen; port 0 takes a free one.
        limit: connections of callers.
        connect_delay_ms: time that a new connection takes.
        users: passwords by user name.
        faults: what is broken on purpose.
        new_session: builds what runs a connection's statements.
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
        self._wanted = address
        self._address = address
        self._connect_delay = connect_delay_ms / MILLISECONDS
        self._faults = faults
        self._new_session = new_session
        self._registry = Registry(limit, MAX_REPLICATION_CONNECTIONS)
        self._executor = ThreadPoolExecutor(
            limit + MAX_REPLICATION_CONNECTIONS, thread_name_prefix="statement"
        )
        self._is_rebuilding = False
        self._parts = ConnectionParts(
            executor=self._executor,
            faults=faults,
            registry=self._registry,
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
        """The address in use, with the real port where 0 was asked for."""
        return self._address

    @property
    def registry(self) -> Registry:
        """Counts of connections."""
        return self._registry

    def set_up(self) -> None:
        """Listen; raise ``OSError`` where the address is taken."""
        self._thread.start()
        self._ready.wait()
        if self._failure is not None:
            raise self._failure

    def unload(self) -> None:
        """Drop all connections, wait for their statements and end the loop."""
        asyncio.run_coroutine_threadsafe(self._stop(), self._loop).result(
            STOP_TIMEOUT * 2
        )
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(STOP_TIMEOUT)
        self._executor.shutdown(wait=False, cancel_futures=True)
        if not self._thread.is_alive():
            self._loop.close()

    def freeze(self) -> None:
        """Stop the loop's thread until the fault switches let it go on."""
        self._loop.call_soon_threadsafe(self._faults.pause_while_frozen)

    def silence(self) -> None:
        """Silence the connections that are open now."""
        self._loop.call_soon_threadsafe(self._each, OpenConnection.silence)

    def drop_cut(self) -> None:
        """Drop the connections that the fault switches refuse now."""
        self._loop.call_soon_threadsafe(self._drop_cut)

    def drop_writers(self) -> None:
        """Drop the connections whose transaction holds the write lock."""
        self._loop.call_soon_threadsafe(self._drop_writers)

    def begin_rebuilding(self) -> None:
        """Drop all connections, refuse new ones and wait until none is left.

        A read that began before the rows are dropped would else end after it
        and answer with a mix of two histories.

        Raises:
            TimeoutError: a statement still runs; the rows must stay.
        """
        self._is_rebuilding = True
        asyncio.run_coroutine_threadsafe(self._drop_all(), self._loop).result(
            STOP_TIMEOUT * 2
        )

    def end_rebuilding(self) -> None:
        """Take callers again."""
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
            protocol, self._wanted.host, self._wanted.port, backlog=1024
        )
        port = server.sockets[0].getsockname()[1]
        self._address = Address(self._wanted.host, int(port))
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
        connection = StandinConnection(stream, self._new_session(), self._parts)
        connection.connection_id = next(self._ids)
        opened = OpenConnection(reader, caller_writer, connection)
        self._open.add(opened)
        try:
            await asyncio.sleep(self._connect_delay)
            await connection.serve()
        except (OSError, EOFError, ConnectionCutError):
            # The caller or the network went away, or took too long to log in.
            writer.transport.abort()
        except Exception as error:  # noqa: BLE001
            # A malformed packet must cost its own connection only.
            log_event("connection_failed", level="WARNING", error=repr(error))
            writer.transport.abort()
        finally:
            self._open.discard(opened)
            writer.close()

    def _each(self, action: Callable[[OpenConnection], None]) -> None:
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
        self._each(OpenConnection.drop)
        while self._open:
            if self._loop.time() > deadline:
                raise TimeoutError("a statement of a dropped caller still runs")
            await asyncio.sleep(0.005)

    async def _stop(self) -> None:
        if self._server is not None:
            self._server.close()
        with contextlib.suppress(TimeoutError):
            await self._drop_all()
