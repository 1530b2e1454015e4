"""Replay a load on several proxies of one backend server, in simulated time."""

import heapq
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from statistics import median
from typing import Protocol

from dogwoodspool_common import ManualClock
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_limits import (
    AdmissionOutcome,
    Priority,
    Refusal,
    RetrySchedule,
    StatementQueue,
    Ticket,
    TicketState,
)

SLOTS = 3
# Mean and spread of a statement's time, which has a lognormal distribution.
WORK_SECONDS = 0.024
WORK_SPREAD = 0.7
CAPACITY_PER_SECOND = SLOTS / WORK_SECONDS
PROXIES = 8
# A proxy's share of the server's connections, and the statements it lets wait.
SHARE = 4
QUEUE_LIMIT = 64
# How long one attempt may wait for its start, and how long a caller waits in all.
ATTEMPT_SECONDS = 0.1
CALLER_TIMEOUT_SECONDS = 1.0
RETRIES = 2


@dataclass(frozen=True, slots=True)
class Phase:
    """A phase of the load.

    Attributes:
        seconds: how long it takes.
        times_capacity: request rate as a multiple of the server's capacity.
        busy_proxies: number of proxies that all requests are spread over.
    """

    seconds: float
    times_capacity: float
    busy_proxies: int = PROXIES


@dataclass(slots=True)
class Outcomes:
    """How the requests of one replay ended."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    attempts: int = 0
    seconds_to_refusal: list[float] = field(default_factory=list)

    @property
    def requests(self) -> int:
        return self.in_time + self.late + self.refused

    @property
    def share_in_time(self) -> float:
        return self.in_time / self.requests

    @property
    def median_to_refusal(self) -> float:
        return median(self.seconds_to_refusal)

    def add(self, other: "Outcomes") -> None:
        self.in_time += other.in_time
        self.late += other.late
        self.refused += other.refused
        self.attempts += other.attempts
        self.seconds_to_refusal += other.seconds_to_refusal


class Simulation:
    """Discrete-event simulation: run events in the order of their times."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = count()

    def at(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._number), action))

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        self.at(self.clock.now() + seconds, action)

    def run(self) -> None:
        while self._events:
            time, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, time - self.clock.now()))
            action()


class Server:
    """A server with some slots and an unbounded queue, like real servers."""

    def __init__(self, simulation: Simulation, work: random.Random) -> None:
        self._simulation = simulation
        self._work = work
        self._running = 0
        self._waiting: deque[Callable[[], None]] = deque()

    def run(self, ended: Callable[[], None]) -> None:
        self._waiting.append(ended)
        self._start()

    def _start(self) -> None:
        while self._waiting and self._running < SLOTS:
            self._running += 1
            self._simulation.after(
                self._seconds(), partial(self._end, self._waiting.popleft())
            )

    def _seconds(self) -> float:
        factor = self._work.lognormvariate(-(WORK_SPREAD**2) / 2, WORK_SPREAD)
        return WORK_SECONDS * factor

    def _end(self, ended: Callable[[], None]) -> None:
        self._running -= 1
        ended()
        self._start()


class Attempt:
    """One attempt of a request at a proxy."""

    def __init__(
        self,
        simulation: Simulation,
        server: Server,
        caller_deadline: float,
        answered: Callable[[], None],
        refused: Callable[[float], None],
    ) -> None:
        self.simulation = simulation
        self.deadline = min(simulation.clock.now() + ATTEMPT_SECONDS, caller_deadline)
        self.refused = refused
        self._server = server
        self._answered = answered

    def start(self, ended: Callable[[float], None]) -> None:
        """Run on the server and report the latency to ``ended``."""
        began_at = self.simulation.clock.now()

        def end() -> None:
            ended(self.simulation.clock.now() - began_at)
            self._answered()

        self._server.run(end)


class Proxy(Protocol):
    """A proxy between the callers and the server."""

    def submit(self, attempt: Attempt) -> None:
        """Start an attempt now or later, or refuse it."""
        ...


class Unbounded:
    """Baseline without admission control: every attempt goes to the server."""

    def __init__(self, _simulation: Simulation) -> None:
        pass

    def submit(self, attempt: Attempt) -> None:
        attempt.start(lambda _latency: None)


