"""Block threads until they may run a statement on one backend server."""

import threading
from collections.abc import Callable
from functools import partial

from dogwoodspool_common import Clock
from expression import Error, Ok, Result

from .models import AdmissionOutcome, Refusal, RefusalReason
from .order import QueueOrder
from .statement_queue import StatementQueue
from .ticket import Ticket, TicketState
from .work import Work


class Admission:
    """The right to run one statement; released once, whatever the outcome."""

    def __init__(self, end: Callable[[float, AdmissionOutcome], None]) -> None:
        self._end = end
        self._is_done = False

    def done(self, latency_s: float, outcome: AdmissionOutcome) -> None:
        """Release the admission; a second call has no effect.

        Args:
            latency_s: seconds that the statement took on the server.
            outcome: how it ended.
        """
        if not self._is_done:
            self._is_done = True
            self._end(latency_s, outcome)


class AdmissionQueue:
    """A thread-safe admission queue of one backend server.

    ``StatementQueue`` decides; this class locks it and blocks the callers that wait.

    Args:
        slots: statements that the server runs at a time.
        max_in_flight: this process's share of connections.
        queue_limit: statements that may wait.
        order: the queue discipline; priority and then arrival by default.
        name: the server's name in log lines; without one nothing is logged.
    """

    def __init__(
        self,
        clock: Clock,
        slots: int,
        max_in_flight: int,
        queue_limit: int,
        order: QueueOrder | None = None,
        name: str = "",
    ) -> None:
        self._clock = clock
        self._queue = StatementQueue(
            clock, slots, max_in_flight, queue_limit, order=order, name=name
        )
        self._lock = threading.Lock()

    @property
    def limit(self) -> int:
        """Statements that may be in flight now."""
        with self._lock:
            return self._queue.limit

    @property
    def in_flight(self) -> int:
        """Statements that are admitted, and neither ended nor overdue."""
        with self._lock:
            return self._queue.in_flight

    @property
    def waiting(self) -> int:
        """Statements in the queue."""
        with self._lock:
            return self._queue.waiting

    @property
    def service_time(self) -> float:
        """Moving average of the seconds that a statement takes on the server."""
        with self._lock:
            return self._queue.service_time

    @property
    def demoted(self) -> int:
        """Statements that the present order has demoted."""
        with self._lock:
            return self._queue.demoted

    @property
    def refused(self) -> dict[RefusalReason, int]:
        """Refused statements by reason."""
        with self._lock:
            return self._queue.refused

    def estimated_wait(self, priority: int) -> float:
        """Return the seconds that a new statement would wait, 0 if none."""
        with self._lock:
            return self._queue.estimated_wait(priority)

    def next_retry_after_ms(self) -> int:
        """Return the retry delay of a caller whom the server itself refused."""
        with self._lock:
            return self._queue.next_retry_after_ms()

    def set_max_in_flight(self, share: int) -> None:
        """Set this process's share of connections."""
        with self._lock:
            self._queue.set_max_in_flight(share)

    def set_slots(self, slots: int) -> None:
        """Set how many slots of the server bound the statements in flight.

        It has an effect only under an order that does not follow the latency.
        """
        with self._lock:
            self._queue.set_slots(slots)

    def set_queue_limit(self, queue_limit: int) -> None:
        """Set how many statements may wait."""
        with self._lock:
            self._queue.set_queue_limit(queue_limit)

    def set_order(self, order: QueueOrder) -> None:
        """Replace the queue discipline and keep the waiting statements.

        An order belongs to one queue. Setting the present one does nothing.
        """
        with self._lock:
            self._queue.set_order(order)

    def admit(
        self, deadline: float, priority: int, *, wait_until: float | None = None
    ) -> Result[Admission, Refusal]:
        """Wait for the right to run a statement.

        Args:
            deadline: clock seconds after which the answer is no longer needed.
            priority: its priority; a lower number goes first.
            wait_until: clock seconds until which it may wait; None for the deadline.
        """
        work = Work(priority, deadline, deadline, wait_until=wait_until)
        return self.admit_work(work)

    def admit_work(self, work: Work) -> Result[Admission, Refusal]:
        """Wait for the right to run a statement."""
        changed = threading.Condition(self._lock)
        with self._lock:
            requested = self._queue.request_work(work, changed.notify_all)
            if requested.is_error():
                return Error(requested.error)
            ticket = requested.ok
            while ticket.state is TicketState.WAITING:
                remaining = ticket.latest_start - self._clock.now()
                if remaining <= 0:
                    return Error(self._queue.refuse_ticket(ticket))
                self._clock.wait(changed, remaining)
            if ticket.state is TicketState.DISPLACED:
                return Error(self._queue.refuse_ticket(ticket))
            return Ok(Admission(partial(self._end, ticket)))

    def admit_continuation(self, work: Work) -> Admission:
        """Admit a statement of an open transaction; it never waits."""
        with self._lock:
            ticket = self._queue.begin_continuation(work)
        return Admission(partial(self._end, ticket))

    def _end(self, ticket: Ticket, latency: float, outcome: AdmissionOutcome) -> None:
        with self._lock:
            self._queue.end(ticket, latency, outcome)
