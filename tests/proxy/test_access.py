"""Tests of admission and connections for statements."""

import unittest

from dogwoodspool_api import ControlView, ServerMessage, SettingsNode
from dogwoodspool_common import Address, BackendServer
from dogwoodspool_following import ViewStore
from dogwoodspool_limits import Priority
from dogwoodspool_proxy.access import BackendAccess
from dogwoodspool_proxy.backends import BackendRegistry
from dogwoodspool_routing import ServerTable

from ..pooler.fakes import AutoAdvanceClock

SERVER = BackendServer("s1", "orders", "fd-a", Address("127.0.0.1", 1), 3, 20)
WAIT_SECONDS = 0.1


class BackendAccessTests(unittest.TestCase):
    """Tests of a proxy that holds no share of a server's connections."""

    def setUp(self) -> None:
        self.clock = AutoAdvanceClock()
        views = ViewStore("fd-a", self.clock)
        table = ServerTable(self.clock)
        self.registry = BackendRegistry(
            "p1", views, table, lambda _server: None, self.clock
        )
        self.registry.set_up()
        views.adopt(
            ControlView(
                version=1,
                groups=[],
                servers=[ServerMessage.of(SERVER)],
                proxies=[],
                settings=[SettingsNode(path="/", version=1, overrides={})],
            )
        )
        self.access = BackendAccess(self.registry, table, self.clock)

    def test_connection_timeout_does_not_lower_the_admission_limit(self) -> None:
        """A timeout while waiting for a connection says nothing about the server.

        If it lowered the admission limit, the proxy would run only one statement at a
        time once it gets connections.
        """
        for _ in range(50):
            deadline = self.clock.now() + WAIT_SECONDS
            self.assertTrue(
                self.access.open(SERVER, deadline, Priority.READ).is_error()
            )
        admission = self.registry.backend(SERVER).admission
        admission.set_max_in_flight(8)
        self.assertEqual((admission.limit, admission.in_flight), (3, 0))
