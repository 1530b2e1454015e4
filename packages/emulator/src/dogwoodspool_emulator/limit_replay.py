"""Replay the operations of one account in several failure domains.

Run as a program, it prints a table of the ways to enforce a limit: the most operations
in any window against the bound, and how many operations fewer are admitted than by a
single bucket for all callers.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from dogwoodspool_accounts import (
    RETURN_AGE_SECONDS,
    TOKEN_AGE_MARGIN,
    TOKEN_AGE_SECONDS,
    Allocator,
    DomainAllowance,
    LimitReserve,
    LimitTolerance,
    TokenBucket,
)
from dogwoodspool_common import ManualClock, RateLimit

ACCOUNT = "shop"
STEP_SECONDS = 0.01
DRAW_STEPS = 2
# Time for which an operation waits for tokens before it is refused, when it arrives and
# when its token is exchanged.
WAIT_STEPS = 6
EXCHANGE_WAIT_STEPS = 3
DOMAINS = 4
# Delays between the token of an operation and its statement, and the period in which
# they come and go: operations that waited then reach servers beside those that do not.
DELAYS = (0.1, 0.4, 0.8)
DELAY_PERIOD_SECONDS = 4.0


@dataclass(frozen=True)
class Event:
    """Something that happens to a failure domain, to the leader or to the limit."""

    at: float
    kind: str
    domain: int = 0
    limit: RateLimit | None = None


@dataclass(frozen=True)
class Replay:
    """A load and the events that happen meanwhile.

    Attributes:
        rates: operations per second in each failure domain.
        delay: seconds between token and statement in the second half of each
            ``DELAY_PERIOD_SECONDS``.
    """

    name: str
    limit: RateLimit
    rates: Sequence[float]
    events: Sequence[Event] = ()
    burst: float = 1.0
    burst_at: float = 8.0
    burst_for: float = 3.0
    seconds: float = 30.0
    delay: float = 0.0

    def delay_at(self, at: float) -> float:
        """Return the delay of an operation that gets its token at a time."""
        is_delayed = at % DELAY_PERIOD_SECONDS >= DELAY_PERIOD_SECONDS / 2
        return self.delay if is_delayed else 0.0


@dataclass
class Outcome:
    """What callers got and what servers saw.

    Attributes:
        admitted: clock seconds at which operations reached a server.
        owed: operations that a single bucket for all callers admits.
    """

    admitted: list[float] = field(default_factory=list)
    owed: int = 0

    @property
    def shortfall(self) -> float:
        """Part of the operations within the limit that were refused."""
        return max(0, self.owed - len(self.admitted)) / max(1, self.owed)

    def most_in_window(self, window: float) -> int:
        """Return the most admitted operations in any window."""
        most = first = 0
        for last, at in enumerate(self.admitted):
            while self.admitted[first] <= at - window:
                first += 1
            most = max(most, last - first + 1)
        return most


class Way(Protocol):
    """A way to enforce one account's limit in several failure domains."""

    def admit(self, domain: int, *, is_new: bool) -> bool:
        """Return whether an operation may run, one that arrives or one that waits."""
        ...

    def exchange(self, domain: int, age: float) -> bool:
        """Return whether an admitted operation may still run after some seconds."""
        ...

    def give_back(self, domain: int, age: float) -> None:
        """Return the token of an operation that did not run."""
        ...

    def step(self, is_leader_up: bool, cut: Mapping[int, bool]) -> None:
        """Advance by one step."""
        ...

    def restart(self, domain: int) -> None:
        """Lose what a failure domain knows."""
        ...

    def lose_leader(self) -> None:
        """Replace the leader, which loses what it knows."""
        ...


WayFactory = Callable[[Callable[[], RateLimit], ManualClock], Way]


class FixedParts:
    """An equal part of the limit for each failure domain."""

    def __init__(self, limit: Callable[[], RateLimit], clock: ManualClock) -> None:
        self._limit = limit
        self._clock = clock
        self._buckets = [
            TokenBucket(self._part(), clock.now(), self._part().burst)
            for _ in range(DOMAINS)
        ]

    def _part(self) -> RateLimit:
        limit = self._limit()
        return RateLimit(limit.per_second / DOMAINS, limit.burst / DOMAINS)

    def admit(self, domain: int, *, is_new: bool) -> bool:
        """Return whether an operation may run."""
        bucket = self._buckets[domain]
        bucket.set_limit(self._part(), self._clock.now())
        return bucket.take(self._clock.now())

    def exchange(self, domain: int, age: float) -> bool:
        """Let every admitted operation run."""
        return True

    def give_back(self, domain: int, age: float) -> None:
        """Do nothing: every admitted operation runs."""

    def step(self, is_leader_up: bool, cut: Mapping[int, bool]) -> None:
        """Do nothing: the parts are fixed."""

    def restart(self, domain: int) -> None:
        """Lose what a failure domain knows."""
        self._buckets[domain] = TokenBucket(self._part(), self._clock.now())

    def lose_leader(self) -> None:
        """Do nothing: there is no leader."""


