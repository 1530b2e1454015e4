"""Stateful property tests of the connection pool against a simple model."""

import unittest
from typing import Any, cast

import pymysql
from dogwoodspool_backend import (
    BackendConnection,
    ConnectFailedError,
    MySqlPool,
    PoolSettings,
    PoolTimeoutError,
)
from dogwoodspool_common import Address, BackendServer, ManualClock
from dogwoodspool_settings.models import Statements
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from .servers import server_at


class FakeWire:
    """Fake driver connection with a configurable network state."""

    def __init__(self) -> None:
        self.open = True
        self.in_transaction = False
        self.is_silent = False
        self.has_ended = False
        self.has_timed_out = False

    def set_deadline(self, deadline: float) -> None:
        pass

    def has_input(self) -> bool:
        return self.has_ended

    def ping(self) -> None:
        if self.is_silent:
            self.has_timed_out = True
            raise pymysql.OperationalError(2013, "timed out")

    def reset_session(self) -> None:
        self.ping()
        self.in_transaction = False

    def quit(self) -> None:
        self.open = False

    def abandon(self) -> None:
        self.open = False


class FakeNetwork:
    """Fake connector that records the connections opened to a server."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.is_up = True
        self.wires: list[FakeWire] = []

    def connect(
        self, server: BackendServer, deadline: float, account: str = ""
    ) -> BackendConnection:
        if not self.is_up:
            raise ConnectFailedError("the server is down")
        self.wires.append(FakeWire())
        wire = cast(Any, self.wires[-1])
        return BackendConnection(server, wire, self._clock, Statements())

    def open_wires(self) -> list[FakeWire]:
        return [wire for wire in self.wires if wire.open]


class PoolMachine(RuleBasedStateMachine):
    """Callers and probes come and go while limits and the network change."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.network = FakeNetwork(self.clock)
        self.limit = 4
        self.held: dict[BackendConnection, bool] = {}
        server = server_at(Address("127.0.0.1", 1))
        times = PoolSettings(check_after_idle=1, idle_expiry=5)
        self.pool = MySqlPool(server, self.network, self.clock, times, self.limit)

    def has_room(self, is_probe: bool) -> bool:
        callers = sum(not probing for probing in self.held.values())
        reserve = 1 if self.limit > 1 and not is_probe else 0
        others = len(self.held) if is_probe else callers
        return len(self.held) < self.limit and others < self.limit - reserve

    @rule()
    def probe(self) -> None:
        self.acquire(is_probe=True)

    @rule()
    def call(self) -> None:
        self.acquire(is_probe=False)

    def acquire(self, is_probe: bool) -> None:
        has_room = self.has_room(is_probe)
        try:
            connection = self.pool.acquire(self.clock.now(), is_probe=is_probe)
        except PoolTimeoutError:
            assert not has_room
            return
        except ConnectFailedError:
            assert has_room
            assert not self.network.is_up
            return
        assert has_room
        assert connection not in self.held
        wire = cast(Any, connection)._wire
        assert wire.open and not wire.has_ended
        assert not wire.in_transaction, "the last caller's transaction is still open"
        self.held[connection] = is_probe

    @precondition(lambda self: self.held)
    @rule(data=st.data(), reuse=st.booleans(), in_transaction=st.booleans())
    def release(self, data: st.DataObject, reuse: bool, in_transaction: bool) -> None:
        connection = data.draw(st.sampled_from(list(self.held)))
        cast(Any, connection)._wire.in_transaction = in_transaction
        del self.held[connection]
        self.pool.release(connection, reuse=reuse)

    @rule(limit=st.sampled_from([0, 1, 2, 3, 4, 4, 4]))
    def set_limit(self, limit: int) -> None:
        self.limit = limit
        self.pool.set_limit(limit)

    @rule(is_up=st.booleans())
    def switch_server(self, is_up: bool) -> None:
        self.network.is_up = is_up

    @rule()
    def use_many(self) -> None:
        """Leave as many idle connections as the callers' share allows."""
        before = set(self.held)
        while self.has_room(is_probe=False) and self.network.is_up:
            self.acquire(is_probe=False)
        for connection in [one for one in self.held if one not in before]:
            del self.held[connection]
            self.pool.release(connection, reuse=True)

    @rule(seconds=st.sampled_from([0.0, 2.0]))
    def silence(self, seconds: float) -> None:
        for wire in self.network.open_wires():
            wire.is_silent = True
        self.clock.advance(seconds)

    @rule()
    def end_from_outside(self) -> None:
        for wire in self.network.open_wires():
            wire.has_ended = True

    @rule(seconds=st.sampled_from([0.5, 2.0, 10.0]))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @invariant()
    def server_sees_what_the_pool_counts(self) -> None:
        opened = len(self.network.open_wires())
        assert opened == self.pool.open_count
        assert opened <= max(self.limit, len(self.held))
        assert self.pool.in_use == len(self.held)
        assert self.pool.waiting == 0

    @invariant()
    def nobody_else_closes_what_a_caller_holds(self) -> None:
        assert all(connection.is_open for connection in self.held)


class PoolStatesTests(unittest.TestCase):
    """Guard against leaked or shared connections and exceeded limits."""

    def test_states(self) -> None:
        machine = cast(Any, PoolMachine).TestCase
        machine.settings = settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=300,
            stateful_step_count=40,
        )
        machine("runTest").runTest()