class StaticSplit:
    """Baseline of a plain pool: an equal part of the slots, in order of arrival."""

    def __init__(self, _simulation: Simulation) -> None:
        self._limit = max(1, SLOTS // PROXIES)
        self._running = 0
        self._waiting: deque[Attempt] = deque()

    def submit(self, attempt: Attempt) -> None:
        self._waiting.append(attempt)
        attempt.simulation.at(attempt.deadline, lambda: self._expire(attempt))
        self._start()

    def _expire(self, attempt: Attempt) -> None:
        if attempt in self._waiting:
            self._waiting.remove(attempt)
            attempt.refused(1 / MILLISECONDS)

    def _start(self) -> None:
        while self._waiting and self._running < self._limit:
            self._running += 1
            self._waiting.popleft().start(lambda _latency: self._end())

    def _end(self) -> None:
        self._running -= 1
        self._start()


class Queued:
    """The project's admission queue."""

    def __init__(
        self, simulation: Simulation, retry_schedule: RetrySchedule | None = None
    ) -> None:
        self._simulation = simulation
        self._queue = StatementQueue(
            simulation.clock, SLOTS, SHARE, QUEUE_LIMIT, retry_schedule
        )

    def submit(self, attempt: Attempt) -> None:
        ticket: Ticket | None = None

        def changed() -> None:
            assert ticket is not None
            self._handle_state(ticket, attempt)

        requested = self._queue.request_admission(
            attempt.deadline, Priority.READ, changed
        )
        if requested.is_error():
            self._refuse(attempt, requested.error)
            return
        ticket = requested.ok
        self._handle_state(ticket, attempt)
        waiting = ticket
        self._simulation.at(ticket.latest_start, lambda: self._expire(waiting, attempt))

    def _handle_state(self, ticket: Ticket, attempt: Attempt) -> None:
        if ticket.state is TicketState.ADMITTED:
            attempt.start(partial(self._end, ticket))
        elif ticket.state is TicketState.DISPLACED:
            self._refuse(attempt, self._queue.refuse_ticket(ticket))

    def _end(self, ticket: Ticket, latency: float) -> None:
        self._queue.end(ticket, latency, AdmissionOutcome.ANSWERED)

    def _expire(self, ticket: Ticket, attempt: Attempt) -> None:
        if ticket.state is TicketState.WAITING:
            self._refuse(attempt, self._queue.refuse_ticket(ticket))

    def _refuse(self, attempt: Attempt, refusal: Refusal) -> None:
        attempt.refused(refusal.retry_after_ms / MILLISECONDS)


class Replay:
    """Replay the requests of a load; refused callers retry after the given delay.

    The same seed gives the same arrivals and the same work, whatever the proxies.
    """

    def __init__(
        self, build: Callable[[Simulation], Proxy], load: Sequence[Phase], seed: int
    ) -> None:
        self.simulation = Simulation()
        self.outcomes = Outcomes()
        self._server = Server(self.simulation, random.Random(seed + 1))
        self._proxies = [build(self.simulation) for _ in range(PROXIES)]
        self._schedule(load, random.Random(seed))

    def run(self) -> Outcomes:
        self.simulation.run()
        return self.outcomes

    def _schedule(self, load: Sequence[Phase], arrivals: random.Random) -> None:
        begin = 0.0
        for phase in load:
            rate = phase.times_capacity * CAPACITY_PER_SECOND
            time = begin + arrivals.expovariate(rate)
            while time < begin + phase.seconds:
                proxy = self._proxies[arrivals.randrange(phase.busy_proxies)]
                self.simulation.at(time, partial(self._begin, proxy))
                time += arrivals.expovariate(rate)
            begin += phase.seconds

    def _begin(self, proxy: Proxy) -> None:
        self._attempt(proxy, self.simulation.clock.now(), RETRIES)

    def _attempt(self, proxy: Proxy, began_at: float, retries: int) -> None:
        clock = self.simulation.clock
        attempted_at = clock.now()
        caller_deadline = began_at + CALLER_TIMEOUT_SECONDS
        self.outcomes.attempts += 1

        def answered() -> None:
            if clock.now() <= caller_deadline:
                self.outcomes.in_time += 1
            else:
                self.outcomes.late += 1

        def refused(retry_after: float) -> None:
            self.outcomes.seconds_to_refusal.append(clock.now() - attempted_at)
            if not retries or clock.now() + retry_after >= caller_deadline:
                self.outcomes.refused += 1
                return
            self.simulation.after(
                retry_after, lambda: self._attempt(proxy, began_at, retries - 1)
            )

        attempt = Attempt(
            self.simulation, self._server, caller_deadline, answered, refused
        )
        proxy.submit(attempt)
