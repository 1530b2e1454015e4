"""Tests of the end of callers' connections and of their listener."""

import socket
import unittest
from unittest import mock

from dogwoodspool_common import Address, ManualClock
from dogwoodspool_platform.front import CallerListener
from dogwoodspool_pooler import NoDatabaseError
from dogwoodspool_pooler.accepted_work import AcceptedWork
from dogwoodspool_testbed import PortReservations

from .system import TIMEOUT_SECONDS, SystemFixture


class ClosingTests(SystemFixture):
    """A connection ends without a reset."""

    def test_unread_input_does_not_reset_a_connection(self) -> None:
        """Guard against a reset that overtakes the last answer."""
        mock.patch(
            "dogwoodspool_platform.sockets.CLOSE_SECONDS", TIMEOUT_SECONDS
        ).start()
        self.addCleanup(mock.patch.stopall)
        client = self.client()
        client.send("TERMINATE\r\n" + "x" * 300_000)
        self.assertEqual(client.read(), "")


class ListenerTests(unittest.TestCase):
    """A listener closes after the last caller was accepted."""

    def test_a_caller_that_waits_for_its_acceptance_is_answered(self) -> None:
        """Guard against a reset of connections that have arrived."""
        reservations = PortReservations()
        self.addCleanup(reservations.release)
        address = Address("127.0.0.41", reservations.reserve(1)[0])
        runtime = mock.Mock()
        runtime.accepted_work = AcceptedWork(ManualClock())
        runtime.open_session.side_effect = NoDatabaseError("unknown")
        listener = CallerListener(address, runtime)
        with socket.create_connection((address.host, address.port)) as caller:
            caller.settimeout(TIMEOUT_SECONDS)
            caller.sendall(b"STARTUP db1 key\r\n")
            # The accepting thread starts when it is already to end.
            listener.stop_accepting()
            listener.set_up()
            self.assertIn(b"ERROR", caller.recv(100))
