"""Clocks: the system clock, and a manual one for tests."""

import threading
import time
from typing import Protocol


class Clock(Protocol):
    """Provide monotonic time and bounded waits.

    No decision reads the wall clock: it can jump, and it may differ between
    processes.
    """

    def now(self) -> float:
        """Return monotonic seconds."""
        ...

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for some seconds."""
        ...

    def wait(self, condition: threading.Condition, seconds: float) -> bool:
        """Wait on a held condition; return False on time-out."""
        ...


class SystemClock:
    """The machine's time since boot.

    Leases and the age of data are measured with it. ``time.monotonic`` does not
    advance while a machine is suspended: a lease that expired meanwhile would look
    valid when the machine resumes. ``CLOCK_BOOTTIME`` includes suspended time.
    """

    def now(self) -> float:
        """Return monotonic seconds, including time while suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for some seconds."""
        time.sleep(seconds)

    def wait(self, condition: threading.Condition, seconds: float) -> bool:
        """Wait on a held condition; return False on time-out."""
        return condition.wait(max(0.0, seconds))


class ManualClock:
    """A paused clock for tests, moved only by ``advance``.

    Example:
        >>> clock = ManualClock()
        >>> clock.advance(1.5)
        >>> clock.now()
        1.5
    """

    def __init__(self, start: float = 0.0) -> None:
        self._now = start
        self._advanced = threading.Condition()
        self._waiting: list[threading.Condition] = []

    @property
    def waiters(self) -> int:
        """Number of threads blocked in ``wait``."""
        with self._advanced:
            return len(self._waiting)

    def now(self) -> float:
        """Return the paused time in seconds."""
        with self._advanced:
            return self._now

    def advance(self, seconds: float) -> None:
        """Move time forward and wake all waiters to check their conditions again."""
        with self._advanced:
            self._now += seconds
            self._advanced.notify_all()
            waiting = list(self._waiting)
        for condition in waiting:
            with condition:
                condition.notify_all()

    def sleep(self, seconds: float) -> None:
        """Block until ``advance`` has moved past the given time."""
        with self._advanced:
            deadline = self._now + seconds
            while self._now < deadline:
                self._advanced.wait()

    def wait(self, condition: threading.Condition, seconds: float) -> bool:
        """Wait on a held condition; return False on time-out.

        Like any condition wait it may return early: callers check their
        predicate in a loop.
        """
        deadline = self.now() + seconds
        if seconds <= 0:
            return False
        with self._advanced:
            self._waiting.append(condition)
        try:
            condition.wait()
        finally:
            with self._advanced:
                self._waiting.remove(condition)
        return self.now() < deadline
