"""Callers of the proxies: some keep connections, others open one for each operation."""

import asyncio
import random
import time
from collections.abc import Iterator
from typing import Final

from .const import ANSWER_SECONDS, DATABASES, GREETING_SECONDS
from .deployment import Deployment, Machine
from .history import History, Life, Request

PAUSE_SECONDS: Final = (0.0, 0.03)
# Pause after a refused connection, and after a refused statement.
RETRY_SECONDS: Final = 0.05
TRANSACTION_STATEMENTS: Final = (1, 4)
# Callers of all proxies, and the least and most of one.
ALL_CALLERS: Final = 64
MIN_CALLERS: Final = 4
MAX_CALLERS: Final = 8


class ClosedError(Exception):
    """The connection is closed or could not be opened."""


class Connection:
    """One session of a caller with one process."""

    def __init__(
        self,
        life: Life,
        database: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.life = life
        self.may_lag = DATABASES[database] == "bounded_staleness"
        self.newest_write = ""
        self._pending = ""
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(
        cls, deployment: Deployment, edge: Machine, database: str
    ) -> "Connection":
        """Open a session.

        Raises:
            ClosedError: the proxy does not accept it.
        """
        life, history = edge.life, deployment.history
        if life is None or not life.is_running:
            raise ClosedError
        host, port = deployment.front(edge)
        try:
            reader, writer = await asyncio.open_connection(host, port)
        except OSError as error:
            history.refuse("not accepted")
            raise ClosedError from error
        connection = cls(life, database, reader, writer)
        try:
            writer.write(f"STARTUP {database} caller\r\n".encode())
            greeting = await asyncio.wait_for(connection.read(), GREETING_SECONDS)
        except (OSError, TimeoutError) as error:
            greeting = f"{type(error).__name__}"
        if not greeting.startswith("READY"):
            history.refuse(" ".join(greeting.split(" ")[:2]) or "closed")
            connection.close()
            raise ClosedError
        return connection

    async def read(self) -> str:
        """Return the next message; an empty string at the end of input."""
        return (await self._reader.readline()).decode().rstrip("\r\n")

    async def ask(self, request: Request) -> None:
        """Send a statement and wait for its answer.

        Raises:
            ClosedError: the connection ended before the answer, or had ended before.
        """
        if self._reader.at_eof() or self._writer.is_closing():
            raise ClosedError
        self._writer.write(f"QUERY {request.id} {request.text}\r\n".encode())
        request.sent_at = time.monotonic()
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                while not request.is_answered:
                    message = await self.read()
                    if not message:
                        raise ClosedError
                    request.answer.append(message)
        except TimeoutError as error:
            request.gave_up = True
            raise ClosedError from error
        except OSError as error:
            raise ClosedError from error
        finally:
            request.ended_at = time.monotonic()

    def keep_write(self, request: Request) -> None:
        """Keep the newest acknowledged write, which later reads must see."""
        if request.is_write and not request.transaction:
            self.newest_write = request.id
        elif request.is_write:
            self._pending = request.id
        elif request.text == "COMMIT":
            self.newest_write = self._pending or self.newest_write
        if not request.is_write and not request.text.startswith("READ"):
            self._pending = ""

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class Caller:
    """One caller of one proxy.

    Args:
        keeps: whether it keeps its connection until that is closed.
        uses_transactions: whether its operations are transactions.
    """

    def __init__(
        self,
        name: str,
        deployment: Deployment,
        edge: Machine,
        seed: int,
        *,
        keeps: bool,
        uses_transactions: bool,
    ) -> None:
        self.name = name
        self._deployment = deployment
        self._edge = edge
        self._random = random.Random(seed)
        self._keeps = keeps
        self._uses_transactions = uses_transactions
        self._connection: Connection | None = None
        self._count = 0
        self._stop = asyncio.Event()

    @property
    def _history(self) -> History:
        return self._deployment.history

    def stop(self) -> None:
        """End after the operation in progress."""
        self._stop.set()

    async def run(self) -> None:
        """Run operations until stopped."""
        database = self._random.choice(sorted(DATABASES))
        while not self._stop.is_set():
            try:
                if self._connection is None:
                    database = self._random.choice(sorted(DATABASES))
                    self._connection = await Connection.open(
                        self._deployment, self._edge, database
                    )
                is_complete = await self._operate(self._connection)
            except ClosedError:
                self._drop()
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if not self._keeps:
                self._drop()
            if not is_complete:
                await asyncio.sleep(RETRY_SECONDS)
            await asyncio.sleep(self._random.uniform(*PAUSE_SECONDS))
        self._drop()

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _operate(self, connection: Connection) -> bool:
        """Run one statement or transaction; return whether it succeeded."""
        if self._uses_transactions:
            return await self._run_transaction(connection)
        return (await self._ask(connection, self._statement())).is_success

    async def _run_transaction(self, connection: Connection) -> bool:
        self._count += 1
        name = f"{self.name}.t{self._count}"
        if not (await self._ask(connection, "BEGIN", name)).is_success:
            return False
        for _ in range(self._random.randint(*TRANSACTION_STATEMENTS)):
            request = await self._ask(connection, self._statement(), name)
            if not request.is_success:
                if request.answer[-1].startswith(("READY T", "READY E")):
                    await self._ask(connection, "ROLLBACK", name)
                return False
            await asyncio.sleep(self._random.uniform(*PAUSE_SECONDS))
        end = self._random.choice(("COMMIT", "COMMIT", "COMMIT", "ROLLBACK"))
        return (await self._ask(connection, end, name)).is_success

    def _statement(self) -> str:
        item = f"k{self._random.randint(1, 50)}"
        return self._random.choice((f"READ {item}", f"WRITE {item} data"))

    async def _ask(
        self, connection: Connection, text: str, transaction: str = ""
    ) -> Request:
        self._count += 1
        request = Request(
            f"{self.name}.{self._count}",
            connection.life,
            text,
            transaction,
            is_write=text.startswith("WRITE"),
            must_see="" if connection.may_lag else connection.newest_write,
        )
        self._history.requests[request.id] = request
        await connection.ask(request)
        self._check_answer(request)
        if request.is_success:
            connection.keep_write(request)
        return request

    def _check_answer(self, request: Request) -> None:
        """Find an answer that belongs to another request."""
        proofs = [one.split(" ")[1] for one in request.answer if " " in one]
        expected = {
            "READ": f".{request.id}",
            "WRITE": f".{request.id}",
            "COMMIT": f".{request.id}",
        }.get(request.text.split(" ")[0], "")
        if request.is_success and not proofs[-2].endswith(expected):
            self._history.find("mixed", f"{request.id} got {request.answer}")


def build_callers(deployment: Deployment, seed: int) -> list[Caller]:
    """Return callers of each proxy, half of which keep their connections."""
    count = len(deployment.edges)
    callers = max(MIN_CALLERS, min(MAX_CALLERS, ALL_CALLERS // count))
    return list(_build_callers(deployment, seed, callers))


def _build_callers(deployment: Deployment, seed: int, callers: int) -> Iterator[Caller]:
    for edge in deployment.edges:
        for number in range(callers):
            yield Caller(
                f"{edge.name}.c{number}",
                deployment,
                edge,
                seed * 1000 + len(edge.name) + number + 10 * int(edge.name[5:]),
                keeps=number % 2 == 0,
                uses_transactions=number % 4 >= 2,
            )