class LeasedRates:
    """Parts of the rate that the leader leases by demand; each lease expires."""

    LEASE_SECONDS = 2.0
    RENEW_SECONDS = 0.5

    def __init__(self, limit: Callable[[], RateLimit], clock: ManualClock) -> None:
        self._limit = limit
        self._clock = clock
        now = clock.now()
        none = RateLimit(0, 0)
        self._buckets = [TokenBucket(none, now) for _ in range(DOMAINS)]
        self._asked = [0] * DOMAINS
        self._demand = [0.0] * DOMAINS
        self._leases = [(0.0, 0.0)] * DOMAINS
        self._held = [(0.0, 0.0)] * DOMAINS
        self._renew_at = [now] * DOMAINS
        self._grants_from = now

    def admit(self, domain: int, *, is_new: bool) -> bool:
        """Return whether an operation may run."""
        now = self._clock.now()
        self._asked[domain] += is_new
        share, valid_until = self._held[domain]
        share = share if now < valid_until else 0.0
        limit = self._limit()
        part = RateLimit(limit.per_second * share, limit.burst * share)
        self._buckets[domain].set_limit(part, now)
        return self._buckets[domain].take(now)

    def exchange(self, domain: int, age: float) -> bool:
        """Let every admitted operation run."""
        return True

    def give_back(self, domain: int, age: float) -> None:
        """Do nothing: every admitted operation runs."""

    def step(self, is_leader_up: bool, cut: Mapping[int, bool]) -> None:
        """Advance by one step."""
        now = self._clock.now()
        for domain in range(DOMAINS):
            if now < self._renew_at[domain]:
                continue
            self._renew_at[domain] = now + self.RENEW_SECONDS
            asked, self._asked[domain] = self._asked[domain], 0
            if not is_leader_up or cut.get(domain) or now < self._grants_from:
                continue
            self._demand[domain] = asked / self.RENEW_SECONDS
            others = sum(
                share
                for index, (share, until) in enumerate(self._leases)
                if index != domain and until > now
            )
            rate = self._limit().per_second or 1.0
            total = sum(self._demand) or 1.0
            wanted = max(self._demand[domain] / max(total, rate), 0.05)
            if total < rate:
                # What nobody asks for is shared equally, for the next burst.
                wanted += (1 - total / rate) / DOMAINS
            share = max(0.0, min(wanted, 1 - others))
            self._leases[domain] = (share, now + self.LEASE_SECONDS)
            self._held[domain] = (share, now + self.LEASE_SECONDS)

    def restart(self, domain: int) -> None:
        """Lose what a failure domain knows."""
        self._buckets[domain] = TokenBucket(RateLimit(0, 0), self._clock.now())
        self._held[domain] = (0.0, 0.0)

    def lose_leader(self) -> None:
        """Replace the leader, which loses what it knows."""
        self._leases = [(0.0, 0.0)] * DOMAINS
        # The leases of the lost leader must have expired.
        self._grants_from = self._clock.now() + self.LEASE_SECONDS


