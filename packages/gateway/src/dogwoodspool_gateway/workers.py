"""Worker threads that run callers' statements."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

ResultT = TypeVar("ResultT")


class WorkerPool:
    """Run blocking work of caller connections in a limited number of threads.

    A statement is refused at once if all threads are in use. In a queue before the
    pool it would wait outside of any admission control.
    """

    def __init__(self, workers: int) -> None:
        self._limit = workers
        self._running = 0
        self._statements = ThreadPoolExecutor(workers, thread_name_prefix="statement")

    @property
    def running(self) -> int:
        """Return the number of statements that occupy a thread."""
        return self._running

    async def run(self, work: Callable[[], ResultT]) -> ResultT | None:
        """Run work in a thread; return None at once if all threads are in use."""
        if self._running >= self._limit:
            return None
        return await self.run_admitted(work)

    async def run_admitted(self, work: Callable[[], ResultT]) -> ResultT:
        """Run work of an admitted statement, such as fetching more rows."""
        self._running += 1
        try:
            loop = asyncio.get_running_loop()
            return await loop.run_in_executor(self._statements, work)
        finally:
            self._running -= 1

    def unload(self) -> None:
        """Wait for running work and stop the threads."""
        self._statements.shutdown(wait=True)
