"""Slots: how many statements run at a time."""

import threading

from dogwoodspool_common import Clock

from .errors import SlotTimeoutError


class Slots:
    """Let at most ``limit`` statements run; more wait in the server.

    Args:
        limit: statements that run at a time.
        timeout: longest wait in seconds.
        clock: the runtime's clock.
    """

    def __init__(self, limit: int, timeout: float, clock: Clock) -> None:
        self._limit = limit
        self._timeout = timeout
        self._clock = clock
        self._condition = threading.Condition()
        self._in_use = 0
        self._peak = 0
        self._waiting = 0
        self._waits = 0

    @property
    def in_use(self) -> int:
        """Statements that run now."""
        return self._in_use

    @property
    def peak(self) -> int:
        """Most statements that ever ran at a time."""
        return self._peak

    @property
    def waiting(self) -> int:
        """Statements that wait now."""
        return self._waiting

    @property
    def waits(self) -> int:
        """Statements that ever had to wait."""
        return self._waits

    def acquire(self) -> None:
        """Take a slot.

        Raises:
            SlotTimeoutError: none became free in time.
        """
        deadline = self._clock.now() + self._timeout
        with self._condition:
            if self._in_use >= self._limit:
                self._wait(deadline)
            self._in_use += 1
            self._peak = max(self._peak, self._in_use)

    def release(self) -> None:
        """Give a slot back."""
        with self._condition:
            self._in_use -= 1
            self._condition.notify()

    def _wait(self, deadline: float) -> None:
        self._waits += 1
        self._waiting += 1
        try:
            while self._in_use >= self._limit:
                remaining = deadline - self._clock.now()
                if remaining <= 0:
                    raise SlotTimeoutError("no slot became free in time")
                self._clock.wait(self._condition, remaining)
        finally:
            self._waiting -= 1
