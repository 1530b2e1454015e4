"""Tests of one connection to a backend server."""

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
    """A scripted server with one connection to it."""

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
    """Statements and their answers."""

    def test_values_pass_through_as_the_server_sent_them(self) -> None:
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

    def test_closed_connection_sends_nothing(self) -> None:
        self.connection.close()
        with self.assertRaises(ConnectFailedError):
            self.connection.execute("ECHO 1", 5)

    def test_status_row_becomes_a_status(self) -> None:
        status = self.connection.status(5)
        self.assertEqual(status.role, Role.REPLICA)
        self.assertEqual(status.position, Position(3, 17))
        self.assertIsNone(status.lag_ms)

    def test_reset_leaves_nothing_of_the_last_caller(self) -> None:
        self.connection.execute("KEEP secret", 5)
        self.assertEqual(self.value("KEPT"), b"secret")
        self.connection.reset(5)
        self.assertIsNone(self.value("KEPT"))

    def test_reset_brings_back_charset_and_autocommit(self) -> None:
        self.connection.reset(5)
        settings = "NAMES utf8mb4, AUTOCOMMIT = 1"
        self.assertEqual(self.value("SETTINGS"), f"{settings}, {settings}".encode())


class LateAnswerTests(ConnectionTestCase):
    """A caller reads another statement's answer.

    A statement's time runs out, its answer comes later. Were the connection used
    again, the next statement would read that answer as its own. Cause: answers in
    MySQL's protocol carry no name of their question.
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

    def test_short_rest_of_an_answer_is_read(self) -> None:
        result = self.connection.execute("ROWS 100", 5)
        next(result.rows)
        result.close()
        self.assertEqual(self.value("ECHO mine"), b"mine")


class ConnectTests(unittest.TestCase):
    """Connections that do not come up."""

    def test_refused_connection_was_not_sent(self) -> None:
        with self.assertRaises(ConnectFailedError):
            connector().connect(server_at(Address("127.0.0.1", 1)), CLOCK.now() + 1)
