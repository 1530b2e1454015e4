"""Keep one proxy busy with short statements, from a process of its own.

Usage: load HOST PORT CALLERS
"""

import asyncio
import sys
import time

from .const import KEPT_DATABASES, LOAD_RETRY_SECONDS

# Answered by the proxy itself, but for a read now and then.
STATEMENTS = ("BEGIN READ", "ROLLBACK") * 20 + ("READ k1",)


class Load:
    """Callers without pauses, who connect again after a failure."""

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._count = 0
        self._worst = 0.0

    async def run(self, callers: int) -> None:
        """Run until cancelled, with a line a second on how much was answered."""
        tasks = [asyncio.create_task(self._call_on(one)) for one in range(callers)]
        try:
            while True:
                await asyncio.sleep(1.0)
                count, self._count = self._count, 0
                worst, self._worst = self._worst, 0.0
                print(f"{time.time():.3f} {count}/s {worst:.3f} s", flush=True)
        finally:
            for one in tasks:
                one.cancel()

    async def _call_on(self, number: int) -> None:
        while True:
            try:
                await self._call(KEPT_DATABASES[number % len(KEPT_DATABASES)])
            except (OSError, EOFError):
                await asyncio.sleep(LOAD_RETRY_SECONDS)

    async def _call(self, database: str) -> None:
        reader, writer = await asyncio.open_connection(self._host, self._port)
        try:
            writer.write(f"STARTUP {database} load\r\n".encode())
            if not (await reader.readline()).startswith(b"READY"):
                raise EOFError
            while True:
                for text in STATEMENTS:
                    await self._ask(reader, writer, text)
        finally:
            writer.close()

    async def _ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, text: str
    ) -> None:
        sent_at = time.monotonic()
        writer.write(f"QUERY l {text}\r\n".encode())
        while not (line := await reader.readline()).startswith(b"READY"):
            if not line:
                raise EOFError
        self._count += 1
        self._worst = max(self._worst, time.monotonic() - sent_at)


if __name__ == "__main__":
    asyncio.run(Load(sys.argv[1], int(sys.argv[2])).run(int(sys.argv[3])))