class ReserveParts:
    """Base parts and a reserve that the leader gives out; the product's own code."""

    def __init__(self, limit: Callable[[], RateLimit], clock: ManualClock) -> None:
        self._limit = limit
        self._clock = clock
        self._allowances = [self._allowance() for _ in range(DOMAINS)]
        self._reserve = LimitReserve(self._allocator(), clock)
        self._leads_since = clock.now()
        self._drawing: list[tuple[float, DomainAllowance, dict[str, int]]] = []

    def _allowance(self) -> DomainAllowance:
        return DomainAllowance(self._allocator(), self._clock)

    def _allocator(self) -> Allocator:
        return Allocator(
            lambda _account: self._limit(), LimitTolerance(), lambda: DOMAINS
        )

    def admit(self, domain: int, *, is_new: bool) -> bool:
        """Return whether an operation may run."""
        allowance = self._allowances[domain]
        taken = allowance.take(ACCOUNT) if is_new else allowance.take_later(ACCOUNT, 0)
        return taken == 1

    def exchange(self, domain: int, age: float) -> bool:
        """Exchange the token of an operation if it is old."""
        if age <= TOKEN_AGE_SECONDS:
            return True
        return self._allowances[domain].exchange(ACCOUNT, age + TOKEN_AGE_MARGIN)

    def give_back(self, domain: int, age: float) -> None:
        """Return the token of an operation that did not run, unless it is too old."""
        if age <= RETURN_AGE_SECONDS:
            oldest = RETURN_AGE_SECONDS + TOKEN_AGE_MARGIN
            self._allowances[domain].give_back(ACCOUNT, 1, oldest)

    def step(self, is_leader_up: bool, cut: Mapping[int, bool]) -> None:
        """Advance by one step."""
        now = self._clock.now()
        arrived = [one for one in self._drawing if one[0] <= now]
        self._drawing = [one for one in self._drawing if one[0] > now]
        for _at, allowance, wanted in arrived:
            given = self._reserve.draw(wanted, self._leads_since)
            allowance.record_draw(wanted, given)
        if not is_leader_up:
            return
        drawing = {id(one[1]) for one in self._drawing}
        for domain, allowance in enumerate(self._allowances):
            if cut.get(domain) or id(allowance) in drawing:
                continue
            wanted = allowance.wanted()
            if wanted:
                at = now + DRAW_STEPS * STEP_SECONDS
                self._drawing.append((at, allowance, wanted))

    def restart(self, domain: int) -> None:
        """Lose what a failure domain knows."""
        self._allowances[domain] = self._allowance()

    def lose_leader(self) -> None:
        """Replace the leader, which loses what it knows."""
        self._leads_since = self._clock.now()
        self._drawing.clear()


WAYS: dict[str, WayFactory] = {
    "fixed parts": FixedParts,
    "leased rates": LeasedRates,
    "base and reserve": ReserveParts,
}


class Player:
    """Play one replay with one way."""

    def __init__(self, replay: Replay, way: WayFactory, seed: int) -> None:
        self._replay = replay
        self._clock = ManualClock()
        self._limit = replay.limit
        self._way = way(lambda: self._limit, self._clock)
        self._random = random.Random(seed)
        self._cut: dict[int, bool] = {}
        self._is_leader_up = True
        self._waiting: list[tuple[int, int]] = []
        self._delayed: list[tuple[float, float, int]] = []
        self._ideal = TokenBucket(self._limit, 0.0, self._limit.burst)
        self._warm_up()

    def _warm_up(self) -> None:
        """Let the process run for a while before the load arrives."""
        for _ in range(int(6 / STEP_SECONDS)):
            self._advance()

    def run(self) -> Outcome:
        """Play the replay."""
        outcome = Outcome()
        replay, began_at = self._replay, self._clock.now()
        events = sorted(replay.events, key=lambda event: event.at)
        for _ in range(int(replay.seconds / STEP_SECONDS)):
            now = self._clock.now() - began_at
            while events and events[0].at <= now:
                self._apply(events.pop(0))
            is_burst = 0 <= now - replay.burst_at < replay.burst_for
            factor = replay.burst if is_burst else 1.0
            arrivals = [
                domain
                for domain, rate in enumerate(replay.rates)
                for _ in range(self._poisson(rate * factor * STEP_SECONDS))
            ]
            self._random.shuffle(arrivals)
            for domain in arrivals:
                self._arrive(domain, outcome)
            self._admit_waiting(replay.delay_at(now))
            self._send_due(outcome)
            self._advance()
        return outcome

    def _arrive(self, domain: int, outcome: Outcome) -> None:
        now = self._clock.now()
        self._ideal.set_limit(self._limit, now)
        is_owed = self._ideal.take(now)
        outcome.owed += is_owed
        self._waiting.append((WAIT_STEPS, domain))

    def _admit_waiting(self, delay: float) -> None:
        now = self._clock.now()
        waiting, self._waiting = self._waiting, []
        for steps, domain in waiting:
            if self._way.admit(domain, is_new=steps == WAIT_STEPS):
                self._delayed.append((now + delay, now, domain))
            elif steps:
                self._waiting.append((steps - 1, domain))

    def _send_due(self, outcome: Outcome) -> None:
        now = self._clock.now()
        due = [one for one in self._delayed if one[0] <= now]
        self._delayed = [one for one in self._delayed if one[0] > now]
        for due_at, taken_at, domain in due:
            if self._way.exchange(domain, now - taken_at):
                outcome.admitted.append(now)
            elif now < due_at + EXCHANGE_WAIT_STEPS * STEP_SECONDS:
                self._delayed.append((due_at, taken_at, domain))
            else:
                self._way.give_back(domain, now - taken_at)

    def _advance(self) -> None:
        self._clock.advance(STEP_SECONDS)
        self._way.step(self._is_leader_up, self._cut)

    def _apply(self, event: Event) -> None:
        match event.kind:
            case "cut":
                self._cut[event.domain] = True
            case "heal":
                self._cut[event.domain] = False
            case "restart":
                self._way.restart(event.domain)
            case "leader down":
                self._is_leader_up = False
            case "leader up":
                self._is_leader_up = True
                self._way.lose_leader()
            case "limit":
                assert event.limit is not None
                self._limit = event.limit

    def _poisson(self, mean: float) -> int:
        count, at = 0, self._random.expovariate(1.0)
        while at < mean:
            count += 1
            at += self._random.expovariate(1.0)
        return count


