"""Tests of the connection shares that a proxy holds."""

import unittest

from dogwoodspool_api import ControlView, ProxyMessage, ServerMessage, SettingsNode
from dogwoodspool_common import Address, BackendServer, ManualClock
from dogwoodspool_following import ViewStore
from dogwoodspool_proxy.backends import BackendRegistry
from dogwoodspool_routing import ServerTable

LEASE = 1.5


def server(connections: int) -> BackendServer:
    """Return a backend server that accepts a number of connections."""
    return BackendServer(
        "s1", "orders", "fd-a", Address("127.0.0.1", 1), 3, connections
    )


class ShareTests(unittest.TestCase):
    """A proxy never opens more connections than control has allotted to it."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.views = ViewStore("fd-a", self.clock)
        self.registry = BackendRegistry(
            "p1", self.views, ServerTable(self.clock), lambda _server: None, self.clock
        )
        self.registry.set_up()
        self.version = 0

    def adopt(self, connections: int, *proxies: str) -> None:
        self.version += 1
        self.views.adopt(
            ControlView(
                version=self.version,
                groups=[],
                servers=[ServerMessage.of(server(connections))],
                proxies=[
                    ProxyMessage(proxy=name, failure_domain="fd-a", address="a:1")
                    for name in proxies
                ],
                settings=[SettingsNode(path="/", version=1, overrides={})],
            )
        )

    def limit(self, connections: int) -> int:
        return self.registry.backend(server(connections)).pool.limit

    def test_unregistered_proxy_opens_no_connections(self) -> None:
        self.adopt(20)
        self.assertEqual(self.limit(20), 0)
        self.adopt(20, "p1")
        self.assertEqual(self.limit(20), 1)

    def test_base_shares_do_not_exceed_a_small_server(self) -> None:
        # A server accepts 8 connections, fewer than there are proxies. If each proxy
        # opened the one connection that the setting alone allows, the server would
        # refuse the ninth.
        self.adopt(8, "p1")
        self.assertEqual(self.limit(8), 0)

    def test_leased_shares_expire_with_their_lease(self) -> None:
        # A partition cuts this proxy off. Control leases the same connections to
        # other proxies once the lease has expired here.
        self.adopt(20, "p1")
        self.assertEqual(self.limit(20), 1)
        self.registry.grant_shares({"s1": 4}, self.clock.now() + LEASE)
        self.assertEqual(self.limit(20), 4)
        self.clock.advance(LEASE)
        self.registry.expire_shares()
        self.assertEqual(self.limit(20), 1)
