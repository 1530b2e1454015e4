"""Tests of the read routers of a proxy's groups."""

import unittest

from dogwoodspool_api import ControlView, GroupMessage
from dogwoodspool_common import GroupState, ManualClock, Phase
from dogwoodspool_following import ViewStore
from dogwoodspool_proxy.routers import GroupRouters
from dogwoodspool_routing import ServerTable


class GroupRouterTests(unittest.TestCase):
    """Each group has a router for as long as it exists."""

    def setUp(self) -> None:
        clock = ManualClock()
        self.views = ViewStore("fd1", clock)
        self.routers = GroupRouters(self.views, ServerTable(clock))

    def apply(self, version: int, *groups: str) -> None:
        states = [GroupState(name, 1, None, Phase.STEADY, ()) for name in groups]
        self.views.adopt(
            ControlView(
                version=version,
                groups=[GroupMessage.of(state) for state in states],
                servers=[],
                proxies=[],
                settings=[],
            )
        )

    def test_router_is_kept(self) -> None:
        self.apply(1, "a", "b")
        router = self.routers.router("a")
        self.routers.router("b")
        self.assertIs(self.routers.router("a"), router)

    def test_routers_of_removed_groups_are_dropped(self) -> None:
        """Guard against a proxy that keeps something of every group it ever had."""
        self.apply(1, "a")
        self.routers.router("a")
        self.apply(2, "b")
        self.routers.router("b")
        self.assertEqual(set(self.routers._routers), {"b"})
