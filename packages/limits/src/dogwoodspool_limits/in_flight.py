"""Count the statements in flight and bound the new ones."""

from collections import deque
from math import inf

from .concurrency import AdaptiveConcurrency
from .const import CONTINUATION_WEIGHT, URGENT_EXTRA_ADMISSIONS
from .ticket import Ticket


class InFlight:
    """Statements in flight by priority, with those of open transactions.

    Statements of open transactions always run; new ones get what they leave of the
    limit. One new statement may always be in flight beside them, within the
    process's share of connections: otherwise long transactions could keep new work
    out for good.

    A statement counts until its answer, but no longer than a time that the queue sets
    when it begins: if answers are lost, the server's slots are free long before the
    time limits of the statements end.
    """

    def __init__(self, concurrency: AdaptiveConcurrency) -> None:
        self._concurrency = concurrency
        self._by_priority: dict[int, int] = {}
        self._total = 0
        self._continuations = 0
        self._mean_continuations = 0.0
        self._overdue: deque[tuple[float, Ticket]] = deque()

    @property
    def total(self) -> int:
        """Statements in flight."""
        return self._total

    @property
    def capacity(self) -> float:
        """Statements outside of open transactions that may be in flight, on average."""
        return max(1.0, self._concurrency.limit - self._mean_continuations)

    @property
    def highest_admissible(self) -> float | None:
        """Priority number up to which one more new statement may run; None for none.

        Where many processes share a server's slots, the limit may be 1. Without an
        admission above the limit, an urgent statement would then wait for one of a
        lower priority.
        """
        limit, ceiling = self._concurrency.limit, self._concurrency.ceiling
        if self._total < limit:
            return inf
        if self._total < ceiling and self._total == self._continuations:
            return inf
        if self._total >= min(limit + URGENT_EXTRA_ADMISSIONS, ceiling):
            return None
        urgent = 0
        for priority in sorted(self._by_priority):
            urgent += self._by_priority[priority]
            if urgent >= limit:
                return priority - 1
        return inf

    def has_room(self, priority: int) -> bool:
        """Return whether one more new statement of a priority may be in flight."""
        if self._total < self._concurrency.limit:
            return True
        highest = self.highest_admissible
        return highest is not None and priority <= highest

    def begin(self, ticket: Ticket, overdue_at: float) -> None:
        """Count a statement that was admitted.

        Args:
            ticket: the statement.
            overdue_at: clock seconds after which it no longer counts.
        """
        ticket.is_counted = True
        self._overdue.append((overdue_at, ticket))
        counts = self._by_priority
        counts[ticket.priority] = counts.get(ticket.priority, 0) + 1
        self._total += 1
        if ticket.is_continuation:
            self._continuations += 1

    def drop_overdue(self, now: float) -> None:
        """Stop counting the statements that have been unanswered for too long."""
        while self._overdue:
            overdue_at, ticket = self._overdue[0]
            if ticket.is_counted and overdue_at > now:
                return
            self._overdue.popleft()
            self.end(ticket)

    def end(self, ticket: Ticket) -> None:
        """Count the end of a statement; a second call has no effect."""
        if not ticket.is_counted:
            return
        ticket.is_counted = False
        change = self._continuations - self._mean_continuations
        self._mean_continuations += CONTINUATION_WEIGHT * change
        self._by_priority[ticket.priority] -= 1
        self._total -= 1
        if ticket.is_continuation:
            self._continuations -= 1
