"""Tests of the threads that run callers' statements."""

import asyncio
import threading
import unittest
from unittest.mock import patch

from dogwoodspool_gateway.workers import NoThreadError, WorkerPool


class WorkerPoolTests(unittest.IsolatedAsyncioTestCase):
    """Statements run in threads, as far as the system allows them."""

    def setUp(self) -> None:
        self.pool = WorkerPool(4)
        self.addCleanup(self.pool.unload)
        self.ran: list[str] = []

    def refuse_threads(self) -> None:
        """Let no further thread start, as at a limit of the machine."""
        error = RuntimeError("can't start new thread")
        patcher = patch.object(threading.Thread, "start", side_effect=error)
        patcher.start()
        self.addCleanup(patcher.stop)

    async def test_statement_without_a_thread_is_refused(self) -> None:
        """Guard against an answer that does not tell whether the statement ran."""
        self.refuse_threads()
        self.assertIsNone(await self.pool.run(lambda: self.ran.append("first")))
        with self.assertRaises(NoThreadError):
            await self.pool.run_admitted(lambda: self.ran.append("second"))
        self.assertEqual(self.pool.running, 0)

    async def test_refused_statement_does_not_run_in_another_thread(self) -> None:
        """Guard against a statement that runs after it was refused as not run."""
        begun, goes_on = threading.Event(), threading.Event()

        def wait() -> bool:
            begun.set()
            return goes_on.wait(10)

        first = asyncio.create_task(self.pool.run(wait))
        while not begun.is_set():
            await asyncio.sleep(0.001)
        self.refuse_threads()
        self.assertIsNone(await self.pool.run(lambda: self.ran.append("second")))
        goes_on.set()
        self.assertTrue(await first)
        # The worker counts as idle some moments after its answer.
        answer = await asyncio.wait_for(self.run_until_taken("third"), 10)
        self.assertEqual(answer, "third")
        self.assertEqual(self.ran, [])

    async def run_until_taken(self, text: str) -> str | None:
        """Run work again until a thread takes it; return its result."""
        answer = None
        while answer is None:
            await asyncio.sleep(0.001)
            answer = await self.pool.run(lambda: text)
        return answer

    async def test_cleanup_runs_without_a_thread(self) -> None:
        """Guard against a result set that keeps its connection for good."""
        self.refuse_threads()
        await self.pool.run_cleanup(lambda: self.ran.append("closed"))
        self.assertEqual(self.ran, ["closed"])

    async def test_error_of_a_statement_is_raised(self) -> None:
        with self.assertRaises(ZeroDivisionError):
            await self.pool.run(lambda: 1 // 0)
