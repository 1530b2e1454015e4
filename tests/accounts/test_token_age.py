"""Replayed waits between the token of an operation and its statement."""

import math
import random
import unittest
from collections.abc import Sequence
from dataclasses import dataclass, field

from dogwoodspool_accounts import (
    TOKEN_AGE_MARGIN,
    TOKEN_AGE_SECONDS,
    Allocator,
    DomainAllowance,
    LimitReserve,
    LimitTolerance,
)
from dogwoodspool_accounts.allocation import USE_SECONDS
from dogwoodspool_accounts.const import (
    LOCAL_HOLD_SECONDS,
    RETURN_AGE_SECONDS,
    SEND_SECONDS,
    STARTS_PER_WINDOW,
)
from dogwoodspool_common import ManualClock, RateLimit
from hypothesis import given, settings
from hypothesis import strategies as st

STEP_SECONDS = 0.02
REPLAY_SECONDS = 16.0
MAX_WAIT_SECONDS = 3.0
DOMAINS = 3
TOLERANCE = LimitTolerance()


@dataclass
class Phase:
    """What happens in some seconds of a replay.

    Attributes:
        demand: operations per second as a multiple of the limit.
        wait: longest wait between the arrival of an operation and its statement.
        is_released: whether all operations that wait go on at its beginning.
        not_run: part of the operations that do not run, as their server is full; their
            tokens are returned and their callers retry.
        lost: part of the operations whose callers leave; their tokens are lost.
    """

    demand: float
    wait: float
    is_released: bool
    not_run: float
    lost: float


@dataclass
class Waiting:
    """An operation that has a token and waits for its server."""

    domain: int
    arrived_at: float
    taken_at: float
    ready_at: float


