"""Limit on the number of statements that run concurrently."""

import threading

from dogwoodspool_common import Clock

from .errors import SlotTimeoutError


class Slots:
    """Let at most ``limit`` statements run concurrently; others wait.

    Args:
        limit: maximum number of concurrent statements.
        timeout: maximum wait for a slot, in seconds.
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
        """Number of statements that run now."""
        return self._in_use

    @property
    def peak(self) -> int:
        """Highest number of concurrent statements."""
        return self._peak

    @property
    def waiting(self) -> int:
        """Number of statements that wait now."""
        return self._waiting

    @property
    def waits(self) -> int:
        """Total number of statements that had to wait."""
        return self._waits

    def acquire(self) -> None:
        """Acquire a slot, waiting for one if none is free.

        Raises:
            SlotTimeoutError: no slot became free within the timeout.
        """
        deadline = self._clock.now() + self._timeout
        with self._condition:
            if self._in_use >= self._limit:
                self._wait(deadline)
            self._in_use += 1
            self._peak = max(self._peak, self._in_use)

    def release(self) -> None:
        """Release a slot."""
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
                    raise SlotTimeoutError(
                        f"no slot became free within {self._timeout} s"
                    )
                self._clock.wait(self._condition, remaining)
        finally:
            self._waiting -= 1