EVEN = (0.25, 0.25, 0.25, 0.25)
ONE = (1.0, 0.0, 0.0, 0.0)


def load(
    name: str,
    per_second: float,
    use: float,
    spread: Sequence[float] = EVEN,
    *events: Event,
    burst: float = 1.0,
    delay: float = 0.0,
) -> Replay:
    """Return a replay of an account that uses a part of its limit."""
    rates = [per_second * use * part for part in spread]
    limit = RateLimit(per_second, per_second)
    return Replay(name, limit, rates, events, burst, delay=delay)


def delayed(delay: float) -> list[Replay]:
    """Return replays with delays between token and statement."""
    suffix = f", {delay} s of delay"
    return [
        load("below its limit" + suffix, 40, 0.625, EVEN, delay=delay),
        load("below its limit in one domain" + suffix, 40, 0.625, ONE, delay=delay),
        load("small account" + suffix, 5, 0.625, EVEN, delay=delay),
        load("twice its limit" + suffix, 40, 2.0, EVEN, delay=delay),
        load("large, twice its limit" + suffix, 170, 2.0, EVEN, delay=delay),
    ]


def restarts(*at: float) -> list[Event]:
    """Return restarts of the limit owners, one domain after the other."""
    return [Event(when, "restart", n % DOMAINS) for n, when in enumerate(at)]


REPLAYS = (
    load("below its limit, evenly", 40, 0.625),
    load("below its limit, from one domain", 40, 0.625, ONE),
    load("small account, from one domain", 2, 0.625, ONE),
    load("small account, evenly", 5, 0.625),
    load("small account, burst", 5, 0.625, EVEN, burst=1.5),
    load("smallest account, evenly", 1, 0.625),
    load("burst", 40, 0.625, EVEN, burst=1.9),
    load("twice its limit all the time", 40, 2.0),
    load("large, twice its limit", 170, 2.0),
    load(
        "limit lowered to a tenth",
        *(40, 0.625, EVEN),
        Event(10.0, "limit", limit=RateLimit(4, 4)),
    ),
    load(
        "limit raised",
        *(10, 2.0, EVEN),
        Event(10.0, "limit", limit=RateLimit(40, 40)),
    ),
    load(
        "domain cut off for 6 s",
        *(40, 0.625, EVEN),
        *(Event(10.0, "cut", 1), Event(16.0, "heal", 1)),
    ),
    load(
        "above its limit, domain cut off",
        *(40, 2.0, EVEN),
        *(Event(10.0, "cut", 1), Event(16.0, "heal", 1)),
    ),
    load(
        "leader lost for 1.5 s",
        *(40, 0.625, EVEN),
        *(Event(10.0, "leader down"), Event(11.5, "leader up")),
    ),
    load(
        "above its limit, leader lost",
        *(40, 2.0, EVEN),
        *(Event(10.0, "leader down"), Event(11.5, "leader up")),
        *(Event(13.0, "leader down"), Event(14.0, "leader up")),
    ),
    load(
        "owners killed in turn",
        *(40, 0.625, EVEN),
        *restarts(10.0, 10.5, 11.0, 11.5),
    ),
    load(
        "above its limit, owners killed",
        *(40, 2.0, EVEN),
        *restarts(10.0, 10.5, 11.0, 11.5),
    ),
    load(
        "large, above its limit, owners killed",
        *(170, 2.0, EVEN),
        *restarts(10.0, 10.5, 11.0, 11.5),
    ),
    *(replay for delay in DELAYS for replay in delayed(delay)),
)


def main() -> None:
    """Print the table of all ways."""
    tolerance = LimitTolerance()
    print("| replay | bound |" + "".join(f" {name} |" for name in WAYS))
    print("|---|---|" + "---|" * len(WAYS))
    for replay in REPLAYS:
        limits = [replay.limit, *(e.limit for e in replay.events if e.limit)]
        bound = max(tolerance.bound(limit) for limit in limits)
        cells = [replay.name, f"{bound:.0f}"]
        for way in WAYS.values():
            outcome = Player(replay, way, seed=1).run()
            most = outcome.most_in_window(tolerance.window)
            cells.append(f"{most}, {100 * outcome.shortfall:.1f} %")
        print("| " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
