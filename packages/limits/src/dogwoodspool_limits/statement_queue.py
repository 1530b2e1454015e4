"""Decide which statements run on a backend server, wait or are refused."""

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
    DEVIATIONS,
    LATENCY_WEIGHT,
    MIN_RETRY_AFTER_MS,
    URGENT_PLACES,
)
from .models import AdmissionOutcome, Priority, Refusal, RefusalReason
from .retry_schedule import RetrySchedule


class TicketState(Enum):
    """What became of a statement."""

    WAITING = auto()
    ADMITTED = auto()
    DISPLACED = auto()


@dataclass(eq=False, slots=True)
class Ticket:
    """A statement that runs or waits.

    Attributes:
        priority: a lower number goes first.
        latest_start: clock seconds after which its start is of no use.
        notify: called when its state has changed.
    """

    priority: int
    latest_start: float
    notify: Callable[[], None] = field(repr=False)
    state: TicketState = TicketState.WAITING


class StatementQueue:
    """The queue before one backend server as a state machine; nothing blocks here.

    The load pattern that it answers: several proxies together send one server more
    than it can run, for seconds, and none of them sees the others. A statement that
    would wait past its deadline is refused at once, while its caller can still go
    elsewhere or come back; one that waited in vain would have cost the server's time
    or the caller's for nothing.

    Statements in flight are bounded by adaptive concurrency. Among waiting statements
    the priority decides and then the order of arrival; a full queue gives the place
    of its last statement of the lowest priority to one of a higher priority. A few
    places above the limit are for statements that are more urgent than those in flight.
    Refused callers are told to return one after the other, as the server's places come
    free.

    Args:
        slots: statements that the server runs at a time.
        max_in_flight: this process's share of connections.
        queue_limit: statements that may wait.
        returns: when refused callers come back.
    """

    def __init__(
        self,
        clock: Clock,
        slots: int,
        max_in_flight: int,
        queue_limit: int,
        returns: RetrySchedule | None = None,
    ) -> None:
        self._clock = clock
        self._queue_limit = queue_limit
        self._concurrency = AdaptiveConcurrency(clock, slots, max_in_flight)
        self._returns = returns or RetrySchedule()
        self._service_time = DEFAULT_SERVICE_TIME
        self._deviation = 0.0
        # Statements in flight by priority.
        self._in_flight: Counter[int] = Counter()
        self._waiting: list[Ticket] = []

    @property
    def limit(self) -> int:
        """Statements that may be in flight now."""
        return self._concurrency.limit

    @property
    def in_flight(self) -> int:
        """Statements that are admitted and not done."""
        return self._in_flight.total()

    @property
    def waiting(self) -> int:
        """Statements in the queue."""
        return len(self._waiting)

    @property
    def service_time(self) -> float:
        """Moving average of a statement's seconds on the server."""
        return self._service_time

    def set_max_in_flight(self, share: int) -> None:
        """Change the share of connections."""
        self._concurrency.set_ceiling(share)
        self._serve()

    def set_queue_limit(self, queue_limit: int) -> None:
        """Change how many statements may wait."""
        self._queue_limit = queue_limit

    def estimated_wait(self, priority: int) -> float:
        """Return the seconds that a new statement would wait, 0 when it would not."""
        ahead = sum(1 for one in self._waiting if one.priority <= priority)
        if not ahead and self._has_room(priority):
            return 0.0
        # Each turn of the limit's statements takes one service time.
        return (ahead + 1) * self._service_time / self._concurrency.limit

    def request_admission(
        self, deadline: float, priority: int, notify: Callable[[], None]
    ) -> Result[Ticket, Refusal]:
        """Admit a statement, let it wait or refuse it.

        Args:
            deadline: clock seconds at which the statement is of no more use.
            priority: its priority; a lower number goes first.
            notify: called when a statement that waits has got another state.
        """
        now = self._clock.now()
        remaining = deadline - now
        if remaining <= 0:
            return Error(self._refuse(RefusalReason.DEADLINE_PASSED))
        wait = self.estimated_wait(priority)
        patience = self._patience(remaining)
        ticket = Ticket(priority, now + patience, notify)
        if not wait:
            self._admit(ticket)
            return Ok(ticket)
        if wait > patience:
            return Error(self._refuse(RefusalReason.WAIT_TOO_LONG))
        if len(self._waiting) >= self._queue_limit and not self._displace(priority):
            return Error(self._refuse(RefusalReason.QUEUE_FULL))
        self._waiting.append(ticket)
        self._waiting.sort(key=lambda one: one.priority)
        self._serve()
        return Ok(ticket)

    def refuse_ticket(self, ticket: Ticket) -> Refusal:
        """Refuse a statement that waited in vain or lost its place."""
        if ticket.state is TicketState.DISPLACED:
            return self._refuse(RefusalReason.DISPLACED)
        self._waiting.remove(ticket)
        return self._refuse(RefusalReason.DEADLINE_PASSED)

    def end(self, ticket: Ticket, latency: float, outcome: AdmissionOutcome) -> None:
        """Take in an admitted statement's end, and let the next one start.

        Args:
            ticket: the statement.
            latency: seconds that it took on the server.
            outcome: how it ended. What comes without work says nothing of how long
                the server's work takes, or of how many statements it runs well.
        """
        match outcome:
            case AdmissionOutcome.ANSWERED:
                self._concurrency.note_answer(latency, self.in_flight)
                self._note_service_time(latency)
            case AdmissionOutcome.OVERLOADED:
                self._concurrency.note_overload()
            case AdmissionOutcome.UNANSWERED:
                self._concurrency.note_unanswered()
        self._in_flight[ticket.priority] -= 1
        self._serve()

    def next_retry_after_ms(self) -> int:
        """Return when a caller shall come back whom the server itself refused.

        Its own queue was full, which takes about as long to empty as the statements
        that it answers take at present.
        """
        wait = max(self.estimated_wait(Priority.READ), self._service_time)
        return self._return_after_ms(wait)

    def _note_service_time(self, latency: float) -> None:
        change = latency - self._service_time
        self._service_time += LATENCY_WEIGHT * change
        self._deviation += LATENCY_WEIGHT * (abs(change) - self._deviation)

    def _patience(self, remaining: float) -> float:
        """Return how long a statement may wait and still be answered in time.

        One that starts when its time is all but over would cost the server its
        work and be answered too late. Half of the time is always for waiting, so
        that a service time above the deadline does not close the queue.
        """
        bound = self._service_time + DEVIATIONS * self._deviation
        return max(remaining - bound, remaining / 2)

    def _has_room(self, priority: int) -> bool:
        """Tell whether one more statement of a priority may be in flight.

        The limit may be one where many processes share a server's slots. An urgent
        statement would then wait for one that nobody is in a hurry for.
        """
        limit, in_flight = self._concurrency.limit, self.in_flight
        if in_flight < limit:
            return True
        most = min(limit + URGENT_PLACES, self._concurrency.ceiling)
        urgent = sum(
            count for other, count in self._in_flight.items() if other <= priority
        )
        return in_flight < most and urgent < limit

    def _admit(self, ticket: Ticket) -> None:
        self._in_flight[ticket.priority] += 1
        ticket.state = TicketState.ADMITTED

    def _serve(self) -> None:
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
        return Refusal(self._return_after_ms(wait), reason)

    def _return_after_ms(self, wait: float) -> int:
        spacing = self._service_time / self._concurrency.limit
        return_after = self._returns.schedule_retry(self._clock.now(), wait, spacing)
        return max(MIN_RETRY_AFTER_MS, round(return_after * MILLISECONDS))