@dataclass
class Account:
    """One account's callers, limit owners and leader, driven at random."""

    chance: random.Random
    clock: ManualClock = field(default_factory=ManualClock)
    waiting: list[Waiting] = field(default_factory=list)
    sent: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.clock.advance(10.0)
        rate = self.chance.choice((1, 8, 60, 120))
        self.limit = RateLimit(rate, rate * self.chance.choice((0.1, 0.3, 1.0)))
        self.bounds = [(0.0, TOLERANCE.bound(self.limit))]
        allocator = Allocator(lambda _: self.limit, TOLERANCE, lambda: DOMAINS)
        self.owners = [DomainAllowance(allocator, self.clock) for _ in range(DOMAINS)]
        self.allocator = allocator
        self.reserve = LimitReserve(allocator, self.clock)
        self.leads_since = 0.0
        self.restarts: list[list[float]] = [[] for _ in range(DOMAINS)]

    def play(self, phases: Sequence[Phase]) -> None:
        """Play some phases, each as long as the others."""
        steps = int(REPLAY_SECONDS / len(phases) / STEP_SECONDS)
        for phase in phases:
            if phase.is_released:
                for one in self.waiting:
                    one.ready_at = self.clock.now()
            for _step in range(steps):
                self.draw()
                self.arrive(phase)
                self.serve(phase)
                self.clock.advance(STEP_SECONDS)
            self.fail()

    def draw(self) -> None:
        """Draw for the owners that run short."""
        for owner in self.owners:
            wanted = owner.wanted()
            if wanted:
                asked_at = self.clock.now()
                given = self.reserve.draw(wanted, self.leads_since)
                owner.record_draw(wanted, given, asked_at)

    def arrive(self, phase: Phase) -> None:
        """Let operations arrive that get a token, or are refused."""
        mean = phase.demand * self.limit.per_second * STEP_SECONDS
        count = int(mean) + (self.chance.random() < mean % 1)
        now = self.clock.now()
        for _operation in range(count):
            domain = self.chance.choice((0, 0, 1, 2))
            if self.owners[domain].take("shop"):
                arrived_at = now + self.chance.uniform(0, LOCAL_HOLD_SECONDS)
                wait = self.chance.uniform(phase.wait / 2, phase.wait)
                ready_at = arrived_at + wait
                self.waiting.append(Waiting(domain, arrived_at, now, ready_at))

    def serve(self, phase: Phase) -> None:
        """Send the statements that waited, unless they do not run."""
        now = self.clock.now()
        due = [one for one in self.waiting if one.ready_at <= now]
        self.waiting = [one for one in self.waiting if one.ready_at > now]
        for one in due:
            age = max(0.0, now - one.arrived_at)
            fate = self.chance.random()
            if fate < phase.lost:
                continue
            owner = self.owners[one.domain]
            if fate < phase.lost + phase.not_run:
                if age <= RETURN_AGE_SECONDS:
                    owner.give_back("shop", 1, RETURN_AGE_SECONDS + TOKEN_AGE_MARGIN)
                continue
            is_old = age > TOKEN_AGE_SECONDS
            if is_old and not owner.exchange("shop", age + TOKEN_AGE_MARGIN):
                continue
            self.sent.append(now + self.chance.uniform(0, SEND_SECONDS))

    def fail(self) -> None:
        """Replace an owner or the leader, or change the limit."""
        now = self.clock.now()
        domain = self.chance.randrange(DOMAINS)
        recent = [at for at in self.restarts[domain] if at > now - 2 * TOLERANCE.window]
        kind = self.chance.choice(("owner", "owner", "leader", "limit", "none"))
        if kind == "owner" and len(recent) < STARTS_PER_WINDOW:
            self.restarts[domain].append(now)
            self.owners[domain] = DomainAllowance(self.allocator, self.clock)
        elif kind == "leader":
            self.leads_since = now
        elif kind == "limit":
            factor = self.chance.choice((0.1, 0.5, 2.0, 5.0))
            per_second, burst = self.limit.per_second, self.limit.burst
            self.limit = RateLimit(per_second * factor, burst * factor)
            self.bounds.append((now, TOLERANCE.bound(self.limit)))

    def bound(self, begins_at: float, ends_at: float) -> float:
        """Return the highest bound in force in a window or shortly before it."""
        ends = [at for at, _bound in self.bounds[1:]] + [math.inf]
        return max(
            bound
            for (at, bound), end in zip(self.bounds, ends, strict=True)
            if at <= ends_at and end >= begins_at - USE_SECONDS
        )

    def excess(self) -> float:
        """Return by how much the operations of any window exceed its bound at most."""
        seen = sorted(self.sent)
        excess, first = -math.inf, 0
        for last, at in enumerate(seen):
            while seen[first] <= at - TOLERANCE.window:
                first += 1
            bound = self.bound(at - TOLERANCE.window, at)
            excess = max(excess, last - first + 1 - bound)
        return excess


PARTS = st.sampled_from((0.0, 0.0, 0.3, 0.9))
PHASES = st.builds(
    Phase,
    demand=st.sampled_from((0.0, 0.6, 5.0, 5.0)),
    wait=st.sampled_from((0.0, 0.1, 0.4, 0.8, 2.0, MAX_WAIT_SECONDS)),
    is_released=st.booleans(),
    not_run=PARTS,
    lost=st.sampled_from((0.0, 0.0, 0.2)),
)


class TokenAgeTests(unittest.TestCase):
    """A limit holds however long operations wait between token and statement."""

    @given(
        st.lists(PHASES, min_size=2, max_size=10),
        st.integers(min_value=0, max_value=1_000_000),
    )
    @settings(max_examples=60, deadline=None, derandomize=True)
    def test_no_window_exceeds_the_bound(self, phases: list[Phase], seed: int) -> None:
        """Guard against tokens of one window that are used in another."""
        account = Account(random.Random(seed))
        account.play(phases)
        self.assertLessEqual(account.excess(), 0)

    def test_waiting_operations_that_are_released_stay_within_the_bound(self) -> None:
        """Guard against a stall of 3 s after which all operations run at once."""
        stall = Phase(5.0, MAX_WAIT_SECONDS, False, 0.0, 0.0)
        release = Phase(5.0, 0.0, True, 0.0, 0.0)
        for seed in range(6):
            account = Account(random.Random(seed))
            account.limit = RateLimit(100, 50)
            account.bounds = [(0.0, TOLERANCE.bound(account.limit))]
            account.play([stall, release, release, stall, release])
            self.assertLessEqual(account.excess(), 0)
