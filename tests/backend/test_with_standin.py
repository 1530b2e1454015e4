"""Tests of the backend library against the stand-in server."""

import socket
import tracemalloc
from concurrent.futures import ThreadPoolExecutor

from dogwoodspool_backend import (
    BackendConnection,
    BackendError,
    ConnectFailedError,
    ConnectionLimitError,
    Credentials,
    MySqlConnector,
    MySqlPool,
    OutcomeUnknownError,
    PoolSettings,
    PoolTimeoutError,
    Prober,
    ServerDownError,
    SqlRoleChanger,
    StatementFailedError,
)
from dogwoodspool_common import Address, BackendServer, Position, Role
from dogwoodspool_settings.models import Statements
from dogwoodspool_standin import FaultsRequest, StandinServer

from ..standin.support import PASSWORD, USER, StandinTestCase
from .servers import CLOCK

BIG_RESULT = (
    "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < 40000) "
    "SELECT i, printf('%0300d', i) FROM n"
)


class BackendTestCase(StandinTestCase):
    """Set up stand-ins with connections and pools to them."""

    def describe(self, server: StandinServer, name: str = "a") -> BackendServer:
        return BackendServer(name, "orders", f"fd-{name}", server.address, 3, 20)

    def connector(self, failure_domain: str = "fd-x") -> MySqlConnector:
        credentials = Credentials(USER, PASSWORD)
        return MySqlConnector(credentials, failure_domain, Statements(), CLOCK)

    def connect_backend(
        self, server: StandinServer, failure_domain: str = "fd-x"
    ) -> BackendConnection:
        connector = self.connector(failure_domain)
        connection = connector.connect(self.describe(server), CLOCK.now() + 5)
        self.addCleanup(connection.close)
        return connection

    def pool(self, server: StandinServer, limit: int) -> MySqlPool:
        settings = PoolSettings(connect_timeout=5, check_timeout=0.2, reset_timeout=5)
        connector = self.connector()
        described = self.describe(server)
        pool = MySqlPool(described, connector, CLOCK, settings, limit)
        self.addCleanup(pool.unload)
        return pool


def rows(connection: BackendConnection, sql: str) -> list[tuple[bytes | None, ...]]:
    """Run a statement and return all its rows."""
    with connection.execute(sql, 5) as result:
        return list(result.rows)


class StatementTests(BackendTestCase):
    """Execution of statements and their answers."""

    def test_write_returns_affected_rows_and_insert_id(self) -> None:
        connection = self.connect_backend(self.start("a", role="primary"))
        rows(
            connection,
            "CREATE TABLE lines (id INT PRIMARY KEY AUTO_INCREMENT, text TEXT)",
        )
        result = connection.execute("INSERT INTO lines (text) VALUES ('a'), ('b')", 5)
        self.assertEqual((result.affected_rows, result.last_insert_id), (2, 1))
        with self.assertRaises(StatementFailedError) as raised:
            connection.execute("INSERT INTO lines (id) VALUES (1)", 5)
        self.assertEqual(raised.exception.number, 1062)
        self.assertEqual(raised.exception.sqlstate, "23000")

    def test_large_result_is_streamed(self) -> None:
        connection = self.connect_backend(self.start("a", role="primary"))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with connection.execute(BIG_RESULT, 60) as result:
            size = sum(len(value or b"") for row in result.rows for value in row)
        _now, peak = tracemalloc.get_traced_memory()
        self.assertGreater(size, 12_000_000)
        # Client and server run in this process; the whole result exceeds 12 MB.
        self.assertLess(peak, 6_000_000)

    def test_timeout_leaves_the_outcome_unknown(self) -> None:
        connection = self.connect_backend(self.start("a", statement_ms=300))
        with self.assertRaises(OutcomeUnknownError):
            connection.execute("SELECT 1", 0.05)
        self.assertFalse(connection.is_open)


