"""Replay a cut of a failure domain on its proxies, in simulated time."""

import random
import unittest
from dataclasses import dataclass, field

from dogwoodspool_common import ManualClock
from dogwoodspool_following import Rotation, RotationCoordinator
from dogwoodspool_following.const import LOOK_SECONDS

from .test_rotation import CUT_OFF, WELL
from .test_rotation_watch import FakeReach, coordinator

PROXIES = 4
ONE_OFF_PER_SECOND = 120
SESSIONS_PER_PROXY = 10
REQUESTS_PER_SESSION = 2.0
ASK_SECONDS = 1.0
MISSES = 2
CUT_AT, CUT_UNTIL, END = 5.0, 11.0, 14.0
# From the cut until a proxy's requests and its questions to control have failed.
DETECTION_SECONDS = 0.6


@dataclass
class Proxy:
    """One proxy of the failure domain, with the callers that keep a connection."""

    clock: ManualClock
    asked_first: float
    detects_after: float
    sessions: int = SESSIONS_PER_PROXY
    misses: int = 0
    closed: int = 0
    rotation: Rotation = field(init=False)
    fake: FakeReach = field(init=False)
    watch: RotationCoordinator = field(init=False)

    def __post_init__(self) -> None:
        self.rotation = Rotation(self.clock)
        self.fake = FakeReach()
        self.watch = coordinator(self.rotation, self.fake, self.clock)
        self.watch.set_callers(self)

    @property
    def is_in_rotation(self) -> bool:
        return self.misses < MISSES

    def look(self) -> None:
        now = self.clock.now()
        is_cut = CUT_AT + self.detects_after <= now < CUT_UNTIL
        self.fake.reach = CUT_OFF if is_cut else WELL
        self.watch.step()

    def close_idle(self, share: float) -> int:
        closed = min(self.sessions, max(1, round(self.sessions * share)))
        self.sessions -= closed
        self.closed += closed
        return closed


@dataclass
class Replay:
    """A balancer that asks each proxy once a second, and callers that follow it."""

    seed: int
    leaves: bool
    served: int = 0
    refused: int = 0

    def run(self) -> "Replay":
        rng = random.Random(self.seed)
        clock = ManualClock()
        proxies = [
            Proxy(clock, rng.random(), DETECTION_SECONDS * (0.5 + rng.random()))
            for _ in range(PROXIES)
        ]
        self.elsewhere = 0
        for tick in range(round(END / LOOK_SECONDS)):
            for proxy in proxies:
                if self.leaves:
                    proxy.look()
                self._ask(proxy, tick)
            self._reconnect(proxies, rng)
            self._send(proxies, clock.now(), rng)
            clock.advance(LOOK_SECONDS)
        return self

    def _ask(self, proxy: Proxy, tick: int) -> None:
        ticks = round(ASK_SECONDS / LOOK_SECONDS)
        if tick % ticks == int(proxy.asked_first * ticks):
            is_ready = proxy.rotation.answer_balancer()
            proxy.misses = 0 if is_ready else proxy.misses + 1

    def _reconnect(self, proxies: list[Proxy], rng: random.Random) -> None:
        targets = self._targets(proxies)
        for proxy in proxies:
            for _ in range(proxy.closed):
                if targets:
                    rng.choice(targets).sessions += 1
                else:
                    self.elsewhere += 1
            proxy.closed = 0

    def _targets(self, proxies: list[Proxy]) -> list[Proxy]:
        """Return where new connections go; none where other domains take them."""
        ready = [one for one in proxies if one.is_in_rotation]
        return proxies if 0 < len(ready) < PROXIES / 2 else ready

    def _send(self, proxies: list[Proxy], now: float, rng: random.Random) -> None:
        kept = sum(one.sessions for one in proxies) * REQUESTS_PER_SESSION
        away = self.elsewhere * REQUESTS_PER_SESSION
        if self._targets(proxies):
            kept += ONE_OFF_PER_SECOND
        else:
            away += ONE_OFF_PER_SECOND
        for rate, is_here in ((kept, True), (away, False)):
            count = int(rate * LOOK_SECONDS + rng.random())
            # A cut-off proxy serves what its own failure domain has: a quarter.
            is_refused = is_here and CUT_AT <= now < CUT_UNTIL
            refused = round(count * 0.75) if is_refused else 0
            self.refused += refused
            self.served += count - refused


class CutFailureDomainTests(unittest.TestCase):
    """Six seconds of a cut, with callers that keep connections and others that do not.

    Proxies that stay ready refuse three quarters of the requests until the end. The
    balancer asks once a second, takes a proxy out after two refusals and uses the
    other failure domains once none of the four is left.
    """

    def test_most_callers_are_served_elsewhere(self) -> None:
        for seed in range(10):
            with self.subTest(seed=seed):
                stays = Replay(seed, leaves=False).run()
                leaves = Replay(seed, leaves=True).run()
                # 3 s of 6 for the proxies to notice, for two questions of the
                # balancer, and for the callers to move.
                self.assertLess(leaves.refused, 0.5 * stays.refused)

    def test_nobody_stays_at_a_proxy_that_left(self) -> None:
        for seed in range(10):
            with self.subTest(seed=seed):
                replay = Replay(seed, leaves=True).run()
                self.assertEqual(replay.elsewhere, PROXIES * SESSIONS_PER_PROXY)
