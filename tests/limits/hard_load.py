"""Replay a mix of operations on one server behind several admission queues."""

import heapq
import random
import threading
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from itertools import count

from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_limits import (
    AdmissionOutcome,
    ArrivalOrder,
    QueueOrder,
    Refusal,
    StatementQueue,
    Ticket,
    TicketState,
    Work,
)
from expression import Result

from .hard_load_models import MAX_STATEMENTS, Kind, Load, Report, Tally

# Spread of a statement's time, which has a lognormal distribution.
WORK_SPREAD = 0.5
THINK_SECONDS = 0.005
CONNECTIONS = 50
QUEUE_LIMIT = 64
# Part of its target that an operation may wait under the standing order.
WAIT_SHARE = 0.25


class SimulatedTime:
    """A clock and the events of a simulation."""

    def __init__(self) -> None:
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = count()

    def now(self) -> float:
        return self._now

    def sleep(self, seconds: float) -> None:
        raise NotImplementedError

    def wait(self, condition: threading.Condition, seconds: float) -> bool:
        raise NotImplementedError

    def at(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._number), action))

    def run(self) -> None:
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()


class Server:
    """A server with some slots and a queue in order of arrival."""

    def __init__(self, time: SimulatedTime, slots: int) -> None:
        self._time = time
        self._free = slots
        self._waiting: deque[tuple[float, Callable[[], None]]] = deque()

    def run(self, seconds: float, ended: Callable[[], None]) -> None:
        self._waiting.append((seconds, ended))
        self._start()

    def _start(self) -> None:
        while self._waiting and self._free:
            self._free -= 1
            seconds, ended = self._waiting.popleft()
            self._time.at(self._time.now() + seconds, partial(self._end, ended))

    def _end(self, ended: Callable[[], None]) -> None:
        self._free += 1
        ended()
        self._start()


class Operation:
    """One operation: a statement or a transaction, with its retries."""

    def __init__(
        self, replay: "Replay", kind: Kind, queue: StatementQueue, seconds: list[float]
    ) -> None:
        self._replay = replay
        self._time = replay.time
        self._kind = kind
        self._queue = queue
        self._seconds = seconds
        self._retries = replay.load.retries
        self._tally = replay.report.tallies[kind.name]
        self._target = self._time.now() + kind.target
        self._deadline = self._time.now() + kind.limit
        self.account = ""

    def attempt(self) -> None:
        asked_at = self._time.now()
        ticket: Ticket | None = None

        def changed() -> None:
            if ticket is None or ticket.state is TicketState.WAITING:
                return
            waited = self._time.now() - asked_at
            self._tally.longest_wait = max(self._tally.longest_wait, waited)
            if ticket.state is TicketState.ADMITTED:
                self._run(ticket, 0)
            else:
                self._refused(self._queue.refuse_ticket(ticket))

        requested = self._request(changed)
        if requested.is_error():
            self._refused(requested.error)
            return
        ticket = requested.ok
        changed()
        waiting = ticket

        def expire() -> None:
            if waiting.state is not TicketState.WAITING:
                return
            if waiting.latest_start > self._time.now():
                self._time.at(waiting.latest_start, expire)
                return
            waited = self._time.now() - asked_at
            self._tally.longest_wait = max(self._tally.longest_wait, waited)
            self._refused(self._queue.refuse_ticket(waiting))

        if ticket.state is TicketState.WAITING:
            self._time.at(ticket.latest_start, expire)

    def _request(self, changed: Callable[[], None]) -> Result[Ticket, Refusal]:
        if not self._replay.is_standing:
            return self._queue.request_work(self._work(), changed)
        start_by = self._target - self._kind.target * (1 - WAIT_SHARE)
        start_by = max(start_by, self._time.now() + 0.001)
        return self._queue.request_admission(start_by, self._kind.priority, changed)

    def _work(self) -> Work:
        kind = self._kind
        return Work(
            kind.priority, self._target, self._deadline, kind.name, self.account
        )

    def _run(self, ticket: Ticket | None, number: int) -> None:
        began_at = self._time.now()

        def ended() -> None:
            latency = self._time.now() - began_at
            if ticket is not None:
                self._queue.end(ticket, latency, AdmissionOutcome.ANSWERED)
            self._continue(number + 1)

        self._replay.server.run(self._seconds[number], ended)

    def _continue(self, number: int) -> None:
        now = self._time.now()
        if number == len(self._seconds):
            self._answered(now)
            return
        self._target += THINK_SECONDS
        self._deadline += THINK_SECONDS

        def send() -> None:
            if self._replay.is_standing:
                self._run(None, number)
            else:
                self._run(self._queue.begin_continuation(self._work()), number)

        self._time.at(now + THINK_SECONDS, send)

    def _answered(self, now: float) -> None:
        if now <= self._target:
            self._tally.in_time += 1
            self._replay.account_in_time[self.account] += 1
        elif now <= self._deadline:
            self._tally.late += 1
        else:
            self._tally.refused += 1

    def _refused(self, refusal: Refusal) -> None:
        retry_at = self._time.now() + refusal.retry_after_ms / MILLISECONDS
        if not self._retries or retry_at >= self._deadline:
            self._tally.refused += 1
            return
        self._retries -= 1
        self._time.at(retry_at, self.attempt)


