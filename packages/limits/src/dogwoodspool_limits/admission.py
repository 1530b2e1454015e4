"""Admit statements to one backend server by their deadlines."""

import threading
from collections.abc import Callable
from typing import Protocol

from dogwoodspool_common import Clock
from dogwoodspool_common.const import MILLISECONDS
from expression import Error, Ok, Result

from .concurrency import AdaptiveConcurrency
from .const import (
    DEFAULT_SERVICE_TIME,
    DEVIATIONS,
    LATENCY_WEIGHT,
    MIN_RETRY_AFTER_MS,
)
from .models import Priority, Refusal, RefusalReason


class Admission:
    """The right to run one statement; given back with ``done``, once."""

    def __init__(self, end: Callable[[float, bool], None]) -> None:
        self._end = end
        self._is_done = False

    def done(self, latency_s: float, ok: bool) -> None:
        """Give the right back; a second call changes nothing.

        Args:
            latency_s: seconds that the statement took on the server.
            ok: whether a complete answer came, be it an error of the database.
        """
        if self._is_done:
            return
        self._is_done = True
        self._end(latency_s, ok)


class Admitter(Protocol):
    """Decide whether and when a statement may go to one backend server."""

    def admit(self, deadline: float, priority: int) -> Result[Admission, Refusal]:
        """Wait for the right to run a statement; refuse what cannot be in time."""
        ...


class _Waiter:
    """One statement in the queue."""

    def __init__(self, lock: threading.Lock, priority: int) -> None:
        self.condition = threading.Condition(lock)
        self.priority = priority
        self.is_admitted = False
        self.is_displaced = False


class AdmissionQueue:
    """A short queue before one backend server.

    A statement that would wait past its deadline is refused at once, while its
    caller can still go elsewhere or come back; one that waited in vain would have
    cost the server's time or the caller's for nothing. Statements in flight are
    bounded by adaptive concurrency. Among waiting statements the priority decides
    and then the order of arrival; a full queue gives the place of its last
    statement of the lowest priority to one of a higher priority.

    Args:
        slots: statements that the server runs at a time.
        max_in_flight: this process's share of connections.
        queue_limit: statements that may wait.
    """

    def __init__(
        self, clock: Clock, slots: int, max_in_flight: int, queue_limit: int
    ) -> None:
        self._clock = clock
        self._queue_limit = queue_limit
        self._concurrency = AdaptiveConcurrency(clock, slots, max_in_flight)
        self._service_time = DEFAULT_SERVICE_TIME
        self._deviation = 0.0
        self._in_flight = 0
        self._waiting: list[_Waiter] = []
        self._lock = threading.Lock()

    @property
    def limit(self) -> int:
        """Statements that may be in flight now."""
        with self._lock:
            return self._concurrency.limit

    @property
    def in_flight(self) -> int:
        """Statements that are admitted and not done."""
        with self._lock:
            return self._in_flight

    @property
    def waiting(self) -> int:
        """Statements in the queue."""
        with self._lock:
            return len(self._waiting)

    @property
    def service_time(self) -> float:
        """Moving average of a statement's seconds on the server."""
        with self._lock:
            return self._service_time

    def estimated_wait(self, priority: int) -> float:
        """Return the seconds that a new statement would wait, 0 when it would not."""
        with self._lock:
            return self._estimated_wait(priority)

    def set_max_in_flight(self, share: int) -> None:
        """Change the share of connections."""
        with self._lock:
            self._concurrency.set_ceiling(share)
            self._serve()

    def set_queue_limit(self, queue_limit: int) -> None:
        """Change how many statements may wait."""
        with self._lock:
            self._queue_limit = queue_limit

    def admit(self, deadline: float, priority: int) -> Result[Admission, Refusal]:
        """Wait for the right to run a statement.

        Args:
            deadline: clock seconds at which the statement is of no more use.
            priority: its priority; a lower number goes first.
        """
        with self._lock:
            remaining = deadline - self._clock.now()
            wait = self._estimated_wait(priority)
            if remaining <= 0:
                return self._refuse(RefusalReason.DEADLINE_PASSED)
            if not wait and not self._waiting:
                self._in_flight += 1
                return Ok(Admission(self._end))
            patience = self._patience(remaining)
            if wait > patience:
                return self._refuse(RefusalReason.WAIT_TOO_LONG)
            if len(self._waiting) >= self._queue_limit and not self._displace(priority):
                return self._refuse(RefusalReason.QUEUE_FULL)
            return self._wait_turn(self._clock.now() + patience, priority)

    def _wait_turn(
        self, latest_start: float, priority: int
    ) -> Result[Admission, Refusal]:
        waiter = _Waiter(self._lock, priority)
        self._waiting.append(waiter)
        self._waiting.sort(key=lambda one: one.priority)
        self._serve()
        while not waiter.is_admitted and not waiter.is_displaced:
            remaining = latest_start - self._clock.now()
            if remaining <= 0:
                self._waiting.remove(waiter)
                return self._refuse(RefusalReason.DEADLINE_PASSED)
            self._clock.wait(waiter.condition, remaining)
        if waiter.is_displaced:
            return self._refuse(RefusalReason.DISPLACED)
        return Ok(Admission(self._end))

    def _patience(self, remaining: float) -> float:
        """Return how long a statement may wait and still be answered in time.

        One that starts when its time is all but over would cost the server its
        work and be answered too late. Half of the time is always for waiting, so
        that a service time above the deadline does not close the queue.
        """
        bound = self._service_time + DEVIATIONS * self._deviation
        return max(remaining - bound, remaining / 2)

    def _estimated_wait(self, priority: int) -> float:
        limit = self._concurrency.limit
        ahead = sum(1 for one in self._waiting if one.priority <= priority)
        if self._in_flight < limit and not ahead:
            return 0.0
        # Each turn of the limit's statements takes one service time.
        return (ahead + 1) * self._service_time / limit

    def _displace(self, priority: int) -> bool:
        if not self._waiting or self._waiting[-1].priority <= priority:
            return False
        displaced = self._waiting.pop()
        displaced.is_displaced = True
        displaced.condition.notify_all()
        return True

    def _refuse(self, reason: RefusalReason) -> Result[Admission, Refusal]:
        wait = self._estimated_wait(Priority.READ)
        retry_after = max(MIN_RETRY_AFTER_MS, round(wait * MILLISECONDS))
        return Error(Refusal(retry_after, reason))

    def _serve(self) -> None:
        while self._waiting and self._in_flight < self._concurrency.limit:
            waiter = self._waiting.pop(0)
            waiter.is_admitted = True
            self._in_flight += 1
            waiter.condition.notify_all()

    def _end(self, latency: float, ok: bool) -> None:
        with self._lock:
            self._concurrency.note(latency, self._in_flight, is_answered=ok)
            if ok:
                change = latency - self._service_time
                self._service_time += LATENCY_WEIGHT * change
                self._deviation += LATENCY_WEIGHT * (abs(change) - self._deviation)
            self._in_flight -= 1
            self._serve()
