"""In-process stand-in servers and connections to them."""

import contextlib
import tempfile
import time
import unittest
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, TypeAlias

import pymysql
from dogwoodspool_common import Address, SystemClock
from dogwoodspool_standin import StandinServer, StandinSettings

KEY = "shared-key"
USER = "dogwoodspool"
PASSWORD = "secret"
TIMEOUT_SECONDS = 10.0

Connection: TypeAlias = "pymysql.connections.Connection[pymysql.cursors.Cursor]"


class StandinTestCase(unittest.TestCase):
    """Start stand-ins on free ports and stop them after the test."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self._stops: dict[StandinServer, contextlib.ExitStack] = {}

    def start(self, name: str, **changes: Any) -> StandinServer:
        """Start a server; a server of the same name reuses its data folder."""
        values = {
            "name": name,
            "group": "orders",
            "failure_domain": f"fd-{name}",
            "data_folder": self.folder / name,
            "shared_key": KEY,
            "user": USER,
            "password": PASSWORD,
            "connect_delay_ms": 0,
            "statement_ms": 0,
            **changes,
        }
        settings = StandinSettings.model_validate(values)
        server = StandinServer(settings, SystemClock())
        server.set_up()
        stop = contextlib.ExitStack()
        stop.callback(server.unload)
        self.addCleanup(stop.close)
        self._stops[server] = stop
        return server

    def stop(self, server: StandinServer) -> None:
        """Stop one server before the end of the test."""
        self._stops[server].close()

    def start_pair(self, **changes: Any) -> tuple[StandinServer, StandinServer]:
        """Start a primary and a replica that follows it."""
        primary = self.start("a", role="primary")
        replica = self.start("b", follow=str(primary.address), **changes)
        return primary, replica

    def connect(self, server: StandinServer, **changes: Any) -> Connection:
        """Connect as a caller."""
        connection = connect(server.address, **changes)
        self.addCleanup(close, connection)
        return connection

    def eventually(self, check: Callable[[], bool], what: str) -> None:
        """Fail unless the check becomes true within the timeout."""
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while not check():
            if time.monotonic() > deadline:
                self.fail(f"timed out waiting for: {what}")
            time.sleep(0.01)


def connect(address: Address, **changes: Any) -> Connection:
    """Connect to an address as a caller."""
    values: dict[str, Any] = {
        "host": address.host,
        "port": address.port,
        "user": USER,
        "password": PASSWORD,
        "database": "orders",
        "autocommit": True,
        "connect_timeout": TIMEOUT_SECONDS,
        "read_timeout": TIMEOUT_SECONDS,
        **changes,
    }
    return pymysql.connect(**values)


def close(connection: Connection) -> None:
    """Close a connection, ignoring errors if it is broken."""
    with contextlib.suppress(pymysql.MySQLError):
        connection.close()


def run(connection: Connection, sql: str) -> list[tuple[Any, ...]]:
    """Run one statement and return its rows."""
    with connection.cursor() as cursor:
        cursor.execute(sql)
        return list(cursor.fetchall())


def flags(connection: Any) -> int:
    """Return the status flags of the last answer."""
    return int(connection.server_status)


def status(connection: Connection) -> dict[str, Any]:
    """Read the status row."""
    return command(connection, "SHOW STANDIN STATUS")


def command(connection: Connection, sql: str) -> dict[str, Any]:
    """Run a statement that returns the status row."""
    with connection.cursor(pymysql.cursors.DictCursor) as cursor:
        cursor.execute(sql)
        row = cursor.fetchone()
    assert isinstance(row, dict)
    return row


@contextlib.contextmanager
def fails_with(test: unittest.TestCase, number: int) -> Iterator[None]:
    """Expect an error with a MySQL error number."""
    with test.assertRaises(pymysql.MySQLError) as caught:
        yield
    test.assertEqual(caught.exception.args[0], number, caught.exception)
