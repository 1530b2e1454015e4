"""Replay of a partition of a failure domain on its proxies, in simulated time."""

import random
import unittest
from dataclasses import dataclass, field

from dogwoodspool_common import ManualClock
from dogwoodspool_following import Rotation, RotationCoordinator
from dogwoodspool_following.const import ROTATION_CHECK_SECONDS

from .test_rotation import CUT_OFF, HEALTHY
from .test_rotation_coordinator import FakeReachability, coordinator

PROXIES = 4
ONE_OFF_PER_SECOND = 120
SESSIONS_PER_PROXY = 10
REQUESTS_PER_SESSION = 2.0
HEALTH_CHECK_SECONDS = 1.0
MAX_FAILED_CHECKS = 2
CUT_AT, CUT_UNTIL, END = 5.0, 11.0, 14.0
# Mean time from the start of the partition until a proxy's requests to servers and
# control have failed.
DETECTION_SECONDS = 0.6


@dataclass
class Proxy:
    """One proxy of the failure domain, with the callers that keep a connection."""

    clock: ManualClock
    first_check: float
    detects_after: float
    sessions: int = SESSIONS_PER_PROXY
    failed_checks: int = 0
    closed: int = 0
    rotation: Rotation = field(init=False)
    fake: FakeReachability = field(init=False)
    watch: RotationCoordinator = field(init=False)

    def __post_init__(self) -> None:
        self.rotation = Rotation(self.clock)
        self.fake = FakeReachability()
        self.watch = coordinator(self.rotation, self.fake, self.clock)
        self.watch.set_callers(self)

    @property
    def is_in_rotation(self) -> bool:
        return self.failed_checks < MAX_FAILED_CHECKS

    def check_reachability(self) -> None:
        now = self.clock.now()
        is_cut = CUT_AT + self.detects_after <= now < CUT_UNTIL
        self.fake.reachability = CUT_OFF if is_cut else HEALTHY
        self.watch.step()

    def close_idle(self, share: float) -> int:
        closed = min(self.sessions, max(1, round(self.sessions * share)))
        self.sessions -= closed
        self.closed += closed
        return closed


@dataclass
class Replay:
    """A balancer that checks each proxy once a second, and callers that follow it."""

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
        for tick in range(round(END / ROTATION_CHECK_SECONDS)):
            for proxy in proxies:
                if self.leaves:
                    proxy.check_reachability()
                self._check_health(proxy, tick)
            self._reconnect(proxies, rng)
            self._send(proxies, clock.now(), rng)
            clock.advance(ROTATION_CHECK_SECONDS)
        return self

    def _check_health(self, proxy: Proxy, tick: int) -> None:
        ticks = round(HEALTH_CHECK_SECONDS / ROTATION_CHECK_SECONDS)
        if tick % ticks == int(proxy.first_check * ticks):
            is_ready = proxy.rotation.answer_balancer()
            proxy.failed_checks = 0 if is_ready else proxy.failed_checks + 1

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
        """Return the targets of new connections; empty if other domains serve them."""
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
            count = int(rate * ROTATION_CHECK_SECONDS + rng.random())
            # A cut-off proxy serves only what its own failure domain has: a quarter of
            # the requests.
            is_refused = is_here and CUT_AT <= now < CUT_UNTIL
            refused = round(count * 0.75) if is_refused else 0
            self.refused += refused
            self.served += count - refused


class CutFailureDomainTests(unittest.TestCase):
    """A partition of 6 s, with callers that keep connections and others that do not.

    Proxies that stay ready refuse three quarters of the requests until the end. The
    balancer checks once a second, removes a proxy after two refusals and uses the other
    failure domains once none of the four is left.
    """

    def test_most_callers_are_served_elsewhere(self) -> None:
        for seed in range(10):
            with self.subTest(seed=seed):
                stays = Replay(seed, leaves=False).run()
                leaves = Replay(seed, leaves=True).run()
                # Up to 3 s of 6 for the proxies to detect the partition, for two
                # health checks, and for the callers to move.
                self.assertLess(leaves.refused, 0.5 * stays.refused)

    def test_no_caller_stays_at_a_proxy_that_left(self) -> None:
        for seed in range(10):
            with self.subTest(seed=seed):
                replay = Replay(seed, leaves=True).run()
                self.assertEqual(replay.elsewhere, PROXIES * SESSIONS_PER_PROXY)
