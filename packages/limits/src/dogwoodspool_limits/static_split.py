"""The baseline that admission is measured against."""

import threading
from collections import deque

from dogwoodspool_common import Clock
from expression import Error, Ok, Result

from .admission import Admission
from .const import MIN_RETRY_AFTER_MS
from .models import Refusal, RefusalReason


class StaticSplitAdmission:
    """Split a server's slots evenly between the proxies and queue without bound.

    There is no estimate, no priority and no adaptation: a statement waits in the
    order of arrival until its deadline. It stands for what a plain connection pool
    does and is used in measurements only.
    """

    def __init__(self, clock: Clock, slots: int, proxies: int) -> None:
        self._clock = clock
        self._limit = max(1, slots // max(1, proxies))
        self._in_flight = 0
        self._waiting: deque[threading.Condition] = deque()
        self._lock = threading.Lock()

    @property
    def limit(self) -> int:
        """Statements that may be in flight."""
        return self._limit

    def admit(self, deadline: float, priority: int) -> Result[Admission, Refusal]:
        """Wait for the right to run a statement until its deadline."""
        del priority
        turn = threading.Condition(self._lock)
        with self._lock:
            self._waiting.append(turn)
            while self._waiting[0] is not turn or self._in_flight >= self._limit:
                remaining = deadline - self._clock.now()
                if remaining <= 0:
                    self._waiting.remove(turn)
                    self._wake_first()
                    reason = RefusalReason.DEADLINE_PASSED
                    return Error(Refusal(MIN_RETRY_AFTER_MS, reason))
                self._clock.wait(turn, remaining)
            self._waiting.popleft()
            self._in_flight += 1
            self._wake_first()
            return Ok(Admission(self._end))

    def _wake_first(self) -> None:
        if self._waiting:
            self._waiting[0].notify_all()

    def _end(self, _latency: float, _ok: bool) -> None:
        with self._lock:
            self._in_flight -= 1
            self._wake_first()
