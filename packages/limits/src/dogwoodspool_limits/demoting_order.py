"""Queue disciplines that serve what can be in time before what cannot."""

from bisect import insort

from dogwoodspool_common import log_rate_limited

from .const import WORK_TARGET_FACTOR
from .fair_share import FairShare, RoundRobinShare
from .kind_minimum import KindMinimum
from .leftover import Leftover
from .order import RetryEstimate
from .queue_load import QueueLoad
from .ticket import Ticket

Key = tuple[float, ...]
Entry = tuple[Key, int, Ticket]


class TargetOrder:
    """Nearest target first, with demotion.

    A statement that cannot meet its target goes behind all that can. It stays while
    the capacity that the others leave over is expected to serve it before its
    deadline. Within one account priority, client accounts share the capacity fairly.

    Args:
        fair_share: how accounts share the capacity.
    """

    def __init__(self, fair_share: FairShare | None = None) -> None:
        self._fair_share: FairShare = fair_share or RoundRobinShare()
        self._minimum = KindMinimum()
        self._timely: list[Entry] = []
        self._late: list[Entry] = []
        self._added = 0
        self._demoted = 0
        self._leftover = Leftover()
        self._expired: list[Ticket] = []

    def __len__(self) -> int:
        """Return the number of waiting statements."""
        return len(self._timely) + len(self._late)

    @property
    def follows_latency(self) -> bool:
        """Whether the limit of statements in flight follows the latency."""
        return False

    @property
    def demoted(self) -> int:
        """Statements that were demoted since the start."""
        return self._demoted

    def place(self, ticket: Ticket) -> None:
        """Determine the place of a new statement."""
        work = ticket.work
        if not self._timely:
            self._fair_share.reset()
        number = self._fair_share.next_round(work.account)
        is_starved = self._minimum.is_starved(work.kind)
        self._minimum.record_waiting(work.kind)
        ticket.key = (0 if is_starved else 1, *self._key(ticket, number))

    def max_wait(self, ticket: Ticket, load: QueueLoad) -> float:
        """Return how long a statement may wait and still be answered.

        At least half of the remaining time may be spent waiting, so that a service
        time above the deadline does not refuse every statement.
        """
        remaining = ticket.work.deadline - load.now()
        return max(remaining - ticket.expected, remaining / 2)

    def estimated_wait(self, ticket: Ticket, load: QueueLoad) -> float:
        """Return the seconds that a new statement would wait without room."""
        if self._is_timely(ticket, load):
            return self._timely_wait(ticket, load)
        return self._late_wait(ticket, load)

    def estimate_retry(self, ticket: Ticket, load: QueueLoad) -> RetryEstimate:
        """Return when the caller of a refused statement should retry.

        By then all statements that wait now are expected to have started. After that,
        room for retries arises at the rate that timely work leaves over. Half of the
        time until the deadline is kept for the wait after the retry.
        """
        late = sum(entry[2].expected for entry in self._late)
        remaining = ticket.work.deadline - load.now() - ticket.expected
        share = self._leftover.share(load.now())
        return RetryEstimate(
            wait=(self._timely_work() + late) / load.capacity,
            spacing=load.service_times.mean / load.capacity / share,
            horizon=max(0.0, remaining / 2),
        )

    def add(self, ticket: Ticket, load: QueueLoad) -> None:
        """Add a waiting statement and demote all that can no longer be in time."""
        self._added += 1
        self._fair_share.charge(ticket.work.account, ticket.expected)
        insort(self._timely, (ticket.key, self._added, ticket))
        self._demote_late(load)

    def remove(self, ticket: Ticket) -> None:
        """Remove a waiting statement."""
        entries = self._late if ticket.is_demoted else self._timely
        for index, entry in enumerate(entries):
            if entry[2] is ticket:
                del entries[index]
                self._return_work(ticket)
                return

    def take(self, max_priority: float, load: QueueLoad) -> Ticket | None:
        """Remove and return the next statement of at most a priority's number."""
        ticket = self._take_timely(max_priority, load)
        if ticket is not None:
            self._leftover.record(load.now(), ticket.expected, load.capacity)
            self._minimum.record_served(ticket.work.kind)
            self._fair_share.begin_round(int(ticket.key[-2]))
            return ticket
        return self._take_late(max_priority, load)

    def take_unservable(self, load: QueueLoad) -> list[Ticket]:
        """Remove and return statements that cannot be served any longer."""
        unservable, self._expired = self._expired, []
        if not self._late:
            return unservable
        now = load.now()
        capacity = load.capacity
        late_capacity = capacity * self._leftover.share(now)
        start = now + (self._timely_work() + load.service_times.mean) / capacity
        kept: list[Entry] = []
        for entry in self._late:
            ticket = entry[2]
            if start > ticket.latest_start:
                ticket.estimated_wait = start - now
                unservable.append(ticket)
                self._return_work(ticket)
            else:
                start += ticket.expected / late_capacity
                kept.append(entry)
        self._late = kept
        return unservable

    def displace(self, ticket: Ticket, load: QueueLoad) -> Ticket | None:
        """Remove and return the last statement if a new one goes before it."""
        if not self._is_timely(ticket, load):
            return None
        if self._late:
            displaced = self._late.pop()[2]
        elif not self._timely or self._timely[-1][0] <= ticket.key:
            return None
        else:
            displaced = self._timely.pop()[2]
        self._return_work(displaced)
        return displaced

    def drain(self) -> list[Ticket]:
        """Remove and return all waiting statements, the first one first."""
        drained = [entry[2] for entry in self._timely + self._late]
        self._timely, self._late = [], []
        for ticket in drained:
            ticket.is_demoted = False
        return drained

    def _key(self, ticket: Ticket, number: int) -> Key:
        work = ticket.work
        return (work.account_priority, number, work.target)

    def _return_work(self, ticket: Ticket) -> None:
        self._fair_share.charge(ticket.work.account, -ticket.expected)

    def _is_timely(self, ticket: Ticket, load: QueueLoad) -> bool:
        end = load.now() + self._timely_wait(ticket, load) + ticket.expected
        return end <= ticket.work.target

    def _timely_work(self) -> float:
        return sum(entry[2].expected for entry in self._timely)

    def _timely_wait(self, ticket: Ticket, load: QueueLoad) -> float:
        key = ticket.key
        ahead = sum(entry[2].expected for entry in self._timely if entry[0] <= key)
        return (ahead + load.service_times.mean) / load.capacity

    def _late_wait(self, ticket: Ticket, load: QueueLoad) -> float:
        latest_start = load.now() + self.max_wait(ticket, load)
        ahead = sum(
            entry[2].expected
            for entry in self._late
            if entry[2].latest_start <= latest_start
        )
        share = self._leftover.share(load.now())
        timely = self._timely_work() + load.service_times.mean
        return (timely + ahead / share) / load.capacity

    def _demote_late(self, load: QueueLoad) -> None:
        capacity = load.capacity
        start = load.now() + load.service_times.mean / capacity
        kept: list[Entry] = []
        for entry in self._timely:
            ticket = entry[2]
            if start + ticket.expected > ticket.work.target:
                self._demote(entry, load)
            else:
                start += ticket.expected / capacity
                kept.append(entry)
        self._timely = kept

    def _demote(self, entry: Entry, load: QueueLoad) -> None:
        _, number, ticket = entry
        self._demoted += 1
        ticket.is_demoted = True
        insort(self._late, ((ticket.latest_start,), number, ticket))
        if load.name:
            log_rate_limited(
                "admission_demoted",
                server=load.name,
                kind=ticket.work.kind,
                priority=ticket.priority,
                waiting=len(self),
            )

    def _take_timely(self, max_priority: float, load: QueueLoad) -> Ticket | None:
        now = load.now()
        while (ticket := self._take_first(self._timely, max_priority)) is not None:
            if now + ticket.expected <= ticket.work.target:
                return ticket
            self._added += 1
            self._demote((ticket.key, self._added, ticket), load)
        return None

    def _take_late(self, max_priority: float, load: QueueLoad) -> Ticket | None:
        now = load.now()
        while (ticket := self._take_first(self._late, max_priority)) is not None:
            if now <= ticket.latest_start:
                return ticket
            self._expired.append(ticket)
        return None

    @staticmethod
    def _take_first(entries: list[Entry], max_priority: float) -> Ticket | None:
        for index, entry in enumerate(entries):
            if entry[2].priority <= max_priority:
                del entries[index]
                return entry[2]
        return None


class PriorityOrder(TargetOrder):
    """Priority, then nearest target, with demotion.

    Among targets that are close to each other shorter work goes first, since more
    statements are then in time.
    """

    def _key(self, ticket: Ticket, number: int) -> Key:
        work = ticket.work
        target = work.target + WORK_TARGET_FACTOR * ticket.expected
        return (work.priority, work.account_priority, number, target)
