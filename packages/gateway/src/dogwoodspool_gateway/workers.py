"""The threads in which callers' statements wait and run."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

ResultT = TypeVar("ResultT")


class WorkerPool:
    """Run blocking work of caller connections in a bounded number of threads.

    A statement that finds every thread taken is refused at once: in a queue in
    front of the pool it would wait without having been admitted anywhere.
    """

    def __init__(self, workers: int) -> None:
        self._limit = workers
        self._running = 0
        self._statements = ThreadPoolExecutor(workers, thread_name_prefix="statement")

    @property
    def running(self) -> int:
        """The number of statements that have a thread."""
        return self._running

    async def run(self, work: Callable[[], ResultT]) -> ResultT | None:
        """Run work in a thread; return None at once when all are taken."""
        if self._running >= self._limit:
            return None
        return await self.run_always(work)

    async def run_always(self, work: Callable[[], ResultT]) -> ResultT:
        """Run work that has been admitted already, such as taking more rows."""
        self._running += 1
        try:
            loop = asyncio.get_running_loop()
            return await loop.run_in_executor(self._statements, work)
        finally:
            self._running -= 1

    def unload(self) -> None:
        """Let running work end and stop the threads."""
        self._statements.shutdown(wait=True)