class Replay:
    """Replay a load; the same seed gives the same operations and work."""

    def __init__(
        self, load: Load, build: Callable[[], QueueOrder], seed: int = 0
    ) -> None:
        self.load = load
        self.time = SimulatedTime()
        self.server = Server(self.time, load.slots)
        self.is_standing = isinstance(build(), ArrivalOrder)
        tallies = {kind.name: Tally() for kind in load.kinds}
        self.report = Report(load.kinds, tallies)
        self.queues = [self._build_queue(build()) for _ in range(load.queues)]
        self.account_in_time: Counter[str] = Counter()
        self.account_asked: Counter[str] = Counter()
        self._schedule(random.Random(seed))

    def run(self) -> Report:
        self.time.run()
        return self.report

    def _build_queue(self, order: QueueOrder) -> StatementQueue:
        share = CONNECTIONS // self.load.queues
        slots = self.load.bound or self.load.slots
        return StatementQueue(self.time, slots, share, QUEUE_LIMIT, order=order)

    def _schedule(self, choices: random.Random) -> None:
        kinds = self.load.kinds
        shares = [kind.share for kind in kinds]
        mean = sum(kind.share * kind.mean_work for kind in kinds) / sum(shares)
        rate = self.load.times * self.load.slots / mean
        time = choices.expovariate(rate)
        while time < self.load.seconds:
            kind = choices.choices(kinds, shares)[0]
            queue = choices.choices(self.queues, self.load.weights or None)[0]
            seconds = self._seconds(kind, choices)
            account = self._account(choices)
            self.time.at(time, partial(self._begin, kind, queue, seconds, account))
            time += choices.expovariate(rate)

    def _account(self, choices: random.Random) -> str:
        if not self.load.accounts:
            return ""
        weights = [self.load.heavy] + [1.0] * (self.load.accounts - 1)
        return str(choices.choices(range(self.load.accounts), weights)[0])

    def _begin(
        self, kind: Kind, queue: StatementQueue, seconds: list[float], account: str
    ) -> None:
        operation = Operation(self, kind, queue, seconds)
        operation.account = account
        self.account_asked[account] += 1
        operation.attempt()

    @staticmethod
    def _seconds(kind: Kind, choices: random.Random) -> list[float]:
        statements = 1
        if choices.random() < kind.transactions:
            statements = choices.randint(2, MAX_STATEMENTS)
        return [
            kind.work * choices.lognormvariate(-(WORK_SPREAD**2) / 2, WORK_SPREAD)
            for _ in range(statements)
        ]
