"""Decide which waiting statement runs next."""

from dataclasses import dataclass
from typing import Protocol

from .models import Priority
from .queue_load import QueueLoad
from .ticket import Ticket


@dataclass(frozen=True, slots=True)
class RetryEstimate:
    """When the callers of refused statements should retry.

    Attributes:
        wait: seconds until the queue is expected to have room.
        spacing: seconds from the retry of one caller to that of the next.
        horizon: seconds within which the retry is useful; None for the horizon of the
            retry schedule.
    """

    wait: float
    spacing: float
    horizon: float | None = None


class QueueOrder(Protocol):
    """A queue discipline; it keeps the waiting statements of one queue.

    An instance belongs to one queue.
    """

    def __len__(self) -> int:
        """Return the number of waiting statements."""
        ...

    @property
    def follows_latency(self) -> bool:
        """Whether the limit of statements in flight follows the latency."""
        ...

    @property
    def demoted(self) -> int:
        """Statements that were demoted since the start."""
        ...

    def place(self, ticket: Ticket) -> None:
        """Prepare a new statement for the estimate of its wait."""
        ...

    def max_wait(self, ticket: Ticket, load: QueueLoad) -> float:
        """Return the seconds that a statement may wait."""
        ...

    def estimated_wait(self, ticket: Ticket, load: QueueLoad) -> float:
        """Return the seconds that a new statement would wait without room."""
        ...

    def estimate_retry(self, ticket: Ticket, load: QueueLoad) -> RetryEstimate:
        """Return when the caller of a refused statement should retry."""
        ...

    def add(self, ticket: Ticket, load: QueueLoad) -> None:
        """Add a waiting statement."""
        ...

    def remove(self, ticket: Ticket) -> None:
        """Remove a waiting statement."""
        ...

    def take(self, max_priority: float, load: QueueLoad) -> Ticket | None:
        """Remove and return the next statement of at most a priority's number."""
        ...

    def take_unservable(self, load: QueueLoad) -> list[Ticket]:
        """Remove and return statements that cannot be served any longer."""
        ...

    def displace(self, ticket: Ticket, load: QueueLoad) -> Ticket | None:
        """Remove and return the last statement if a new one goes before it."""
        ...

    def drain(self) -> list[Ticket]:
        """Remove and return all waiting statements, the first one first."""
        ...


class ArrivalOrder:
    """Order by priority, then by arrival.

    A statement leaves the queue only when it is admitted or displaced, or when its own
    time to wait has passed.
    """

    def __init__(self) -> None:
        self._waiting: list[Ticket] = []

    def __len__(self) -> int:
        """Return the number of waiting statements."""
        return len(self._waiting)

    @property
    def follows_latency(self) -> bool:
        """Whether the limit of statements in flight follows the latency."""
        return True

    @property
    def demoted(self) -> int:
        """Statements that were demoted since the start; this order demotes none."""
        return 0

    def place(self, ticket: Ticket) -> None:
        """Prepare a new statement; its place needs no preparation here."""

    def max_wait(self, ticket: Ticket, load: QueueLoad) -> float:
        """Return how long a statement may wait and still be answered in time.

        A statement that starts shortly before its deadline would use the server and
        still be answered too late. At least half of the remaining time may be spent
        waiting, so that a service time above the deadline does not refuse every
        statement.
        """
        remaining = ticket.work.wait_end - load.now()
        return max(remaining - load.service_times.usual_bound, remaining / 2)

    def estimated_wait(self, ticket: Ticket, load: QueueLoad) -> float:
        """Return the seconds that a new statement would wait without room."""
        ahead = sum(1 for other in self._waiting if other.priority <= ticket.priority)
        # Statements run in batches of the limit, each in about one service time.
        return (ahead + 1) * load.service_times.mean / load.capacity

    def estimate_retry(self, ticket: Ticket, load: QueueLoad) -> RetryEstimate:
        """Return when the caller of a refused statement should retry."""
        ahead = sum(1 for other in self._waiting if other.priority <= Priority.READ)
        spacing = load.service_times.mean / load.capacity
        return RetryEstimate((ahead + 1) * spacing, spacing)

    def add(self, ticket: Ticket, load: QueueLoad) -> None:
        """Add a waiting statement."""
        self._waiting.append(ticket)
        self._waiting.sort(key=lambda waiting: waiting.priority)

    def remove(self, ticket: Ticket) -> None:
        """Remove a waiting statement."""
        self._waiting.remove(ticket)

    def take(self, max_priority: float, load: QueueLoad) -> Ticket | None:
        """Remove and return the next statement of at most a priority's number."""
        if not self._waiting or self._waiting[0].priority > max_priority:
            return None
        return self._waiting.pop(0)

    def take_unservable(self, load: QueueLoad) -> list[Ticket]:
        """Return no statement: each is refused when its own time has passed."""
        return []

    def displace(self, ticket: Ticket, load: QueueLoad) -> Ticket | None:
        """Remove and return the last statement if a new one goes before it."""
        if not self._waiting or self._waiting[-1].priority <= ticket.priority:
            return None
        return self._waiting.pop()

    def drain(self) -> list[Ticket]:
        """Remove and return all waiting statements, the first one first."""
        drained, self._waiting = self._waiting, []
        return drained
