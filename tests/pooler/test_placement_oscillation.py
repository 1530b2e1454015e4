"""Replay reads of 80 processes that each choose servers for themselves."""

import math
import random
import unittest
from collections import Counter
from collections.abc import Callable
from functools import partial
from statistics import mean

from dogwoodspool_common import Address, BackendServer
from dogwoodspool_pooler.lag import LagTracker
from dogwoodspool_pooler.read_choice import ReadChooser, ReadConditions
from dogwoodspool_pooler.read_cost import LoadCost
from dogwoodspool_pooler.replica_lag import ReplicaLag
from dogwoodspool_routing import ServerTable

from tests.limits.replay import CAPACITY_PER_SECOND, SLOTS, Server, Simulation

GROUP = "chat"
DOMAINS = ("a", "b", "c")
PRIMARY = "s-a"
PROCESSES = 80
SECONDS = 40.0
WARM_UP_SECONDS = 5.0
WINDOW_SECONDS = 0.5


def backend_server(domain: str) -> BackendServer:
    """Return the server of a failure domain."""
    address = Address("10.0.0.1", ord(domain))
    return BackendServer(f"s-{domain}", GROUP, domain, address, SLOTS, 20)


# Begins a statement of a process.
Begin = Callable[["Process"], None]


class Process:
    """One process with its own server table, queueing nothing itself."""

    def __init__(self, number: int, simulation: Simulation) -> None:
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.table = ServerTable(simulation.clock)
        self.table.adopt_committed([backend_server(one) for one in DOMAINS])
        self._chooser = ReadChooser(
            LoadCost(lambda _group: 1 / PROCESSES, lambda _server: None),
            LagTracker(simulation.clock),
            ReplicaLag(simulation.clock),
            simulation.clock,
            random.Random(number),
        )

    def choose(self) -> str:
        """Choose the server of a read."""
        return self.choose_of(*(f"s-{one}" for one in DOMAINS))

    def choose_of(self, *names: str) -> str:
        """Choose one of some servers."""
        servers = [one for one in self.table.servers(GROUP) if one.name in names]
        conditions = ReadConditions(PRIMARY, self.domain, (), None, 0.0)
        choice = self._chooser.choose(servers, conditions)
        assert choice is not None
        return choice.server.name


class Replay:
    """Reads and writes at a rate relative to the capacity of one server."""

    def __init__(self, reads: float, writes: float) -> None:
        self.simulation = Simulation()
        self.windows: dict[int, Counter[str]] = {}
        self.durations: list[float] = []
        work = random.Random(1)
        self._servers = {f"s-{one}": Server(self.simulation, work) for one in DOMAINS}
        self._processes = [
            Process(number, self.simulation) for number in range(PROCESSES)
        ]
        arrivals = random.Random(2)
        self._schedule(arrivals, reads, self._read)
        self._schedule(arrivals, writes, partial(self._run, PRIMARY))
        self.simulation.run()

    def shares(self, server: str) -> list[float]:
        """Return a server's share of the reads of each window."""
        return [
            counts[server] / counts.total()
            for window, counts in sorted(self.windows.items())
            if window * WINDOW_SECONDS >= WARM_UP_SECONDS
        ]

    def excess_deviation(self, server: str) -> float:
        """Return the deviation of the shares relative to independent choices."""
        shares = self.shares(server)
        share = mean(shares)
        squares = mean((one - share) ** 2 for one in shares)
        count = mean(counts.total() for counts in self.windows.values())
        return math.sqrt(squares / (share * (1 - share) / count))

    def _schedule(self, arrivals: random.Random, times: float, begin: Begin) -> None:
        rate = times * CAPACITY_PER_SECOND
        time = arrivals.expovariate(rate)
        while time < SECONDS:
            process = arrivals.choice(self._processes)
            self.simulation.at(time, partial(begin, process))
            time += arrivals.expovariate(rate)

    def _read(self, process: Process) -> None:
        name = process.choose()
        window = int(self.simulation.clock.now() / WINDOW_SECONDS)
        self.windows.setdefault(window, Counter())[name] += 1
        self._run(name, process)

    def _run(self, name: str, process: Process) -> None:
        began_at = self.simulation.clock.now()
        process.table.begin(name)

        def ended() -> None:
            seconds = self.simulation.clock.now() - began_at
            self.durations.append(seconds)
            process.table.end(name, seconds, is_answered=True)

        self._servers[name].run(ended)


class OscillationTests(unittest.TestCase):
    """Load does not move back and forth between servers."""

    def test_80_processes_do_not_move_their_reads_together(self) -> None:
        # Guards against processes that all see one server as the cheapest, send it all
        # reads, and then all move to the next one.
        for reads, writes in ((0.6, 0.2), (1.4, 0.3), (1.7, 0.35)):
            replay = Replay(reads, writes)
            for server in ("s-a", "s-b", "s-c"):
                with self.subTest(reads=reads, server=server):
                    self.assertLess(replay.excess_deviation(server), 1.5)

    def test_equal_observations_do_not_lead_to_equal_choices(self) -> None:
        """Guard against 80 processes that choose the same of two equal replicas."""
        simulation = Simulation()
        chosen: Counter[str] = Counter()
        for number in range(PROCESSES):
            process = Process(len(DOMAINS) * number, simulation)
            chosen[process.choose_of("s-b", "s-c")] += 1
        self.assertGreater(min(chosen["s-b"], chosen["s-c"]), PROCESSES / 4)