class TransactionTests(BackendTestCase):
    """Guard against mixing the transactions of two callers on one connection.

    A caller disconnects during a transaction. If its connection were given to the
    next caller without a reset, the commit of the second caller would also commit
    the rows of the first.
    """

    def test_open_transaction_is_rolled_back_on_release(self) -> None:
        pool = self.pool(self.start("a", role="primary"), 1)
        first = pool.acquire(CLOCK.now() + 5)
        rows(first, "CREATE TABLE lines (text TEXT)")
        rows(first, "BEGIN")
        rows(first, "INSERT INTO lines VALUES ('half done')")
        self.assertTrue(first.in_transaction)
        pool.release(first, reuse=True)
        second = pool.acquire(CLOCK.now() + 5)
        self.assertIs(second, first)
        self.assertFalse(second.in_transaction)
        rows(second, "COMMIT")
        self.assertEqual(rows(second, "SELECT * FROM lines"), [])
        pool.release(second, reuse=True)

    def test_autocommit_is_restored_on_release(self) -> None:
        pool = self.pool(self.start("a", role="primary"), 1)
        first = pool.acquire(CLOCK.now() + 5)
        rows(first, "SET autocommit = 0")
        pool.release(first, reuse=True)
        second = pool.acquire(CLOCK.now() + 5)
        self.assertEqual(rows(second, "SELECT @@autocommit"), [(b"1",)])
        pool.release(second, reuse=True)


class ChangedSettingsTests(BackendTestCase):
    """Application of changed settings to a pool in use."""

    def test_connections_with_old_settings_are_not_reused(self) -> None:
        """Guard against a proxy that keeps using the old password after a change.

        If the pool read its settings only at creation, a change would not apply
        until the proxy restarts.
        """
        pool = self.pool(self.start("a", role="primary"), 3)
        idle, used = pool.acquire(CLOCK.now() + 5), pool.acquire(CLOCK.now() + 5)
        pool.release(idle, reuse=True)
        credentials = Credentials(USER, "no password of the server")
        connector = MySqlConnector(credentials, "fd-x", Statements(), CLOCK)
        pool.update_settings(connector, PoolSettings(connect_timeout=5))
        pool.release(used, reuse=True)
        self.assertFalse(idle.is_open or used.is_open)
        with self.assertRaises(ConnectFailedError):
            pool.acquire(CLOCK.now() + 5)
        pool.update_settings(self.connector(), PoolSettings(connect_timeout=5))
        pool.release(pool.acquire(CLOCK.now() + 5), reuse=True)
        self.assertEqual(pool.open_count, 1)


