"""Tests of the connection pool."""

import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from unittest import mock

from dogwoodspool_backend import (
    BackendConnection,
    ConnectFailedError,
    Connector,
    MySqlPool,
    OutcomeUnknownError,
    PoolClosedError,
    PoolSettings,
    PoolTimeoutError,
)
from dogwoodspool_common import ManualClock

from .servers import CLOCK, Relay, ScriptedServer, connector, pool_at, server_at


def run(pool: MySqlPool, sql: str, timeout: float = 5) -> bytes | None:
    """Run a statement on a connection of the pool and return its value."""
    connection = pool.acquire(CLOCK.now() + 5)
    try:
        with connection.execute(sql, timeout) as result:
            rows = list(result.rows)
    finally:
        pool.release(connection, reuse=connection.is_open)
    return rows[0][0] if rows else None


class PoolTestCase(unittest.TestCase):
    """Set up a scripted server behind a relay."""

    def setUp(self) -> None:
        self.server = self.enterContext(ScriptedServer())
        self.relay = self.enterContext(Relay(self.server.address))

    def pool(self, limit: int) -> MySqlPool:
        pool = pool_at(self.relay.address, limit)
        self.addCleanup(pool.unload)
        return pool

    def acquire_all(self, pool: MySqlPool) -> list[BackendConnection]:
        return [pool.acquire(CLOCK.now() + 5) for _ in range(pool.caller_limit)]


class LimitTests(PoolTestCase):
    """Guard against a pool that opens more connections than its share.

    Backend servers accept few connections.
    """

    def test_callers_are_served_in_order_of_arrival(self) -> None:
        pool = self.pool(1)
        held = pool.acquire(CLOCK.now() + 5)
        served: list[int] = []

        def caller(number: int) -> None:
            connection = pool.acquire(CLOCK.now() + 10)
            served.append(number)
            pool.release(connection, reuse=True)

        threads = []
        for number in range(5):
            thread = threading.Thread(target=caller, args=(number,))
            thread.start()
            threads.append(thread)
            while pool.waiting <= number:
                time.sleep(0.001)
        self.assertEqual(pool.demand, 7)
        pool.release(held, reuse=True)
        for thread in threads:
            thread.join(10)
        self.assertEqual(served, [0, 1, 2, 3, 4])
        self.assertEqual(pool.open_count, 1)

    def test_wait_ends_at_the_deadline(self) -> None:
        pool = self.pool(0)
        with self.assertRaises(PoolTimeoutError):
            pool.acquire(CLOCK.now() + 0.05)
        self.assertEqual(pool.waiting, 0)

    def test_open_connections_never_exceed_a_changing_limit(self) -> None:
        pool = self.pool(4)
        highest = 0
        limits = (1, 3, 2, 4)

        def caller(number: int) -> None:
            nonlocal highest
            for step in range(10):
                run(pool, f"ECHO {number} {step}")

        with ThreadPoolExecutor(8) as executor:
            futures = [executor.submit(caller, number) for number in range(8)]
            while not all(future.done() for future in futures):
                for limit in limits:
                    pool.set_limit(limit)
                    highest = max(highest, pool.open_count)
                    time.sleep(0.001)
        for future in futures:
            future.result()
        self.assertLessEqual(highest, 4)
        pool.set_limit(1)
        self.assertEqual(pool.in_use, 0)
        self.assertLessEqual(pool.open_count, 1)

    def test_connection_above_a_lowered_limit_closes_on_release(self) -> None:
        pool = self.pool(3)
        held = self.acquire_all(pool)
        pool.set_limit(1)
        for connection in held:
            pool.release(connection, reuse=True)
        self.assertEqual(pool.open_count, 1)

    def test_failed_connect_releases_its_slot(self) -> None:
        pool = self.pool(1)
        self.relay.refuse()
        for _ in range(3):
            with self.assertRaises(ConnectFailedError):
                pool.acquire(CLOCK.now() + 1)
        self.assertEqual(pool.open_count, 0)

    def test_probe_does_not_reduce_the_callers_share(self) -> None:
        pool = self.pool(2)
        probing = pool.acquire(CLOCK.now() + 5, is_probe=True)
        self.assertEqual(run(pool, "ECHO 1"), b"1")
        pool.release(probing, reuse=True)
        held = pool.acquire(CLOCK.now() + 5)
        with self.assertRaises(PoolTimeoutError):
            pool.acquire(CLOCK.now() + 0.05)
        probing = pool.acquire(CLOCK.now() + 5, is_probe=True)
        pool.release(probing, reuse=False)
        pool.release(held, reuse=False)
        self.assertEqual(run(pool, "ECHO 2"), b"2")

    def test_unloaded_pool_rejects_waiting_callers(self) -> None:
        pool = self.pool(1)
        held = pool.acquire(CLOCK.now() + 5)
        with ThreadPoolExecutor(1) as executor:
            waiter = executor.submit(pool.acquire, CLOCK.now() + 30)
            while not pool.waiting:
                time.sleep(0.001)
            pool.unload()
            with self.assertRaises(PoolClosedError):
                waiter.result(10)
        pool.release(held, reuse=True)
        self.assertEqual(pool.open_count, 0)


