"""Decide whether a statement for a backend server runs, waits or is refused."""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from math import inf

from dogwoodspool_common import Clock, log_rate_limited
from dogwoodspool_common.const import MILLISECONDS
from expression import Error, Ok, Result

from .concurrency import AdaptiveConcurrency
from .const import MIN_RETRY_AFTER_MS, OVERDUE_FACTOR
from .in_flight import InFlight
from .models import AdmissionOutcome, Priority, Refusal, RefusalReason
from .order import ArrivalOrder, QueueOrder, RetryEstimate
from .queue_load import QueueLoad
from .retry_schedule import RetrySchedule
from .ticket import Ticket, TicketState
from .work import Work


class StatementQueue:
    """Admission queue of one backend server as a state machine; it never blocks.

    It handles overloads in which several proxies together send one server more than
    it can run, for seconds, and no proxy sees the load of the others. A statement
    that would wait past its deadline is refused at once, while its caller can still
    use another server or retry; letting it wait would waste the caller's time, and
    running it too late the server's.

    Statements in flight are bounded. Those of open transactions always run, and new
    ones get what they leave of the limit. The order decides which waiting statement
    is next. When the queue is full, a new statement displaces the last one if it goes
    before it. A few admissions above the limit are reserved for statements that are
    more urgent than those in flight. Retries of refused callers are spread.

    Args:
        slots: statements that the server runs at a time.
        max_in_flight: this process's share of connections.
        queue_limit: statements that may wait.
        retry_schedule: assigns retry times to refused callers.
        order: the queue discipline; priority and then arrival by default.
        name: the server's name in log lines; without one nothing is logged.
    """

    def __init__(
        self,
        clock: Clock,
        slots: int,
        max_in_flight: int,
        queue_limit: int,
        retry_schedule: RetrySchedule | None = None,
        order: QueueOrder | None = None,
        name: str = "",
    ) -> None:
        self._clock = clock
        self._queue_limit = queue_limit
        self._concurrency = AdaptiveConcurrency(clock, slots, max_in_flight)
        self._retry_schedule = retry_schedule or RetrySchedule()
        self._order: QueueOrder = ArrivalOrder() if order is None else order
        self._name = name
        self._concurrency.set_follows_latency(self._order.follows_latency)
        self._in_flight = InFlight(self._concurrency)
        self._load = QueueLoad(clock, self._concurrency.limit, name)
        self._refused: Counter[RefusalReason] = Counter()

    @property
    def limit(self) -> int:
        """Statements that may be in flight now."""
        return self._concurrency.limit

    @property
    def in_flight(self) -> int:
        """Statements that are admitted, and neither ended nor overdue."""
        return self._in_flight.total

    @property
    def waiting(self) -> int:
        """Statements in the queue."""
        return len(self._order)

    @property
    def service_time(self) -> float:
        """Moving average of the seconds that a statement takes on the server."""
        return self._load.service_times.mean

    @property
    def demoted(self) -> int:
        """Statements that the present order has demoted."""
        return self._order.demoted

    @property
    def refused(self) -> dict[RefusalReason, int]:
        """Refused statements by reason."""
        return dict(self._refused)

    def set_max_in_flight(self, share: int) -> None:
        """Set this process's share of connections."""
        self._concurrency.set_ceiling(share)
        self._admit_waiting()

    def set_slots(self, slots: int) -> None:
        """Set how many slots of the server bound the statements in flight.

        It has an effect only under an order that does not follow the latency. Where
        a few processes share a server, a part of the slots for each keeps statements
        in their ordered queues instead of the server's.
        """
        self._concurrency.set_slots(slots)
        self._admit_waiting()

    def set_queue_limit(self, queue_limit: int) -> None:
        """Set how many statements may wait."""
        self._queue_limit = queue_limit

    def set_order(self, order: QueueOrder) -> None:
        """Replace the queue discipline and keep the waiting statements."""
        if order is self._order:
            return
        waiting, self._order = self._order.drain(), order
        self._concurrency.set_follows_latency(order.follows_latency)
        self._update_load()
        for ticket in waiting:
            max_wait = order.max_wait(ticket, self._load)
            ticket.latest_start = self._clock.now() + max_wait
            order.place(ticket)
            order.add(ticket, self._load)
            ticket.notify()
        self._admit_waiting()

    def estimated_wait(self, priority: int) -> float:
        """Return the seconds that a new statement would wait, 0 if none."""
        if self._in_flight.has_room(priority):
            return 0.0
        self._update_load()
        return self._order.estimated_wait(self._any_ticket(priority), self._load)

    def request_admission(
        self,
        deadline: float,
        priority: int,
        notify: Callable[[], None],
        *,
        wait_until: float | None = None,
    ) -> Result[Ticket, Refusal]:
        """Admit a statement, queue it or refuse it.

        Args:
            deadline: clock seconds after which the answer is no longer needed.
            priority: its priority; a lower number goes first.
            notify: called when the state of a waiting statement changes.
            wait_until: clock seconds until which it may wait; None for the deadline.
        """
        work = Work(priority, deadline, deadline, wait_until=wait_until)
        return self.request_work(work, notify)

    def request_work(
        self, work: Work, notify: Callable[[], None]
    ) -> Result[Ticket, Refusal]:
        """Admit a statement, queue it or refuse it.

        Args:
            work: the statement.
            notify: called when the state of a waiting statement changes.
        """
        now = self._clock.now()
        ticket = Ticket(work.priority, work.deadline, _ignore, work)
        if work.deadline <= now:
            return Error(self._refuse(ticket, RefusalReason.DEADLINE_PASSED))
        self._in_flight.drop_overdue(now)
        self._admit_waiting()
        if self._in_flight.has_room(work.priority):
            self._admit(ticket)
            return Ok(ticket)
        self._update_load()
        ticket.expected = self._load.service_times.expected(work.kind)
        max_wait = self._order.max_wait(ticket, self._load)
        ticket.latest_start = now + max_wait
        self._order.place(ticket)
        ticket.estimated_wait = self._order.estimated_wait(ticket, self._load)
        if ticket.estimated_wait > max_wait:
            return Error(self._refuse(ticket, RefusalReason.WAIT_TOO_LONG))
        if len(self._order) >= self._queue_limit and not self._displace(ticket):
            return Error(self._refuse(ticket, RefusalReason.QUEUE_FULL))
        self._order.add(ticket, self._load)
        self._admit_waiting()
        if ticket.state is TicketState.DISPLACED:
            return Error(self._refuse(ticket, ticket.reason))
        ticket.notify = notify
        return Ok(ticket)

    def begin_continuation(self, work: Work) -> Ticket:
        """Admit a statement of an open transaction, which never waits."""
        ticket = Ticket(work.priority, work.deadline, _ignore, work)
        ticket.is_continuation = True
        self._admit(ticket)
        return ticket

    def refuse_ticket(self, ticket: Ticket) -> Refusal:
        """Refuse a statement that waited too long or was displaced."""
        if ticket.state is TicketState.DISPLACED:
            return self._refuse(ticket, ticket.reason)
        self._order.remove(ticket)
        return self._refuse(ticket, RefusalReason.DEADLINE_PASSED)

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
                self._load.service_times.record(ticket.work.kind, latency)
            case AdmissionOutcome.OVERLOADED:
                self._concurrency.record_overload()
            case AdmissionOutcome.UNANSWERED:
                self._concurrency.record_unanswered()
        self._in_flight.end(ticket)
        self._admit_waiting()

    def next_retry_after_ms(self) -> int:
        """Return the retry delay of a caller whom the server itself refused.

        The server's own queue was full. It takes about as long to empty as the
        statements that the server answers take at present.
        """
        wait = max(self.estimated_wait(Priority.READ), self.service_time)
        spacing = self.service_time / self._concurrency.limit
        return self._schedule_retry_ms(RetryEstimate(wait, spacing))

    def _update_load(self) -> None:
        self._in_flight.drop_overdue(self._clock.now())
        self._load.capacity = self._in_flight.capacity

    def _any_ticket(self, priority: int) -> Ticket:
        return Ticket(priority, inf, _ignore, Work(priority, inf, inf), key=(inf,))

    def _admit(self, ticket: Ticket) -> None:
        usual_bound = self._load.service_times.usual_bound
        overdue_at = self._clock.now() + OVERDUE_FACTOR * usual_bound
        if self._order.follows_latency:
            # Lost answers lower the limit instead.
            overdue_at = inf
        self._in_flight.begin(ticket, overdue_at)
        ticket.state = TicketState.ADMITTED

    def _admit_waiting(self) -> None:
        if not self.waiting:
            return
        self._update_load()
        self._refuse_unservable()
        while (highest := self._in_flight.highest_admissible) is not None:
            next_ticket = self._order.take(highest, self._load)
            if next_ticket is None:
                break
            self._admit(next_ticket)
            next_ticket.notify()
        self._refuse_unservable()

    def _refuse_unservable(self) -> None:
        for ticket in self._order.take_unservable(self._load):
            self._remove(ticket, RefusalReason.WAIT_TOO_LONG)

    def _displace(self, ticket: Ticket) -> bool:
        displaced = self._order.displace(ticket, self._load)
        if displaced is None:
            return False
        self._remove(displaced, RefusalReason.DISPLACED)
        return True

    def _remove(self, ticket: Ticket, reason: RefusalReason) -> None:
        ticket.state = TicketState.DISPLACED
        ticket.reason = reason
        ticket.notify()

    def _refuse(self, ticket: Ticket, reason: RefusalReason) -> Refusal:
        self._refused[reason] += 1
        estimated_wait_ms = round(ticket.estimated_wait * MILLISECONDS)
        if self._name:
            self._log_refused(ticket, reason, estimated_wait_ms)
        self._update_load()
        estimate = self._order.estimate_retry(ticket, self._load)
        if self._in_flight.has_room(Priority.READ):
            estimate = replace(estimate, wait=0.0)
        return Refusal(self._schedule_retry_ms(estimate), reason, estimated_wait_ms)

    def _log_refused(
        self, ticket: Ticket, reason: RefusalReason, estimated_wait_ms: int
    ) -> None:
        log_rate_limited(
            "admission_refused",
            server=self._name,
            kind=ticket.work.kind,
            priority=ticket.priority,
            reason=reason,
            estimated_wait_ms=estimated_wait_ms,
            waiting=self.waiting,
            in_flight=self.in_flight,
            limit=self.limit,
        )

    def _schedule_retry_ms(self, estimate: RetryEstimate) -> int:
        delay = self._retry_schedule.schedule_retry(
            self._clock.now(), estimate.wait, estimate.spacing, estimate.horizon
        )
        return max(MIN_RETRY_AFTER_MS, round(delay * MILLISECONDS))


def _ignore() -> None:
    """Ignore a change of state."""
