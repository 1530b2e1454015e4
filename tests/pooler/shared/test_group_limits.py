"""Tests of the limits of a group's servers that the directory gets."""

import unittest
from collections.abc import Mapping
from dataclasses import replace

from dogwoodspool_api import ControlView, ServerMessage
from dogwoodspool_common import Address, BackendServer, ManualClock
from dogwoodspool_following import ViewStore
from dogwoodspool_pooler.shared.group_limits import GroupLimits
from dogwoodspool_sharing import Neighbour, ProxyDirectory, ServerLimits

FIRST = BackendServer("s1", "chat", "fd1", Address("10.0.0.1", 1), 3, 35)


class RecordingDirectory(ProxyDirectory):
    """A directory that records the limits it gets."""

    limits: Mapping[str, ServerLimits]

    def set_groups(self, limits: Mapping[str, ServerLimits]) -> None:
        self.limits = limits


class GroupLimitsTests(unittest.TestCase):
    """The lowest limits in a group determine how many proxies own its pools."""

    def limits(self, *servers: BackendServer) -> Mapping[str, ServerLimits]:
        """Return the limits that the directory gets for a view's servers."""
        clock = ManualClock()
        views = ViewStore("fd1", clock)
        directory = RecordingDirectory(Neighbour("p1", "10.0.0.9:1"), 3, clock)
        GroupLimits(directory, views).set_up()
        messages = [ServerMessage.of(one) for one in servers]
        views.adopt(
            ControlView(version=1, groups=[], servers=messages, proxies=[], settings=[])
        )
        return directory.limits

    def test_the_lowest_of_each_limit_is_used(self) -> None:
        other = replace(FIRST, name="s2", slots=8, connections=20)
        limits = self.limits(FIRST, other)
        self.assertEqual(limits, {"chat": ServerLimits(slots=3, connections=20)})

    def test_groups_of_unknown_connections_are_left_out(self) -> None:
        self.assertEqual(self.limits(replace(FIRST, connections=0)), {})