class DemandTests(PoolTestCase):
    """Measurement of the demand by which control leases connections."""

    def test_demand_is_the_recent_peak(self) -> None:
        clock = ManualClock()
        connecting = mock.Mock(spec=Connector)
        connecting.connect.side_effect = lambda server, _deadline, _account: (
            connector().connect(server, CLOCK.now() + 5)
        )
        server = server_at(self.server.address)
        pool = MySqlPool(server, connecting, clock, PoolSettings(), 3)
        held = [pool.acquire(1), pool.acquire(1)]
        clock.advance(10)
        self.assertEqual(pool.demand, 3)
        for connection in held:
            pool.release(connection, reuse=False)
        self.assertEqual(pool.demand, 3)
        clock.advance(10)
        self.assertEqual(pool.demand, 0)


class ReuseTests(PoolTestCase):
    """Guard against state or answers leaking to the next user of a connection."""

    def test_session_state_of_the_last_caller_is_cleared(self) -> None:
        pool = self.pool(1)
        run(pool, "KEEP secret")
        self.assertIsNone(run(pool, "KEPT"))
        self.assertEqual(self.relay.accepted, 1)

    def test_partially_read_answer_is_not_read_by_the_next_caller(self) -> None:
        pool = self.pool(1)
        connection = pool.acquire(CLOCK.now() + 5)
        result = connection.execute("ROWS 50", 5, may_change_session=False)
        next(result.rows)
        pool.release(connection, reuse=True)
        self.assertEqual(run(pool, "ECHO mine"), b"mine")

    def test_late_answers_are_discarded(self) -> None:
        """Guard against reading the late answer to another caller's statement.

        Many callers share few connections and some statements time out. Their
        answers arrive while other callers wait for their own.
        """
        pool = self.pool(3)

        def caller(number: int) -> None:
            for step in range(10):
                text = f"{number} {step}"
                if (number + step) % 5 == 0:
                    with self.assertRaises(OutcomeUnknownError):
                        run(pool, "SLEEP 0.02", timeout=0.01)
                self.assertEqual(run(pool, f"ECHO {text}"), text.encode())

        with ThreadPoolExecutor(8) as executor:
            for future in [executor.submit(caller, number) for number in range(8)]:
                future.result(60)


class SilentConnectionTests(PoolTestCase):
    """Guard against waiting on connections whose packets are dropped.

    Open connections stop responding permanently while new ones work, because a
    network device between the two ends has lost their state and drops their packets
    without a reset. A caller's statement would wait for its whole deadline on each
    of them.
    """

    def test_timeout_causes_a_check_of_idle_connections(self) -> None:
        pool = self.pool(5)
        for connection in self.acquire_all(pool):
            pool.release(connection, reuse=True)
        self.relay.silence_open_connections()
        with self.assertRaises(OutcomeUnknownError):
            run(pool, "ECHO lost", timeout=0.1)
        ping = BackendConnection.ping
        with mock.patch.object(
            BackendConnection, "ping", autospec=True, side_effect=ping
        ) as pings:
            self.assertEqual(run(pool, "ECHO works"), b"works")
        # One check for all three suspected connections, since each failed check
        # takes its whole timeout.
        self.assertEqual(pings.call_count, 1)
        self.assertEqual(pool.open_count, 1)
        self.assertEqual(self.relay.accepted, 5)

    def test_slowly_arriving_bytes_do_not_extend_the_deadline(self) -> None:
        pool = self.pool(1)
        run(pool, "ECHO 1")
        self.relay.trickle()
        with self.assertRaises(OutcomeUnknownError):
            run(pool, "ECHO 2", timeout=0.2)

    def test_closed_idle_connection_does_not_fail_a_statement(self) -> None:
        pool = self.pool(1)
        run(pool, "ECHO 1")
        self.relay.cut_open_connections()
        self.assertEqual(run(pool, "ECHO 2"), b"2")
