"""Decide whether a statement for a backend server runs, waits or is refused."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from dogwoodspool_common import Clock
from dogwoodspool_common.const import MILLISECONDS
from expression import Error, Ok, Result

from .concurrency import AdaptiveConcurrency
from .const import (
    DEFAULT_SERVICE_TIME,
    LATENCY_WEIGHT,
    MIN_RETRY_AFTER_MS,
    SERVICE_TIME_DEVIATIONS,
    URGENT_EXTRA_ADMISSIONS,
)
from .models import AdmissionOutcome, Priority, Refusal, RefusalReason
from .retry_schedule import RetrySchedule


class TicketState(Enum):
    """State of a statement in the queue."""

    WAITING = auto()
    ADMITTED = auto()
    DISPLACED = auto()


@dataclass(eq=False, slots=True)
class Ticket:
    """A statement that runs or waits.

    Attributes:
        priority: a lower number goes first.
        latest_start: clock seconds after which it can no longer end in time.
        notify: called when its state has changed.
    """

    priority: int
    latest_start: float
    notify: Callable[[], None] = field(repr=False)
    state: TicketState = TicketState.WAITING


class StatementQueue:
    """Admission queue of one backend server as a state machine; it never blocks.

    It handles overloads in which several proxies together send one server more than
    it can run, for seconds, and no proxy sees the load of the others. A statement
    that would wait past its deadline is refused at once, while its caller can still
    use another server or retry; letting it wait would waste the caller's time, and
    running it too late the server's.

    Statements in flight are bounded by adaptive concurrency. Waiting statements are
    ordered by priority and then by arrival. When the queue is full, a new statement
    displaces the last waiting statement of the lowest priority if its own priority
    is higher. A few admissions above the limit are reserved for statements that are
    more urgent than those in flight. The retry times of refused callers are spread
    at the rate at which the server runs statements.

    Args:
        slots: statements that the server runs at a time.
        max_in_flight: this process's share of connections.
        queue_limit: statements that may wait.
        retry_schedule: assigns retry times to refused callers.
    """

    def __init__(
        self,
        clock: Clock,
        slots: int,
        max_in_flight: int,
        queue_limit: int,
        retry_schedule: RetrySchedule | None = None,
    ) -> None:
        self._clock = clock
        self._queue_limit = queue_limit
        self._concurrency = AdaptiveConcurrency(clock, slots, max_in_flight)
        self._retry_schedule = retry_schedule or RetrySchedule()
        self._service_time = DEFAULT_SERVICE_TIME
        self._deviation = 0.0
        self._in_flight_by_priority: Counter[int] = Counter()
        self._waiting: list[Ticket] = []

    @property
    def limit(self) -> int:
        """Statements that may be in flight now."""
        return self._concurrency.limit

    @property
    def in_flight(self) -> int:
        """Statements that are admitted and have not ended."""
        return self._in_flight_by_priority.total()

    @property
    def waiting(self) -> int:
        """Statements in the queue."""
        return len(self._waiting)

    @property
    def service_time(self) -> float:
        """Moving average of the seconds that a statement takes on the server."""
        return self._service_time

    def set_max_in_flight(self, share: int) -> None:
        """Set this process's share of connections."""
        self._concurrency.set_ceiling(share)
        self._admit_waiting()

    def set_min_in_flight(self, count: int) -> None:
        """Set how many statements may be in flight whatever their latency."""
        self._concurrency.set_floor(count)
        self._admit_waiting()

    def set_queue_limit(self, queue_limit: int) -> None:
        """Set how many statements may wait."""
        self._queue_limit = queue_limit

    def estimated_wait(self, priority: int) -> float:
        """Return the seconds that a new statement would wait, 0 if none."""
        ahead = sum(1 for ticket in self._waiting if ticket.priority <= priority)
        if not ahead and self._has_room(priority):
            return 0.0
        # Statements run in batches of the limit, each in about one service time.
        return (ahead + 1) * self._service_time / self._concurrency.limit

    def request_admission(
        self, deadline: float, priority: int, notify: Callable[[], None]
    ) -> Result[Ticket, Refusal]:
        """Admit a statement, queue it or refuse it.

        Args:
            deadline: clock seconds after which the answer is no longer needed.
            priority: its priority; a lower number goes first.
            notify: called when the state of a waiting statement changes.
        """
        now = self._clock.now()
        remaining = deadline - now
        if remaining <= 0:
            return Error(self._refuse(RefusalReason.DEADLINE_PASSED))
        wait = self.estimated_wait(priority)
        max_wait = self._max_wait(remaining)
        ticket = Ticket(priority, now + max_wait, notify)
        if not wait:
            self._admit(ticket)
            return Ok(ticket)
        if wait > max_wait:
            return Error(self._refuse(RefusalReason.WAIT_TOO_LONG))
        if len(self._waiting) >= self._queue_limit and not self._displace(priority):
            return Error(self._refuse(RefusalReason.QUEUE_FULL))
        self._waiting.append(ticket)
        self._waiting.sort(key=lambda waiting: waiting.priority)
        self._admit_waiting()
        return Ok(ticket)

    def refuse_ticket(self, ticket: Ticket) -> Refusal:
        """Refuse a statement that waited too long or was displaced."""
        if ticket.state is TicketState.DISPLACED:
            return self._refuse(RefusalReason.DISPLACED)
        self._waiting.remove(ticket)
        return self._refuse(RefusalReason.DEADLINE_PASSED)

    def end(self, ticket: Ticket, latency: float, outcome: AdmissionOutcome) -> None:
        """Record the end of an admitted statement and admit the next ones.

        Args:
            ticket: the statement.
            latency: seconds that it took on the server.
            outcome: how it ended. An end without work on the server says nothing
                about the service time or about how many statements the server can
                run, so neither is updated for it.
        """
        match outcome:
            case AdmissionOutcome.ANSWERED:
                self._concurrency.record_answer(latency, self.in_flight)
                self._record_service_time(latency)
            case AdmissionOutcome.OVERLOADED:
                self._concurrency.record_overload()
            case AdmissionOutcome.UNANSWERED:
                self._concurrency.record_unanswered()
        self._in_flight_by_priority[ticket.priority] -= 1
        self._admit_waiting()

    def next_retry_after_ms(self) -> int:
        """Return the retry delay of a caller whom the server itself refused.

        The server's own queue was full. It takes about as long to empty as the
        statements that the server answers take at present.
        """
        wait = max(self.estimated_wait(Priority.READ), self._service_time)
        return self._schedule_retry_ms(wait)

    def _record_service_time(self, latency: float) -> None:
        change = latency - self._service_time
        self._service_time += LATENCY_WEIGHT * change
        self._deviation += LATENCY_WEIGHT * (abs(change) - self._deviation)

    def _max_wait(self, remaining: float) -> float:
        """Return how long a statement may wait and still be answered in time.

        A statement that starts shortly before its deadline would use the server and
        still be answered too late. At least half of the remaining time may be spent
        waiting, so that a service time above the deadline does not refuse every
        statement.
        """
        bound = self._service_time + SERVICE_TIME_DEVIATIONS * self._deviation
        return max(remaining - bound, remaining / 2)

    def _has_room(self, priority: int) -> bool:
        """Return whether one more statement of a priority may be in flight.

        Where many processes share a server's slots, the limit may be 1. Without an
        admission above the limit, an urgent statement would then wait for one of a
        lower priority.
        """
        limit, in_flight = self._concurrency.limit, self.in_flight
        if in_flight < limit:
            return True
        extended_limit = min(limit + URGENT_EXTRA_ADMISSIONS, self._concurrency.ceiling)
        urgent = sum(
            count
            for other, count in self._in_flight_by_priority.items()
            if other <= priority
        )
        return in_flight < extended_limit and urgent < limit

    def _admit(self, ticket: Ticket) -> None:
        self._in_flight_by_priority[ticket.priority] += 1
        ticket.state = TicketState.ADMITTED

    def _admit_waiting(self) -> None:
        while self._waiting and self._has_room(self._waiting[0].priority):
            ticket = self._waiting.pop(0)
            self._admit(ticket)
            ticket.notify()

    def _displace(self, priority: int) -> bool:
        if not self._waiting or self._waiting[-1].priority <= priority:
            return False
        displaced = self._waiting.pop()
        displaced.state = TicketState.DISPLACED
        displaced.notify()
        return True

    def _refuse(self, reason: RefusalReason) -> Refusal:
        wait = self.estimated_wait(Priority.READ)
        return Refusal(self._schedule_retry_ms(wait), reason)

    def _schedule_retry_ms(self, wait: float) -> int:
        spacing = self._service_time / self._concurrency.limit
        delay = self._retry_schedule.schedule_retry(self._clock.now(), wait, spacing)
        return max(MIN_RETRY_AFTER_MS, round(delay * MILLISECONDS))
