"""Tests of following control's committed state."""

import unittest
from typing import Any, cast

from dogwoodspool_api import ControlView, WatchResponse
from dogwoodspool_common import Address, JsonClient, ManualClock
from dogwoodspool_following import ControlPeers, ViewStore, WatchCoordinator

FIRST, SECOND = Address("127.0.0.1", 1), Address("127.0.0.1", 2)


def view(version: int) -> ControlView:
    """Return an empty view of a version."""
    return ControlView(version=version, groups=[], servers=[], proxies=[], settings=[])


class FakeControl:
    """Control processes, each with the newest version that it knows."""

    def __init__(self) -> None:
        self.versions = {FIRST: 5, SECOND: 5}
        self.asked: list[tuple[Address, bool]] = []

    def get(
        self, address: Address, _path: str, query: dict[str, str], _timeout: float
    ) -> dict[str, Any]:
        """Answer a watch at once, as if its time had run out."""
        self.asked.append((address, query.get("confirmed") == "1"))
        version = self.versions[address]
        newer = view(version) if version > int(query["after"]) else None
        return WatchResponse(view=newer, leader=None).model_dump(mode="json")


class WatchCoordinatorTests(unittest.TestCase):
    """Versions come into force wherever they can be had, and never go back."""

    def setUp(self) -> None:
        clock = ManualClock()
        self.control = FakeControl()
        self.views = ViewStore("fd-a", clock)
        self.watch = WatchCoordinator(
            self.views,
            ControlPeers((FIRST, SECOND)),
            cast(JsonClient, self.control),
            clock,
        )

    def test_only_the_first_view_must_be_confirmed(self) -> None:
        self.watch.step()
        self.watch.step()
        self.assertEqual(self.control.asked, [(FIRST, True), (FIRST, False)])

    def test_a_cut_off_control_process_is_left(self) -> None:
        # A partition isolates one control instance without a sign. A proxy that
        # still reaches it polls it for news and hears none, while changes are
        # accepted elsewhere; the proxy would serve old settings for hours.
        self.watch.step()
        self.control.versions[SECOND] = 6
        self.views.note_announced(6)
        self.watch.step()
        self.watch.step()
        self.assertEqual(self.views.view.version, 6)

    def test_an_older_view_changes_nothing(self) -> None:
        # The isolated instance comes back and believes its old state current.
        self.watch.step()
        self.assertFalse(self.views.adopt(view(4)))
        self.assertEqual(self.views.view.version, 5)
