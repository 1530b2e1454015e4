"""Tests of the ports that a deployment's processes bind later."""

import socket
import unittest

from dogwoodspool_testbed import PortReservations, TestbedError

HOST = "127.0.0.1"
OTHER_HOST = "127.0.4.1"


class PortReservationTests(unittest.TestCase):
    """A port belongs to one reservation until it is released."""

    def reservations(self, candidates: list[int] | None = None) -> PortReservations:
        created = PortReservations(candidates)
        self.addCleanup(created.release)
        return created

    def test_two_runs_never_choose_the_same_port(self) -> None:
        """Guard against two runs that choose a port before either has bound it."""
        probing = self.reservations()
        chosen = probing.reserve(4)
        probing.release()
        first = self.reservations(chosen).reserve(2)
        second = self.reservations(chosen).reserve(2)
        self.assertEqual(sorted([*first, *second]), sorted(chosen))
        with self.assertRaises(TestbedError):
            self.reservations(chosen).reserve(1)

    def test_reserved_port_can_be_bound_at_any_other_address(self) -> None:
        (port,) = self.reservations().reserve(1)
        for host in (HOST, OTHER_HOST):
            with socket.create_server((host, port)):
                pass

    def test_port_in_use_at_another_address_is_not_chosen(self) -> None:
        with socket.create_server((OTHER_HOST, 0)) as listener:
            port = listener.getsockname()[1]
            with self.assertRaises(TestbedError):
                self.reservations([port]).reserve(1)

    def test_sockets_without_a_port_get_no_reserved_one(self) -> None:
        """Guard against another process that gets the port before its owner starts."""
        (port,) = self.reservations().reserve(1)
        for _ in range(64):
            with socket.create_server((HOST, 0)) as listener:
                self.assertGreater(listener.getsockname()[1], port)
