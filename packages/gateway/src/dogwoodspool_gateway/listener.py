"""Listener for the callers' connections."""

import asyncio
import math
import ssl
import threading
from collections.abc import Coroutine
from concurrent.futures import Future
from typing import Final, TypeVar

from dogwoodspool_common import Address, Clock, log_event
from mysql_mimic.control import LocalControl, TooManyConnections

from .authentication import CallerIdentities
from .connection import CallerConnection
from .const import DEFAULT_MAX_CALLERS, DEFAULT_WORKERS, HANDSHAKE_READ_LIMIT
from .errors import CallerNotAuthenticatedError
from .models import SessionFactory
from .session import ProtocolSession
from .stream import CallerStream
from .workers import WorkerPool

ResultT = TypeVar("ResultT")

DRAIN_CHECK_SECONDS: Final = 0.02
# For callers that are in their handshake when a drain begins.
HANDSHAKE_DRAIN_SECONDS: Final = 5.0
# Turns of the event loop from accepting a connection to serving it.
ACCEPT_TURNS: Final = 3
START_TIMEOUT_SECONDS: Final = 10.0


class CallerListener:
    """Accept callers and serve each connection in a coroutine.

    The event loop runs in a separate thread and is not exposed outside this
    library.
    """

    def __init__(
        self,
        address: Address,
        sessions: SessionFactory,
        clock: Clock,
        *,
        tls: ssl.SSLContext | None = None,
        workers: int = DEFAULT_WORKERS,
        max_callers: int = DEFAULT_MAX_CALLERS,
    ) -> None:
        self._bind_address = address
        self._sessions = sessions
        self._clock = clock
        self._tls = tls
        self._max_callers = max_callers
        self._workers = WorkerPool(workers)
        self._identities = CallerIdentities(sessions)
        self._ids = LocalControl()
        self._connections: set[CallerConnection] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="caller-listener", daemon=True
        )
        self._server: asyncio.Server | None = None
        self._is_draining = False

    @property
    def address(self) -> Address:
        """Return the listening address, with the assigned port if 0 was requested."""
        if self._server is None:
            return self._bind_address
        return Address(
            self._bind_address.host, self._server.sockets[0].getsockname()[1]
        )

    @property
    def callers(self) -> int:
        """Return the number of open caller connections."""
        return len(self._connections)

    def set_up(self) -> None:
        """Start accepting callers."""
        self._thread.start()
        self._call(self._start()).result(START_TIMEOUT_SECONDS)

    def drain(self, timeout: float) -> bool:
        """Stop serving without interrupting requests.

        New connections are not accepted. Requests and transactions in flight are
        completed, later requests are refused as not run, and idle connections are
        closed. A handshake in progress is completed within a short time, so that the
        caller can be told.

        Args:
            timeout: time limit in seconds; connections that are still open then
                remain until ``unload``.

        Returns:
            Whether all connections were closed within the time limit.
        """
        return self._call(self._drain(timeout)).result()

    def close_idle(self, share: float) -> int:
        """Close idle connections, at most a share of all; return the number closed."""
        return self._call(self._close_idle(share)).result()

    def unload(self) -> None:
        """Close the remaining connections and stop the event loop.

        Statements that still run are answered as in doubt.
        """
        self._call(self._stop()).result(START_TIMEOUT_SECONDS)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._workers.unload()

    def _call(self, work: Coroutine[None, None, ResultT]) -> Future[ResultT]:
        return asyncio.run_coroutine_threadsafe(work, self._loop)

    async def _start(self) -> None:
        self._server = await asyncio.start_server(
            self._accept,
            self._bind_address.host,
            self._bind_address.port,
            backlog=1024,
            limit=HANDSHAKE_READ_LIMIT,
        )

    async def _drain(self, timeout: float) -> bool:
        self._is_draining = True
        for connection in self._connections:
            connection.start_draining()
        await self._stop_accepting()
        log_event("drain_listener_closed", callers=len(self._connections))
        now = self._loop.time()
        deadline, connect_until = now + timeout, now + HANDSHAKE_DRAIN_SECONDS
        while self._connections and self._loop.time() < deadline:
            await self._end_idle(is_abandoning=self._loop.time() >= connect_until)
            await asyncio.sleep(DRAIN_CHECK_SECONDS)
        return not self._connections

    async def _stop_accepting(self) -> None:
        """Close the listening sockets once each accepted connection is served.

        A server that is closed drops the connections that it has accepted and not yet
        opened, without closing them.
        """
        if self._server is None:
            return
        for listening in self._server.sockets:
            self._loop.remove_reader(listening.fileno())
        for _ in range(ACCEPT_TURNS):
            await asyncio.sleep(0)
        self._server.close()

    async def _end_idle(self, *, is_abandoning: bool) -> None:
        """Close idle connections, and those in their handshake if it takes too long."""
        for connection in list(self._connections):
            if connection.is_idle:
                await connection.end_idle()
            elif connection.is_connecting and is_abandoning:
                connection.abandon_handshake()

    async def _close_idle(self, share: float) -> int:
        max_closed = math.ceil(len(self._connections) * share)
        idle = [one for one in self._connections if one.is_idle][:max_closed]
        for connection in idle:
            await connection.end_idle()
        return len(idle)

    async def _stop(self) -> None:
        await self._stop_accepting()
        for connection in list(self._connections):
            connection.interrupt()
            connection.kill()
        while self._connections:
            await asyncio.sleep(DRAIN_CHECK_SECONDS)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Coroutine[None, None, None] | None:
        """Count a connection from its first moment; return what serves it."""
        if len(self._connections) >= self._max_callers:
            log_event("caller_refused", level="WARNING", reason="connections")
            writer.close()
            return None
        connection = CallerConnection(
            CallerStream(reader, writer),
            session=ProtocolSession(),
            control=self._ids,
            identity_provider=self._identities,
            ssl=self._tls,
            sessions=self._sessions,
            workers=self._workers,
            clock=self._clock,
        )
        if self._is_draining:
            connection.start_draining()
        self._connections.add(connection)
        return self._serve(connection, writer)

    async def _serve(
        self, connection: CallerConnection, writer: asyncio.StreamWriter
    ) -> None:
        try:
            connection.connection_id = await self._ids.add(connection)
            await connection.start()
        except TooManyConnections:
            log_event("caller_refused", level="WARNING", reason="connection ids")
        except CallerNotAuthenticatedError:
            log_event("caller_refused", level="WARNING", reason="authentication")
        except (ConnectionError, EOFError) as error:
            log_event("caller_lost", level="DEBUG", error=repr(error))
        finally:
            self._connections.discard(connection)
            await self._ids.remove(connection.connection_id)
            writer.close()
