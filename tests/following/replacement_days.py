"""Print how late changes reach proxies while all control processes are replaced.

The proxies of one day poll emulated control processes with given addresses; polls and
calls of the leader share the contacts, as they do in a process, and take the time that
they would take. Run by hand:
``python -m tests.following.replacement_days FIRST LAST [ANSWER [LATE [check]]]``, where
each poll takes ANSWER seconds more, and a share of LATE answers comes too late. With
``check`` only view checks bring newer views, after the first one.
"""

import random
import sys
from dataclasses import dataclass, field
from typing import Any, Final, cast
from unittest import mock

from dogwoodspool_api import ControlView, MemberMessage, WatchResponse
from dogwoodspool_common import (
    Address,
    JsonClient,
    PeerRefusedError,
    PeerUnreachableError,
)
from dogwoodspool_common.const import HTTP_CONNECT_TIMEOUT
from dogwoodspool_following import (
    ControlPeers,
    ProxyView,
    ViewCheck,
    ViewConfirmation,
    ViewStore,
    WatchCoordinator,
)
from loguru import logger

from .baton import Baton, BatonExecutor

WAIT_MS: Final = 1_000
ROUND_TRIP: Final = 0.003
CONNECTION_LOSS_SECONDS: Final = 4.0
STABLE_SECONDS: Final = 4.0
# Longer than any poll may take.
TOO_LATE_SECONDS: Final = 2.0
REMOVAL_SECONDS: Final = 120.0
CHANGE_SECONDS: Final = 0.33
REPORT_TIMEOUT: Final = 0.5
REPORT_RETRY_SECONDS: Final = 0.2

# Addresses of the first and of the last three processes, by failure domain.
SYSTEMS: Final = (
    (
        ("10.1.0.3", "10.2.0.146", "10.3.0.175"),
        ("10.1.0.12", "10.2.0.107", "10.3.0.90"),
        7360,
    ),
    (
        ("10.1.0.194", "10.2.0.73", "10.3.0.90"),
        ("10.1.0.106", "10.2.0.229", "10.3.0.169"),
        7720,
    ),
)
DOMAINS: Final = ("southeast-a", "southeast-b", "southeast-c")
PROXIES: Final = (("a", 4), ("b", 3), ("c", 2))


@dataclass
class Process:
    """A control process of the day; times in seconds of the day."""

    address: Address
    domain: str
    starts: float
    joins: float
    votes_from: float
    lost: float = float("inf")
    votes_until: float = float("inf")
    way: str = "silent"


@dataclass
class Day:
    """What happens to the control processes on one day."""

    processes: dict[Address, Process] = field(default_factory=dict)
    gaps: list[tuple[float, float]] = field(default_factory=list)
    events: list[float] = field(default_factory=list)
    acknowledged: list[float] = field(default_factory=list)
    end: float = 60.0
    answer: float = 0.0
    late: float = 0.0
    has_checks_only: bool = False

    def has_leader(self, now: float) -> bool:
        return not any(start <= now < end for start, end in self.gaps)

    def version(self, now: float) -> int:
        return sum(at <= now for at in self.acknowledged)

    def next_change(self, after: float) -> float:
        return next((at for at in self.acknowledged if at > after), float("inf"))

    def members(self, now: float) -> list[MemberMessage]:
        return [
            MemberMessage(
                address=str(one.address),
                failure_domain=one.domain,
                is_voter=one.votes_from <= now < one.votes_until,
            )
            for one in self.processes.values()
            if one.joins <= now < one.lost + REMOVAL_SECONDS
        ]

    def stable_since(self, now: float) -> float:
        return max((at for at in self.events if at <= now), default=0.0)


def day_of(rng: random.Random) -> Day:
    """Return a day on which all first processes are replaced, one after another."""
    first, last, port = rng.choice(SYSTEMS)
    day = Day()
    order = [0, 1, 2]
    rng.shuffle(order)
    leader = rng.choice(order)
    for place, host in enumerate(first):
        address = Address(host, port)
        day.processes[address] = Process(address, DOMAINS[place], 0.0, 0.0, 0.0)
    holders = [day.processes[Address(host, port)] for host in first]
    at = rng.uniform(12.0, 18.0)
    way = rng.choice(("silent", "refused", "reset", "hanging", "mixed"))
    for place in order:
        old = holders[place]
        old.lost = at
        old.way = (
            rng.choice(("silent", "refused", "reset", "hanging"))
            if way == "mixed"
            else way
        )
        starts = at + rng.uniform(1.9, 2.3)
        joins = starts + rng.uniform(0.4, 1.2)
        votes = max(joins + 0.3, at + rng.uniform(2.5, 3.3))
        gap = rng.uniform(0.7, 2.0) if place == leader else 0.0
        if gap:
            day.gaps.append((at, at + gap))
            leader = rng.choice([one for one in (0, 1, 2) if one != place])
        address = Address(last[place], port)
        new = Process(address, DOMAINS[place], starts, joins, votes)
        old.votes_until = votes + 0.05
        day.processes[address] = holders[place] = new
        day.events += [at, starts]
        at += rng.uniform(7.0, 10.5)
    now = 1.0
    while now < day.end - 6.0:
        if day.has_leader(now) and rng.random() < rng.choice((0.3, 0.9)):
            day.acknowledged.append(now)
        now += CHANGE_SECONDS
    return day


