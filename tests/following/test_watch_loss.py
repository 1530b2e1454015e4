"""Tests of following control while some of its processes give no answer.

A proxy served by an old configuration for longer than a change may take to be in force.
It polled a control process that had stopped answering, without a reset, gave that poll
up 2 s after the second for which it may be held, and met the next process that was
lost. In a day with one lost failure domain a view came into force 0.1 s after this
line, while the other proxies had it a second and more before:

    event=watch_failed reason="... Read timed out"
"""

import unittest
from typing import Any, cast

from dogwoodspool_api import ControlView, WatchResponse
from dogwoodspool_common import (
    Address,
    JsonClient,
    ManualClock,
    PeerUnreachableError,
)
from dogwoodspool_following import ControlPeers, ViewStore, WatchCoordinator

WAIT_MS = 1_000
# Control processes, how many of them may be lost, and the seconds in which a change has
# to be in force at the proxies that reach the others.
DEPLOYMENTS = ((3, 1, 3.0), (5, 2, 4.0))


class SilentControl:
    """Control processes of which some hold each poll for ever."""

    def __init__(self, clock: ManualClock) -> None:
        self.silent: set[Address] = set()
        self.version = 1
        self._clock = clock

    def get(
        self, address: Address, _path: str, query: dict[str, str], timeout: float
    ) -> dict[str, Any]:
        """Answer a poll; the time that it takes passes on the clock."""
        if address in self.silent:
            self._clock.advance(timeout)
            raise PeerUnreachableError("Read timed out")
        view = None
        if self.version > int(query["after"]):
            view = ControlView(
                version=self.version, groups=[], servers=[], proxies=[], settings=[]
            )
        else:
            self._clock.advance(WAIT_MS / 1_000)
        return WatchResponse(view=view, leader=None).model_dump(mode="json")


class SilentControlTests(unittest.TestCase):
    """A change is in force in time wherever a current control process is reached."""

    def test_a_change_is_in_force_in_time_past_silent_processes(self) -> None:
        """Guard against polls of silent processes that outlast the bound."""
        for count, lost, bound in DEPLOYMENTS:
            with self.subTest(processes=count, lost=lost):
                self.assertLess(self.seconds_to_force(count, lost), bound)

    def seconds_to_force(self, count: int, lost: int) -> float:
        clock = ManualClock()
        control = SilentControl(clock)
        addresses = tuple(Address("10.0.0.1", port) for port in range(1, count + 1))
        views = ViewStore("fd1", clock)
        watch = WatchCoordinator(
            views, ControlPeers(addresses), cast(JsonClient, control), clock, WAIT_MS
        )
        clock.advance(watch.step())
        control.silent |= set(addresses[:lost])
        control.version = 2
        changed_at = clock.now()
        while views.view.version < control.version:
            clock.advance(watch.step())
        return clock.now() - changed_at
