"""Replayed load: many proxies use one server that accepts few connections."""

import heapq
import random
import unittest
from dataclasses import dataclass, field

from dogwoodspool_common import BackendServer, ManualClock, Role
from dogwoodspool_connections import (
    ConnectionLimitError,
    ConnectionPool,
    PoolTimeoutError,
)
from dogwoodspool_pooler.ceiling import ConnectionCeiling
from dogwoodspool_pooler.const import CONNECTION_SHARE
from dogwoodspool_pooler.registry import POOL_SETTINGS
from dogwoodspool_sharing import Neighbour, ProxyDirectory, ServerLimits

from ..fakes import GROUP, FakeConnection, FakeServer

DOMAINS = 6
REQUESTS_PER_SECOND = 95.0
SECONDS = 20.0
STATEMENT_SECONDS = 0.03
UPTIME_SECONDS = 10.0


@dataclass
class Outcome:
    """Counts of the requests and connections of a replay."""

    requests: int = 0
    refused: int = 0
    opened: int = 0

    @property
    def opened_per_100(self) -> float:
        """Connections opened per 100 requests."""
        return 100 * self.opened / self.requests


@dataclass
class LimitedServer:
    """A server with a connection limit."""

    limit: int
    clock: ManualClock
    outcome: Outcome
    fake: FakeServer = field(default_factory=lambda: FakeServer("s1", Role.PRIMARY))
    connections: list[FakeConnection] = field(default_factory=list)

    def connect(
        self, server: BackendServer, deadline: float, account: str = ""
    ) -> FakeConnection:
        self.connections = [one for one in self.connections if one.is_open]
        if len(self.connections) >= self.limit:
            raise ConnectionLimitError("too many connections")
        self.outcome.opened += 1
        connection = FakeConnection(self.fake, server, self.clock)
        self.connections.append(connection)
        return connection


class Replay:
    """Requests that arrive at random proxies, each run on the pool that serves it."""

    def __init__(self, proxies: int, limit: int, *, is_shared: bool) -> None:
        self.clock = ManualClock()
        self.outcome = Outcome()
        self.limit = limit
        self.is_shared = is_shared
        self.random = random.Random(7)
        self.server = LimitedServer(limit, self.clock, self.outcome)
        in_domain = proxies // DOMAINS
        self.neighbours = [
            [Neighbour(f"p{domain}-{n}", f"p{domain}-{n}:1") for n in range(in_domain)]
            for domain in range(DOMAINS)
        ]
        self.directories: dict[str, ProxyDirectory] = {}
        self.pools: dict[str, ConnectionPool[FakeConnection]] = {}
        self.ceilings: dict[str, ConnectionCeiling] = {}

    def run(self) -> Outcome:
        """Replay all requests."""
        ends: list[tuple[float, int, str, FakeConnection]] = []
        at = 0.0
        while at < SECONDS:
            at += self.random.expovariate(REQUESTS_PER_SECOND)
            while ends and ends[0][0] <= at:
                ended_at, _, holder, connection = heapq.heappop(ends)
                self.move_to(ended_at)
                connection.answered_at = ended_at
                self.pools[holder].release(connection, reuse=True)
            self.move_to(at)
            self.outcome.requests += 1
            holder = self.holder()
            try:
                connection = self.pool(holder).acquire(at)
            except ConnectionLimitError:
                self.ceilings[holder].record_connection_refused(
                    self.pools[holder].open_count
                )
                self.outcome.refused += 1
                continue
            except PoolTimeoutError:
                self.outcome.refused += 1
                continue
            end = (at + STATEMENT_SECONDS, self.outcome.requests, holder, connection)
            heapq.heappush(ends, end)
        return self.outcome

    def move_to(self, at: float) -> None:
        self.clock.advance(max(0.0, at - self.clock.now()))
        for pool in self.pools.values():
            pool.close_expired()

    def holder(self) -> str:
        """Return the proxy whose pool serves the next request."""
        domain = self.random.choice(self.neighbours)
        own = self.random.choice(domain)
        if not self.is_shared:
            return own.name
        directory = self.directories.get(own.name)
        if directory is None:
            directory = ProxyDirectory(own, DOMAINS, self.clock)
            directory.adopt(domain)
            slots = self.server.fake.as_backend_server().slots
            directory.set_groups({GROUP: ServerLimits(slots, self.limit)})
            self.directories[own.name] = directory
        owners = directory.owners(GROUP)
        return owners[0].name if owners else own.name

    def pool(self, holder: str) -> ConnectionPool[FakeConnection]:
        if holder not in self.pools:
            described = self.server.fake.as_backend_server()
            highest = int(self.limit * CONNECTION_SHARE)
            ceiling = ConnectionCeiling(self.clock, highest, -UPTIME_SECONDS)
            self.ceilings[holder] = ceiling
            self.pools[holder] = ConnectionPool(
                described, self.server, self.clock, POOL_SETTINGS, ceiling.value()
            )
        pool = self.pools[holder]
        if pool.limit != self.ceilings[holder].value():
            pool.set_limit(self.ceilings[holder].value())
        return pool


class ConnectionLoadTests(unittest.TestCase):
    """Connections opened per request must not grow with the number of proxies."""

    def test_separate_pools_do_not_scale_to_many_proxies(self) -> None:
        """With many proxies, most requests open a connection or are refused.

        Each proxy has a pool of its own here, for comparison with the shared pools
        below.
        """
        few = Replay(12, 117, is_shared=False).run()
        many = Replay(192, 117, is_shared=False).run()
        self.assertGreater(many.opened_per_100, 3 * few.opened_per_100)
        too_many = Replay(192, 35, is_shared=False).run()
        self.assertEqual(few.refused, 0)
        self.assertGreater(too_many.refused / too_many.requests, 0.3)

    def test_shared_pools_scale_to_many_proxies(self) -> None:
        """Guard against more connections per request as proxies are added."""
        outcomes = [
            Replay(proxies, 35, is_shared=True).run() for proxies in (72, 192, 600)
        ]
        for outcome in outcomes:
            self.assertLess(outcome.refused / outcome.requests, 0.01)
        opened = [outcome.opened_per_100 for outcome in outcomes]
        self.assertLess(max(opened), 1.25 * min(opened))
