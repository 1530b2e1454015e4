"""The runtime's clock, which tests pause and advance."""

import threading
import time
from typing import Protocol


class Clock(Protocol):
    """Give monotonic time and bounded waits.

    No decision reads the wall clock: it jumps, and two processes need not agree
    on it.
    """

    def now(self) -> float:
        """Return monotonic seconds."""
        ...

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for some seconds."""
        ...

    def wait(self, condition: threading.Condition, seconds: float) -> bool:
        """Wait on a held condition; return False when the time ran out."""
        ...


class SystemClock:
    """The machine's clock since boot.

    Leases and the age of data are counted on it. ``time.monotonic`` stands still
    while a machine is suspended: a lease that ran out meanwhile would look valid
    when the machine wakes up. ``CLOCK_BOOTTIME`` counts that time too.
    """

    def now(self) -> float:
        """Return monotonic seconds, those of a suspended machine included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for some seconds."""
        time.sleep(seconds)

    def wait(self, condition: threading.Condition, seconds: float) -> bool:
        """Wait on a held condition; return False when the time ran out."""
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
        self._ticked = threading.Condition()
        self._waiting: list[threading.Condition] = []

    @property
    def waiters(self) -> int:
        """Threads that wait for this clock in ``wait``."""
        with self._ticked:
            return len(self._waiting)

    def now(self) -> float:
        """Return the paused time in seconds."""
        with self._ticked:
            return self._now

    def advance(self, seconds: float) -> None:
        """Move time forward and wake every waiter so that it looks again."""
        with self._ticked:
            self._now += seconds
            self._ticked.notify_all()
            waiting = list(self._waiting)
        for condition in waiting:
            with condition:
                condition.notify_all()

    def sleep(self, seconds: float) -> None:
        """Block until ``advance`` has moved past the given time."""
        with self._ticked:
            deadline = self._now + seconds
            while self._now < deadline:
                self._ticked.wait()

    def wait(self, condition: threading.Condition, seconds: float) -> bool:
        """Wait on a held condition; return False when the time ran out.

        Like any condition wait it may return early: callers check their
        predicate in a loop.
        """
        deadline = self.now() + seconds
        if seconds <= 0:
            return False
        with self._ticked:
            self._waiting.append(condition)
        try:
            condition.wait()
        finally:
            with self._ticked:
                self._waiting.remove(condition)
        return self.now() < deadline
