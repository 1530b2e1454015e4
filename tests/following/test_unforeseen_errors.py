"""Tests of steps that meet an error that was not foreseen."""

import unittest
from collections.abc import Callable
from typing import Any, Final, cast

from dogwoodspool_common import Address, JsonClient, ManualClock
from dogwoodspool_following import (
    ControlPeers,
    Coordinator,
    ViewStore,
    WatchCoordinator,
)
from dogwoodspool_sharing import Neighbour, PresenceCoordinator, ProxyDirectory

CONTROL: Final = (Address("10.0.0.1", 7), Address("10.0.0.2", 7))


class BrokenClient:
    """Client whose calls fail in a way that nobody expects."""

    def __init__(self) -> None:
        self.asked: list[Address] = []

    def get(self, address: Address, *_arguments: Any) -> dict[str, Any]:
        """Fail."""
        self.asked.append(address)
        raise AttributeError("not foreseen")

    post = get


class UnforeseenErrorTests(unittest.TestCase):
    """The next step asks another control process."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.client = BrokenClient()
        self.peers = ControlPeers(CONTROL)

    def check(self, build: Callable[[JsonClient], Coordinator]) -> None:
        """Make two steps."""
        coordinator = build(cast(JsonClient, self.client))
        for _ in CONTROL:
            with self.assertRaises(AttributeError):
                coordinator.step()
        self.assertEqual(set(CONTROL), set(self.client.asked))

    def test_watch_does_not_stay_at_one_process(self) -> None:
        """Guard against a proxy that asks the same address for good."""
        views = ViewStore("fd1", self.clock)
        self.check(
            lambda client: WatchCoordinator(views, self.peers, client, self.clock)
        )

    def test_heartbeats_do_not_stay_at_one_process(self) -> None:
        """Guard against neighbours that never learn of a proxy."""
        own = Neighbour("p1", "p1:7440")
        directory = ProxyDirectory(own, 3, self.clock)
        self.check(
            lambda client: PresenceCoordinator(
                own, "fd1", directory, self.peers, client, self.clock
            )
        )
