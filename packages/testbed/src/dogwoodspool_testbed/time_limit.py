"""End a run of tests in which one test waits for good."""

import faulthandler
import os
import signal
import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Final

PROCESSES: Final = Path("/proc")


class TimeLimit:
    """Give each test a time limit, after which the whole process ends.

    A thread that waits for good can't be ended by itself. What all threads wait for is
    printed, and processes that the tests started are ended.

    Args:
        seconds: time limit of one test.

    Example:
        >>> limit = TimeLimit(900.0)
        >>> with limit.of("tests.test_pool.PoolTests.test_wait"):
        ...     pass
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds

    @contextmanager
    def of(self, name: str) -> Iterator[None]:
        """Apply the limit to a test."""
        timer = threading.Timer(self._seconds, self._end, (name,))
        timer.daemon = True
        timer.start()
        try:
            yield
        finally:
            timer.cancel()

    def _end(self, name: str) -> None:
        faulthandler.dump_traceback(all_threads=True)
        print(f"failed: {name} has not ended after {self._seconds:g} s", flush=True)
        for process in descendants(os.getpid()):
            with suppress(ProcessLookupError):
                os.kill(process, signal.SIGKILL)
        os._exit(1)


def descendants(process: int) -> list[int]:
    """Return the processes that a process and its descendants have started."""
    found = [process]
    for one in found:
        for children in (PROCESSES / str(one) / "task").glob("*/children"):
            with suppress(OSError):
                found += map(int, children.read_text().split())
    return found[1:]
