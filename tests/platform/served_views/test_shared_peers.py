"""The watch and the reports of a proxy choose control processes together."""

import unittest
from typing import Any, Final, cast
from unittest import mock

from dogwoodspool_api import ControlView, WatchResponse
from dogwoodspool_common import (
    Address,
    JsonClient,
    ManualClock,
    PeerRefusedError,
    PeerUnreachableError,
)
from dogwoodspool_common.const import CODE_NOT_LEADER
from dogwoodspool_following import ControlPeers, ViewStore, WatchCoordinator
from dogwoodspool_pooler.const import (
    REPORT_ATTEMPTS,
    REPORT_RETRY_SECONDS,
    REPORT_SECONDS,
    REPORT_TIMEOUT,
)

LOST: Final = (Address("10.1.0.3", 7), Address("10.2.0.146", 7))
LIVE: Final = Address("10.2.0.107", 7)
BOUND_SECONDS: Final = 3.0


def view(version: int) -> ControlView:
    return ControlView(
        version=version, groups=[], servers=[], proxies=[], settings=[], endpoints=[]
    )


class Calls:
    """Polls, and the reports that are sent while a poll waits.

    Two processes are lost and never answer. The third has the newest view and does not
    lead, so that it refuses reports.
    """

    def __init__(self, clock: ManualClock, peers: ControlPeers) -> None:
        self._clock = clock
        self._peers = peers
        self._next_report_at = 0.0
        self._asked: Address | None = None
        self.polls: list[tuple[float, Address]] = []

    def get(
        self, address: Address, _path: str, query: dict[str, str], timeout: float
    ) -> dict[str, Any]:
        self.polls.append((self._clock.now(), address))
        if address in LOST:
            self.wait(timeout)
            raise PeerUnreachableError("timed out")
        response = WatchResponse(
            view=view(2), leader=None, members=[], is_current=False
        )
        return response.model_dump(mode="json")

    def wait(self, seconds: float) -> None:
        """Advance the clock; the reports of that time are sent."""
        until = self._clock.now() + seconds
        while self._next_report_at < until:
            self._clock.advance(max(0.0, self._next_report_at - self._clock.now()))
            self._continue_report()
        self._clock.advance(max(0.0, until - self._clock.now()))

    def _continue_report(self) -> None:
        """End the attempt that has timed out, or begin a report."""
        now = self._clock.now()
        if self._asked is not None:
            self._peers.record_failure(self._asked)
            self._asked = None
            self._next_report_at = now + REPORT_RETRY_SECONDS
            return
        for _ in range(REPORT_ATTEMPTS):
            address = self._peers.leader_or_next()
            if address in LOST:
                self._asked = address
                self._next_report_at = now + REPORT_TIMEOUT
                return
            error = PeerRefusedError(421, CODE_NOT_LEADER, "")
            self._peers.record_refusal(address, error)
        self._next_report_at = now + REPORT_SECONDS


class SharedPeersTests(unittest.TestCase):
    """Control processes are lost, and the one that is left does not lead."""

    def test_a_refused_report_does_not_keep_the_watch_from_a_live_process(self) -> None:
        """Guard against polls of lost processes only, as reports ask the live one."""
        worst = max(
            self._seconds_to_view(offset * REPORT_SECONDS / 20) for offset in range(20)
        )
        elapsed, polls = worst
        self.assertLess(elapsed, BOUND_SECONDS, polls)

    def _seconds_to_view(self, first_report: float) -> tuple[float, list[Any]]:
        clock = ManualClock()
        views = ViewStore("a", clock)
        views.adopt(view(1))
        peers = ControlPeers((*LOST, LIVE))
        calls = Calls(clock, peers)
        calls._next_report_at = clock.now() + first_report
        started = clock.now()
        client = cast(JsonClient, mock.Mock(get=calls.get))
        watch = WatchCoordinator(views, peers, client, clock, 1_000)
        while views.view.version < 2 and clock.now() - started < 30.0:
            calls.wait(watch.step())
        return clock.now() - started, calls.polls
