"""Scripted MySQL server and a TCP relay that injects network faults, for tests."""

import asyncio
import logging
import socket
import threading
import time
from collections.abc import Sequence
from contextlib import suppress
from typing import Any, Self

from dogwoodspool_backend import (
    Credentials,
    MySqlConnector,
    MySqlPool,
    PoolSettings,
)
from dogwoodspool_common import Address, BackendServer, SystemClock
from dogwoodspool_settings.models import Statements
from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.server import MysqlServer
from mysql_mimic.session import BaseSession
from mysql_mimic.variables import GlobalVariables, SessionVariables

CLOCK = SystemClock()
TRICKLE_PAUSE = 0.01
STATUS_COLUMNS = ("server", "role", "term", "offset", "lag_ms", "leaving")


class ScriptedSession(BaseSession):
    """Answer a few test commands, selected by the first word of the statement."""

    def __init__(self) -> None:
        self.variables = SessionVariables(GlobalVariables())
        self.username: str | None = None
        self.database: str | None = None
        self.value: str | None = None
        self.settings: list[str] = []

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> Any:
        word, _, rest = sql.partition(" ")
        if word == "ECHO":
            return [(rest,)], ["value"]
        if word == "SLEEP":
            await asyncio.sleep(float(rest))
            return [("slept",)], ["value"]
        if word == "ROWS":
            return [(str(number),) for number in range(int(rest))], ["value"]
        if word == "FAIL":
            raise MysqlError("the statement failed", ErrorCode(int(rest)))
        if word == "KEEP":
            self.value = rest
        if word == "ROLLBACK":
            self.value = None
        if word == "SET":
            self.settings.append(rest)
        if word == "SETTINGS":
            return [(", ".join(self.settings),)], ["value"]
        if word == "KEPT":
            return [(self.value,)], ["value"]
        if word == "SHOW":
            return [("a1", "replica", "3", "17", None, "0")], list(STATUS_COLUMNS)
        return None

    async def init(self, connection: Any) -> None:
        pass

    async def close(self) -> None:
        pass

    async def reset(self) -> None:
        pass

    async def use(self, database: str) -> None:
        pass


class ScriptedServer:
    """Serve scripted sessions on a free port from a separate thread."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._loop.set_exception_handler(lambda _loop, _context: None)
        logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._server: Any = None

    def __enter__(self) -> Self:
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._start(), self._loop).result(5)
        return self

    def __exit__(self, *_error: object) -> None:
        asyncio.run_coroutine_threadsafe(self._stop(), self._loop).result(5)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
        self._loop.close()

    @property
    def address(self) -> Address:
        """Return the listening address."""
        return Address("127.0.0.1", self.port)

    async def _stop(self) -> None:
        self._server.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _start(self) -> None:
        self._server = MysqlServer(session_factory=ScriptedSession)
        await self._server.start_server(host="127.0.0.1", port=0)
        listening: Sequence[Any] = self._server._server.sockets
        self.port: int = listening[0].getsockname()[1]


class Relay:
    """Forward bytes between clients and a server and inject network faults."""

    def __init__(self, target: Address) -> None:
        self._target = target
        self._listening = socket.create_server(("127.0.0.1", 0))
        self._silent: set[int] = set()
        self._sockets: list[socket.socket] = []
        self._is_refusing = False
        self._is_trickling = False
        self.accepted = 0

    def __enter__(self) -> Self:
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *_error: object) -> None:
        self._listening.close()
        for opened in self._sockets:
            opened.close()

    @property
    def address(self) -> Address:
        """Return the listening address."""
        return Address("127.0.0.1", self._listening.getsockname()[1])

    def silence_open_connections(self) -> None:
        """Discard all further bytes of the currently open connections."""
        self._silent.update(range(self.accepted))

    def cut_open_connections(self) -> None:
        """Close all connections."""
        for opened in self._sockets:
            with suppress(OSError):
                opened.shutdown(socket.SHUT_RDWR)

    def trickle(self) -> None:
        """Forward bytes one by one, with a pause before each."""
        self._is_trickling = True

    def refuse(self) -> None:
        """Close every new connection immediately."""
        self._is_refusing = True

    def _accept(self) -> None:
        while True:
            try:
                client, _address = self._listening.accept()
            except OSError:
                return
            if self._is_refusing:
                client.close()
                continue
            target = (self._target.host, self._target.port)
            server = socket.create_connection(target)
            index, self.accepted = self.accepted, self.accepted + 1
            self._sockets += [client, server]
            for pair in ((client, server), (server, client)):
                arguments = (index, *pair)
                threading.Thread(
                    target=self._forward, args=arguments, daemon=True
                ).start()

    def _forward(self, index: int, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(65536):
                size = 1 if self._is_trickling else len(data)
                for start in range(0, len(data), size):
                    if self._is_trickling:
                        time.sleep(TRICKLE_PAUSE)
                    if index not in self._silent:
                        sink.sendall(data[start : start + size])
            if index not in self._silent:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            return


def server_at(address: Address) -> BackendServer:
    """Return the description of a backend server at an address."""
    return BackendServer("a1", "orders", "fd-a", address, slots=3, connections=20)


def connector() -> MySqlConnector:
    """Return a connector with the stand-in's statements."""
    return MySqlConnector(Credentials("user", ""), "fd-a", Statements(), CLOCK)


def pool_at(
    address: Address, limit: int, settings: PoolSettings | None = None
) -> MySqlPool:
    """Return a pool of connections to an address."""
    chosen = settings or PoolSettings(connect_timeout=5, check_timeout=0.2)
    return MySqlPool(server_at(address), connector(), CLOCK, chosen, limit)
