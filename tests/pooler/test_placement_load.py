"""Replay read loads to compare the placement of reads with simpler strategies."""

import random
import unittest
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from itertools import count

from dogwoodspool_common import Address, BackendServer
from dogwoodspool_pooler.placement import rank_for_read
from dogwoodspool_routing import ServerTable

from tests.limits.replay import (
    CAPACITY_PER_SECOND,
    SLOTS,
    Server,
    Simulation,
)

GROUP = "chat"
DOMAINS = ("a", "b", "c")
PRIMARY = "s-a"
TARGET_SECONDS = 0.25
SECONDS = 20.0
SEEDS = range(3)

Choice = Callable[["Proxy"], str]


def backend_server(domain: str) -> BackendServer:
    """Return the server of a failure domain."""
    return BackendServer(
        name=f"s-{domain}",
        group=GROUP,
        failure_domain=domain,
        address=Address("10.0.0.1", ord(domain)),
        slots=SLOTS,
        connections=20,
    )


@dataclass(slots=True)
class Outcomes:
    """Durations and placement of the reads of a replay."""

    seconds: list[float] = field(default_factory=list)
    stayed: int = 0

    @property
    def share_in_target(self) -> float:
        good = sum(1 for one in self.seconds if one <= TARGET_SECONDS)
        return good / len(self.seconds)

    @property
    def share_that_stayed(self) -> float:
        return self.stayed / len(self.seconds)


class Proxy:
    """One proxy of a failure domain with its own server table."""

    def __init__(self, domain: str, simulation: Simulation) -> None:
        self.domain = domain
        self.table = ServerTable(simulation.clock)
        self.table.adopt_committed([backend_server(one) for one in DOMAINS])
        self.turn = count()


def ranked(proxy: Proxy) -> str:
    """Choose with ``rank_for_read``."""
    servers = proxy.table.servers(GROUP)
    best = rank_for_read(
        servers, primary=PRIMARY, failure_domain=proxy.domain, excluded=()
    )
    return best[0].name


def own_domain_only(proxy: Proxy) -> str:
    """Always choose the server of the proxy's own failure domain."""
    return f"s-{proxy.domain}"


def round_robin(proxy: Proxy) -> str:
    """Choose the servers in turn."""
    return f"s-{DOMAINS[next(proxy.turn) % len(DOMAINS)]}"


class ReadReplay:
    """Reads in three failure domains, each with one server and one proxy."""

    def __init__(
        self, choose: Choice, rates: Mapping[str, float], seed: int, outcomes: Outcomes
    ) -> None:
        self._choose = choose
        self._outcomes = outcomes
        self._simulation = Simulation()
        work = random.Random(seed + 1)
        self._servers = {f"s-{one}": Server(self._simulation, work) for one in DOMAINS}
        arrivals = random.Random(seed)
        for domain, rate in rates.items():
            proxy = Proxy(domain, self._simulation)
            time = arrivals.expovariate(rate)
            while time < SECONDS:
                self._simulation.at(time, partial(self._read, proxy))
                time += arrivals.expovariate(rate)

    def run(self) -> None:
        self._simulation.run()

    def _read(self, proxy: Proxy) -> None:
        name = self._choose(proxy)
        began_at = self._simulation.clock.now()
        proxy.table.begin(name)
        self._outcomes.stayed += name == f"s-{proxy.domain}"

        def ended() -> None:
            seconds = self._simulation.clock.now() - began_at
            proxy.table.end(name, seconds, is_answered=True)
            self._outcomes.seconds.append(seconds)

        self._servers[name].run(ended)


class PlacementLoadTests(unittest.TestCase):
    """The same reads with the same work, placed by different strategies."""

    def replay(self, choose: Choice, **times_capacity: float) -> Outcomes:
        rates = {
            domain: times * CAPACITY_PER_SECOND
            for domain, times in times_capacity.items()
        }
        outcomes = Outcomes()
        for seed in SEEDS:
            ReadReplay(choose, rates, seed, outcomes).run()
        return outcomes

    def test_callers_of_one_domain_use_the_servers_of_others(self) -> None:
        # Guards against most callers arriving in one failure domain: its server gets
        # more reads than it can run, each queues behind all reads before it, and the
        # other servers are idle.
        placed = self.replay(ranked, a=0.2, b=1.4, c=0.2)
        in_own_domain = self.replay(own_domain_only, a=0.2, b=1.4, c=0.2)
        self.assertGreater(placed.share_in_target, 0.95)
        self.assertLess(in_own_domain.share_in_target, 0.6)

    def test_reads_stay_in_their_domain_while_it_has_room(self) -> None:
        # Traffic between failure domains is charged. Round-robin sends two thirds of
        # all reads elsewhere, although the server of their own domain is idle.
        placed = self.replay(ranked, b=0.4, c=0.4)
        spread = self.replay(round_robin, b=0.4, c=0.4)
        self.assertGreater(placed.share_that_stayed, 0.8)
        self.assertLess(spread.share_that_stayed, 0.4)
        self.assertGreater(placed.share_in_target, 0.99)
