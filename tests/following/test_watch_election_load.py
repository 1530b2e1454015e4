"""Tests of how often proxies poll while no control process has a leader or a slot."""

import unittest
from typing import Any, cast

from dogwoodspool_api import WatchResponse
from dogwoodspool_common import Address, JsonClient, ManualClock
from dogwoodspool_following import ControlPeers, ViewStore, WatchCoordinator

from .control_processes import ROUND_TRIP, view

SLOT_RETRY_MS = 1_000


class FullControl:
    """Control processes without a leader whose slots for waiting polls are taken."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.polls = 0

    def get(self, *_arguments: Any) -> dict[str, Any]:
        """Answer a poll at once."""
        self.polls += 1
        self._clock.advance(ROUND_TRIP)
        return WatchResponse(
            view=None,
            leader=None,
            members=[],
            is_current=False,
            retry_after_ms=SLOT_RETRY_MS,
        ).model_dump(mode="json")


class ElectionLoadTests(unittest.TestCase):
    """An election must not be disturbed by the polls of all proxies."""

    def polls_per_second(self, processes: int) -> float:
        clock = ManualClock(100.0)
        control = FullControl(clock)
        addresses = tuple(Address("10.0.0.1", 1 + n) for n in range(processes))
        views = ViewStore("", clock)
        views.adopt(view(1))
        watch = WatchCoordinator(
            views, ControlPeers(addresses), cast(JsonClient, control), clock, 1_000
        )
        while clock.now() < 110.0:
            clock.advance(watch.step())
        return control.polls / 10.0

    def test_polls_without_a_slot_stay_as_rare_as_before(self) -> None:
        """Guard against a crowd of polls from proxies that found no free slot.

        Such a poll is answered at once. Before the search round there was a pause of
        0.1 s after each, so fewer than 10 polls a second of each proxy.
        """
        for processes in (3, 6):
            with self.subTest(processes=processes):
                self.assertLess(self.polls_per_second(processes), 10.5)