class Proxy:
    """One proxy of a day: its polls, and its calls of the leader."""

    def __init__(
        self, day: Day, clock: Baton, name: str, domain: str, rng: random.Random
    ) -> None:
        self._day, self._clock, self._rng = day, clock, rng
        self.name = name
        seeds = [one.address for one in day.processes.values() if one.starts == 0.0]
        rng.shuffle(seeds)
        self.peers = ControlPeers(tuple(seeds), domain, name)
        self.views = ViewStore(domain, clock)
        self._watch = WatchCoordinator(
            self.views, self.peers, cast(JsonClient, self), clock, WAIT_MS
        )
        # Connections that are kept, by address and time of their last use.
        self._connections: dict[Address, int] = {}
        with mock.patch(
            "dogwoodspool_following.read_attempts.ThreadPoolExecutor",
            return_value=BatonExecutor(clock),
        ):
            confirmation = ViewConfirmation(
                self.views, self.peers, cast(JsonClient, self), clock
            )
        self._check = ViewCheck(self.views, confirmation, clock)
        self.views.add_listener(self._record_view)
        self._recorded = 1
        self.late: list[tuple[float, float, int]] = []
        self._call_at = rng.choice((0.0, 0.3, 1.0))

    def follow(self) -> None:
        """Poll, or check the view, until the day ends."""
        while self._clock.now() < self._day.end:
            is_checking = self._day.has_checks_only and self.views.is_filled
            self._clock.sleep(self._check.step() if is_checking else self._watch.step())
        self._record_until(len(self._day.acknowledged))

    def _record_view(self, view: ProxyView) -> None:
        self._record_until(view.version)

    def _record_until(self, newest: int) -> None:
        for version in range(self._recorded + 1, newest + 1):
            self._record(version, self._clock.now())
        self._recorded = max(self._recorded, newest)

    def report(self) -> None:
        """Call the leader now and then, and at once while control is degraded."""
        while self._clock.now() < self._day.end:
            if self.peers.contact().is_degraded or self._rng.random() < self._call_at:
                address = self.peers.leader_or_next()
                try:
                    self._call(address)
                except PeerRefusedError as error:
                    self.peers.record_refusal(address, error)
                except PeerUnreachableError:
                    self.peers.record_failure(address)
                else:
                    self.peers.record_leader_answer(address)
            self._clock.sleep(REPORT_RETRY_SECONDS)

    def _record(self, version: int, now: float) -> None:
        at = self._day.acknowledged[version - 1]
        # Late where control has been stable, or beyond what instability allows.
        stable = now - max(at, self._day.stable_since(now) + STABLE_SECONDS)
        self.late.append((now - at, stable, version))

    def _call(self, address: Address) -> None:
        day, clock = self._day, self._clock
        self._reach(address, REPORT_TIMEOUT)
        clock.sleep(ROUND_TRIP)
        now = clock.now()
        process = day.processes[address]
        if now < process.joins or not day.has_leader(now):
            raise PeerRefusedError(421, "not_leader", "")
        leader = self._leader(now)
        if leader != address:
            raise PeerRefusedError(421, "not_leader", str(leader))

    def _leader(self, now: float) -> Address:
        live = [
            one
            for one in self._day.processes.values()
            if one.votes_from <= now < one.lost
        ]
        return live[0].address

    def _reach(self, address: Address, timeout: float) -> None:
        """Fail as a call of a process that cannot be reached does."""
        day, clock = self._day, self._clock
        process = day.processes[address]
        now = clock.now()
        if now < process.starts:
            clock.sleep(min(timeout, HTTP_CONNECT_TIMEOUT))
            raise PeerUnreachableError("no host")
        if now >= process.lost:
            self._fail(process, timeout)
        self._connections[address] = max(1, self._connections.get(address, 0))

    def _fail(self, process: Process, timeout: float) -> None:
        clock = self._clock
        now = clock.now()
        kept = self._connections.get(process.address, 0)
        if process.way in ("refused", "reset"):
            clock.sleep(ROUND_TRIP)
        elif process.way == "hanging":
            clock.sleep(timeout)
        elif kept and now < process.lost + CONNECTION_LOSS_SECONDS:
            self._connections[process.address] = kept - 1
            clock.sleep(min(timeout, process.lost + CONNECTION_LOSS_SECONDS - now))
        else:
            clock.sleep(min(timeout, HTTP_CONNECT_TIMEOUT))
        raise PeerUnreachableError("no answer")

    def get(
        self, address: Address, _path: str, query: dict[str, str], timeout: float
    ) -> dict[str, Any]:
        """Answer a poll as the process at an address would."""
        day, clock = self._day, self._clock
        self._reach(address, timeout)
        process = day.processes[address]
        started = clock.now()
        after = int(query["after"])
        must_confirm = query.get("confirmed") == "1"
        if must_confirm and (started < process.joins or not day.has_leader(started)):
            clock.sleep(0.4)
            raise PeerRefusedError(503, "not_confirmed", "no quorum")
        ends = started + int(query["wait_ms"]) / 1_000
        if self._known(process, started) > after:
            ends = started
        else:
            ends = min(ends, day.next_change(max(started, process.joins)) + ROUND_TRIP)
        if process.lost <= ends:
            self._connections[address] = 2
            if process.way in ("refused", "reset"):
                clock.sleep(process.lost - started)
                raise PeerUnreachableError("reset")
            clock.sleep(timeout)
            raise PeerUnreachableError("no answer")
        is_late = self._rng.random() < day.late
        taken = ends - started + ROUND_TRIP
        taken += TOO_LATE_SECONDS if is_late else day.answer
        if taken > timeout:
            clock.sleep(timeout)
            raise PeerUnreachableError("timed out")
        clock.sleep(taken)
        now = clock.now()
        is_current = now >= process.joins and not any(
            start + 0.8 <= now < end for start, end in day.gaps
        )
        version = self._known(process, now)
        return WatchResponse(
            view=_view(version) if version > after else None,
            leader=str(self._leader(now)) if is_current else None,
            members=day.members(now) if is_current else [],
            is_current=is_current,
        ).model_dump(mode="json")

    def _known(self, process: Process, now: float) -> int:
        return 0 if now < process.joins else self._day.version(now - ROUND_TRIP)


