"""Tests of a connection to a backend server."""

import unittest

from dogwoodspool_backend import (
    BackendConnection,
    ConnectFailedError,
    OutcomeUnknownError,
    StatementFailedError,
)
from dogwoodspool_common import Address, Position, Role

from .servers import CLOCK, ScriptedServer, connector, server_at


class ConnectionTestCase(unittest.TestCase):
    """Set up a scripted server with one connection to it."""

    def setUp(self) -> None:
        self.server = self.enterContext(ScriptedServer())
        self.connection = self.connect()
        self.addCleanup(self.connection.close)

    def connect(self) -> BackendConnection:
        server = server_at(self.server.address)
        return connector().connect(server, CLOCK.now() + 5)

    def value(self, sql: str) -> bytes | None:
        with self.connection.execute(sql, 5) as result:
            ((value,),) = result.rows
        return value


class ExecuteTests(ConnectionTestCase):
    """Execution of statements and parsing of their answers."""

    def test_values_are_returned_as_sent_by_the_server(self) -> None:
        self.assertEqual(self.value("ECHO 0042 é"), "0042 é".encode())

    def test_write_has_no_columns(self) -> None:
        result = self.connection.execute("KEEP 1", 5)
        self.assertFalse(result.is_resultset)
        self.assertEqual(list(result.rows), [])

    def test_error_answer_leaves_the_connection_usable(self) -> None:
        with self.assertRaises(StatementFailedError) as raised:
            self.connection.execute("FAIL 1064", 5)
        self.assertEqual(raised.exception.number, 1064)
        self.assertEqual(self.value("ECHO 1"), b"1")

    def test_closed_connection_raises_connect_failed(self) -> None:
        self.connection.close()
        with self.assertRaises(ConnectFailedError):
            self.connection.execute("ECHO 1", 5)

    def test_status_row_is_parsed(self) -> None:
        status = self.connection.status(5)
        self.assertEqual(status.role, Role.REPLICA)
        self.assertEqual(status.position, Position(3, 17))
        self.assertIsNone(status.lag_ms)

    def test_reset_clears_session_state(self) -> None:
        self.connection.execute("KEEP secret", 5)
        self.assertEqual(self.value("KEPT"), b"secret")
        self.connection.reset(5)
        self.assertIsNone(self.value("KEPT"))

    def test_reset_restores_charset_and_autocommit(self) -> None:
        self.connection.reset(5)
        settings = "NAMES utf8mb4, AUTOCOMMIT = 1"
        self.assertEqual(self.value("SETTINGS"), f"{settings}, {settings}".encode())


class LateAnswerTests(ConnectionTestCase):
    """Guard against a caller reading the answer to another statement.

    A statement times out and its answer arrives later. If the connection were used
    again, the next statement would read that answer as its own, because answers in
    the MySQL protocol do not identify their statement.
    """

    def test_timeout_closes_the_connection(self) -> None:
        with self.assertRaises(OutcomeUnknownError):
            self.connection.execute("SLEEP 0.3", 0.1)
        self.assertTrue(self.connection.went_silent)
        with self.assertRaises(ConnectFailedError):
            self.connection.execute("ECHO mine", 5)

    def test_unread_answer_closes_the_connection(self) -> None:
        result = self.connection.execute("ROWS 100000", 5)
        next(result.rows)
        result.close()
        self.assertFalse(self.connection.is_open)

    def test_few_unread_rows_are_read_on_close(self) -> None:
        result = self.connection.execute("ROWS 100", 5)
        next(result.rows)
        result.close()
        self.assertEqual(self.value("ECHO mine"), b"mine")


class ConnectTests(unittest.TestCase):
    """Connections that cannot be established."""

    def test_refused_connection_raises_connect_failed(self) -> None:
        with self.assertRaises(ConnectFailedError):
            connector().connect(server_at(Address("127.0.0.1", 1)), CLOCK.now() + 1)
