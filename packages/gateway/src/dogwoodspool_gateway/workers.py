"""Worker threads that run callers' statements."""

import asyncio
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import TypeVar

from dogwoodspool_common import log_rate_limited

ResultT = TypeVar("ResultT")


class NoThreadError(RuntimeError):
    """Report work that did not run because no thread could be started for it."""


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
        """Run work in a thread; return None at once if no thread can take it."""
        if self._running >= self._limit:
            return None
        try:
            return await self.run_admitted(work)
        except NoThreadError as error:
            log_rate_limited("worker_not_started", level="WARNING", reason=error)
            return None

    async def run_admitted(self, work: Callable[[], ResultT]) -> ResultT:
        """Run work of an admitted statement, such as fetching more rows.

        Raises:
            NoThreadError: it did not run and will not.
        """
        self._running += 1
        try:
            return await asyncio.wrap_future(self._submit(work))
        finally:
            self._running -= 1

    async def run_cleanup(self, work: Callable[[], None]) -> None:
        """Run work that must not be left out, such as releasing a connection.

        It is short, so that it runs in the event loop if no thread can take it.
        """
        try:
            await self.run_admitted(work)
        except NoThreadError as error:
            log_rate_limited("worker_not_started", level="WARNING", reason=error)
            work()

    def _submit(self, work: Callable[[], ResultT]) -> Future[ResultT]:
        """Give work to a thread.

        The executor queues work before it starts a thread for it. If the system allows
        no further thread, the work would still run later in another one, although its
        caller was told of a failure; so it is cancelled unless it already runs.
        """
        result: Future[ResultT] = Future()
        try:
            self._statements.submit(_run, work, result)
        except RuntimeError as error:
            if result.cancel():
                raise NoThreadError(str(error)) from error
        return result

    def unload(self) -> None:
        """Wait for running work and stop the threads."""
        self._statements.shutdown(wait=True)


def _run(work: Callable[[], ResultT], result: Future[ResultT]) -> None:
    if not result.set_running_or_notify_cancel():
        return
    try:
        result.set_result(work())
    except BaseException as error:  # noqa: BLE001 - raised where it is awaited
        result.set_exception(error)
