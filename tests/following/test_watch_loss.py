"""Tests of the polls for control's state while some control processes do not answer.

A control process can stop answering without a connection reset. If a proxy gave up a
poll only 2 s after the second for which it may be held, and the next process was lost
as well, it would serve by an old configuration for longer than a change may take to be
in force. When a failure domain is lost, such a proxy gets a view 0.1 s after this line,
and a second or more after the other proxies:

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
# Number of control processes, how many of them may be lost, and the seconds within
# which a change has to be in force at the proxies that reach the others.
DEPLOYMENTS = ((3, 1, 3.0), (5, 2, 4.0))


class SilentControl:
    """Fake control processes, some of which never answer a poll."""

    def __init__(self, clock: ManualClock) -> None:
        self.silent: set[Address] = set()
        self.version = 1
        self._clock = clock

    def get(
        self, address: Address, _path: str, query: dict[str, str], timeout: float
    ) -> dict[str, Any]:
        """Answer a poll and advance the clock by the time that it takes."""
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
    """A change is in force in time where an up-to-date process can be reached."""

    def test_change_is_in_force_in_time_despite_silent_processes(self) -> None:
        """Guard against polls of silent processes that exceed the time limit."""
        for count, lost, bound in DEPLOYMENTS:
            with self.subTest(processes=count, lost=lost):
                self.assertLess(self.seconds_until_in_force(count, lost), bound)

    def seconds_until_in_force(self, count: int, lost: int) -> float:
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
