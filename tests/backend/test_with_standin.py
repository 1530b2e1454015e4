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
    """Stand-ins with connections and pools to them."""

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
    """Run one statement and read its whole answer."""
    with connection.execute(sql, 5) as result:
        return list(result.rows)


class StatementTests(BackendTestCase):
    """Answers of statements."""

    def test_write_answers_rows_and_insert_id(self) -> None:
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

    def test_big_result_needs_little_memory(self) -> None:
        connection = self.connect_backend(self.start("a", role="primary"))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with connection.execute(BIG_RESULT, 60) as result:
            size = sum(len(value or b"") for row in result.rows for value in row)
        _now, peak = tracemalloc.get_traced_memory()
        self.assertGreater(size, 12_000_000)
        # Both ends are in this process; the whole result would be above 12 MB.
        self.assertLess(peak, 6_000_000)

    def test_timeout_leaves_the_outcome_unknown(self) -> None:
        connection = self.connect_backend(self.start("a", statement_ms=300))
        with self.assertRaises(OutcomeUnknownError):
            connection.execute("SELECT 1", 0.05)
        self.assertFalse(connection.is_open)


class TransactionTests(BackendTestCase):
    """Transactions of different callers never mix on one connection.

    A caller goes away in the middle of a transaction. Were its connection given to
    the next caller as it is, that one's commit would commit the first one's lines.
    """

    def test_open_transaction_is_gone_for_the_next_caller(self) -> None:
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

    def test_autocommit_comes_back(self) -> None:
        pool = self.pool(self.start("a", role="primary"), 1)
        first = pool.acquire(CLOCK.now() + 5)
        rows(first, "SET autocommit = 0")
        pool.release(first, reuse=True)
        second = pool.acquire(CLOCK.now() + 5)
        self.assertEqual(rows(second, "SELECT @@autocommit"), [(b"1",)])
        pool.release(second, reuse=True)


class ChangedSettingsTests(BackendTestCase):
    """An accepted change is in force in a pool that is at work."""

    def test_connections_of_old_settings_are_not_used_again(self) -> None:
        """A new password is accepted, and a proxy goes on with the old one.

        The pool took its settings when it was built; the change came into force
        there only with the proxy's restart.
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
    """A machine without the server is told from a silent one."""

    def test_nothing_listens(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = Address("127.0.0.1", listener.getsockname()[1])
        described = BackendServer("a", "orders", "fd-a", address, 3, 20)
        with self.assertRaises(ServerDownError):
            self.connector().connect(described, CLOCK.now() + 5)


class ConnectionCapTests(BackendTestCase):
    """Connections are scarce."""

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
        # The server refuses a seventh connection, so there was none.
        for pool in pools:
            self.assertIn(pool.open_count, (2, 3))

    def test_server_without_connections_says_so(self) -> None:
        server = self.start("a", connections=1)
        self.connect_backend(server)
        with self.assertRaises(ConnectionLimitError) as raised:
            self.connect_backend(server)
        # A full server must not be taken for a failed primary.
        self.assertTrue(raised.exception.is_sign_of_life)
        self.assertFalse(raised.exception.suggests_unreachable)

    def test_cut_goes_by_the_failure_domain_of_the_connection(self) -> None:
        server = self.start("a")
        server.faults.apply(FaultsRequest(cut_failure_domains=("fd-x",)))
        with self.assertRaises(ConnectFailedError):
            self.connect_backend(server, "fd-x")
        self.connect_backend(server, "fd-y")


class SilenceTests(BackendTestCase):
    """Open connections go silent for good while new ones work."""

    def test_idle_connection_is_checked_after_another_went_silent(self) -> None:
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
    """Status and role changes by statements."""

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

    def test_refused_role_change_is_the_servers_answer(self) -> None:
        server = self.start("a", role="primary")
        with self.assertRaises(StatementFailedError):
            self.changer().promote(self.describe(server), 0)

    def test_wait_returns_when_the_position_is_there(self) -> None:
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

    def test_probe_sees_a_frozen_server_though_callers_hang_on_it(self) -> None:
        """Fail over late.

        A primary stands still under load. Every connection holds a statement that
        never ends, probes wait for a connection in vain, and nobody calls the
        server failed until the statements' deadlines.
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

    def test_probe_goes_through_the_pool(self) -> None:
        server = self.start("a", role="primary")
        pool = self.pool(server, 1)
        prober = Prober(lambda _server: pool, CLOCK, lambda _server: 5)
        status = prober.status(self.describe(server))
        self.assertEqual((status.server, status.role), ("a", Role.PRIMARY))
        self.assertEqual((pool.in_use, pool.open_count), (0, 1))