def _view(version: int) -> ControlView:
    return ControlView(version=version, groups=[], servers=[], proxies=[], settings=[])


def play(
    seed: int, answer: float = 0.0, late: float = 0.0, *, has_checks_only: bool = False
) -> list[tuple[float, float, int, str]]:
    """Play one day; return how late each change was at each proxy.

    Args:
        seed: seed of the day.
        answer: seconds that each answer takes more.
        late: share of the answers that come too late.
        has_checks_only: whether only view checks bring newer views.
    """
    rng = random.Random(seed)
    day, clock = day_of(rng), Baton()
    day.answer, day.late = answer, late
    day.has_checks_only = has_checks_only
    proxies = [
        Proxy(day, clock, f"edge-southeast-{zone}-{n}", f"southeast-{zone}", rng)
        for zone, count in PROXIES
        for n in range(1, count + 1)
    ]
    clock.play([one for proxy in proxies for one in (proxy.follow, proxy.report)])
    return [(*one, proxy.name) for proxy in proxies for one in proxy.late]


def main() -> None:
    """Play the days with the seeds of a range."""
    logger.remove()
    seeds = range(int(sys.argv[1]), int(sys.argv[2]))
    slow = [float(one) for one in sys.argv[3:5]]
    has_checks_only = "check" in sys.argv
    late = [
        (*one, seed)
        for seed in seeds
        for one in latest(play(seed, *slow, has_checks_only=has_checks_only))
    ]
    print(
        "latest after the acknowledgement:", *sorted(late, reverse=True)[:5], sep="\n  "
    )
    stable = sorted(late, key=lambda one: -one[1])
    print("latest in a stable group:", *stable[:5], sep="\n  ")


def latest(
    found: list[tuple[float, float, int, str]],
) -> list[tuple[float, float, int, str]]:
    """Return the changes that came latest, by both measures."""
    return [max(found), max(found, key=lambda one: one[1])] if found else []


if __name__ == "__main__":
    main()