class RefusedConnectionTests(BackendTestCase):
    """Distinction of a host without the server from an unresponsive host."""

    def test_closed_port_raises_server_down(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = Address("127.0.0.1", listener.getsockname()[1])
        described = BackendServer("a", "orders", "fd-a", address, 3, 20)
        with self.assertRaises(ServerDownError):
            self.connector().connect(described, CLOCK.now() + 5)


class ConnectionLimitTests(BackendTestCase):
    """Limited number of connections of a server."""

    def test_pools_within_their_shares_are_never_refused(self) -> None:
        server = self.start("a", role="primary", connections=6)
        pools = [self.pool(server, 3), self.pool(server, 3)]
        prober = Prober(lambda _server: pools[0], CLOCK, lambda _server: 30)

        def caller(number: int) -> None:
            pool = pools[number % 2]
            for step in range(15):
                connection = pool.acquire(CLOCK.now() + 30)
                expected = f"{number} {step}".encode()
                answer = rows(connection, f"SELECT '{number} {step}'")
                pool.release(connection, reuse=True)
                self.assertEqual(answer, [(expected,)])
                prober.status(self.describe(server))

        with ThreadPoolExecutor(12) as executor:
            for future in [executor.submit(caller, number) for number in range(12)]:
                future.result(60)
        # The server refuses a seventh connection, so none was opened.
        for pool in pools:
            self.assertIn(pool.open_count, (2, 3))

    def test_server_without_free_connections_raises_connection_limit(self) -> None:
        server = self.start("a", connections=1)
        self.connect_backend(server)
        with self.assertRaises(ConnectionLimitError) as raised:
            self.connect_backend(server)
        # A server at its connection limit must not be treated as a failed primary.
        self.assertTrue(raised.exception.is_sign_of_life)
        self.assertFalse(raised.exception.suggests_unreachable)

    def test_network_cut_applies_to_the_failure_domain_of_the_connection(self) -> None:
        server = self.start("a")
        server.faults.apply(FaultsRequest(cut_failure_domains=("fd-x",)))
        with self.assertRaises(ConnectFailedError):
            self.connect_backend(server, "fd-x")
        self.connect_backend(server, "fd-y")


class UnresponsiveConnectionTests(BackendTestCase):
    """Guard against waiting on connections that stopped responding permanently."""

    def test_idle_connections_are_checked_after_another_timed_out(self) -> None:
        server = self.start("a", role="primary")
        pool = self.pool(server, 3)
        held = [pool.acquire(CLOCK.now() + 5) for _ in range(pool.caller_limit)]
        for connection in held:
            pool.release(connection, reuse=True)
        server.faults.apply(FaultsRequest(silence_connections=True))
        lost = pool.acquire(CLOCK.now() + 5)
        with self.assertRaises(OutcomeUnknownError):
            lost.execute("SELECT 1", 0.1)
        pool.release(lost, reuse=False)
        fresh = pool.acquire(CLOCK.now() + 5)
        self.assertNotIn(fresh, held)
        self.assertEqual(rows(fresh, "SELECT 1"), [(b"1",)])
        pool.release(fresh, reuse=True)
        self.assertEqual(pool.open_count, 1)


class RoleTests(BackendTestCase):
    """Status queries and role changes with statements."""

    def changer(self) -> SqlRoleChanger:
        return SqlRoleChanger(USER, PASSWORD, Statements(), 5, 5, failure_domain="x")

    def test_roles_change(self) -> None:
        first, second = self.start_pair()
        old, new = self.describe(first, "a"), self.describe(second, "b")
        changer = self.changer()
        self.assertEqual(changer.status(old).role, Role.PRIMARY)
        changer.fence(old, 2)
        self.assertEqual(changer.promote(new, 2).role, Role.PRIMARY)
        changer.follow(old, second.address, 2)
        self.eventually(
            lambda: changer.status(old).position.term == 2, "the old primary follows"
        )
        self.assertEqual(changer.status(old).role, Role.REPLICA)

    def test_refused_role_change_raises_statement_failed(self) -> None:
        server = self.start("a", role="primary")
        with self.assertRaises(StatementFailedError):
            self.changer().promote(self.describe(server), 0)

    def test_wait_returns_when_the_position_is_reached(self) -> None:
        first, second = self.start_pair()
        writer = self.connect_backend(first)
        rows(writer, "CREATE TABLE lines (text TEXT)")
        position = writer.status(5).position
        reader = self.connect_backend(second)
        status = reader.wait_for(position, wait=5, timeout=10)
        self.assertGreaterEqual(status.position, position)
        ahead = Position(position.term, position.offset + 5)
        status = reader.wait_for(ahead, wait=0.02, timeout=10)
        self.assertLess(status.position, ahead)

    def test_probe_detects_a_frozen_server_while_statements_hang(self) -> None:
        """Guard against a late failover when the primary freezes under load.

        Every connection holds a statement that does not end. If probes had to wait
        for a free connection, the server would not be reported as failed before the
        statements' deadlines.
        """
        server = self.start("a", role="primary")
        pool = self.pool(server, 2)
        prober = Prober(lambda _server: pool, CLOCK, lambda _server: 0.2)
        hanging = pool.acquire(CLOCK.now() + 5)
        server.faults.apply(FaultsRequest(freeze=True))
        with ThreadPoolExecutor(2) as executor:
            statement = executor.submit(rows, hanging, "SELECT 1")
            waiting = executor.submit(pool.acquire, CLOCK.now() + 1)
            with self.assertRaises(BackendError) as raised:
                prober.status(self.describe(server))
            self.assertNotIsInstance(raised.exception, PoolTimeoutError)
            self.assertFalse(statement.done())
            server.faults.apply(FaultsRequest(freeze=False))
            statement.result(30)
            pool.release(hanging, reuse=True)
            pool.release(waiting.result(30), reuse=True)

    def test_probe_uses_the_pool(self) -> None:
        server = self.start("a", role="primary")
        pool = self.pool(server, 1)
        prober = Prober(lambda _server: pool, CLOCK, lambda _server: 5)
        status = prober.status(self.describe(server))
        self.assertEqual((status.server, status.role), ("a", Role.PRIMARY))
        self.assertEqual((pool.in_use, pool.open_count), (0, 1))
