"""Tests of admission and connections for statements."""

import unittest
from dataclasses import replace

from dogwoodspool_api import ControlView, ServerMessage, SettingsNode
from dogwoodspool_common import Address, BackendServer
from dogwoodspool_common.const import LEAVING_GRACE_SECONDS
from dogwoodspool_following import ViewStore
from dogwoodspool_gateway import ErrorAnswer, Outcome
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
        self.table = table = ServerTable(self.clock)
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

    def open(self, server: BackendServer, priority: Priority) -> ErrorAnswer:
        """Try to open a connection to a server that does not listen."""
        self.table.adopt_committed([server])
        deadline = self.clock.now() + WAIT_SECONDS
        return self.access.open(server, deadline, priority).error

    def test_writes_to_a_leaving_primary_end_with_its_grace_period(self) -> None:
        """Guard against a leaving server that gets writes until it ends."""
        leaving = replace(SERVER, is_leaving=True)
        self.assertNotIn("leaving", self.open(leaving, Priority.WRITE).message)
        self.clock.advance(LEAVING_GRACE_SECONDS)
        refused = self.open(leaving, Priority.WRITE)
        self.assertIn("leaving", refused.message)
        self.assertIs(refused.outcome, Outcome.NOT_RUN)
        self.assertTrue(refused.retry_after_ms)

    def test_late_starter_sends_no_writes_to_a_retired_primary(self) -> None:
        """Guard against a proxy that counts the grace period from its own start."""
        retired = replace(SERVER, is_leaving=True, is_retired=True)
        self.assertIn("leaving", self.open(retired, Priority.WRITE).message)

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
