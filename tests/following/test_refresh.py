"""Tests of the confirmation that every use of the view asks for."""

import threading
import time
import unittest
from collections.abc import Callable
from typing import Final, cast
from unittest import mock

from dogwoodspool_api import WatchResponse
from dogwoodspool_common import Address, JsonClient, ManualClock, PeerUnreachableError
from dogwoodspool_following import ControlPeers, ViewConfirmation, ViewStore
from dogwoodspool_following.const import (
    CONFIRMATION_TIMEOUT,
    MAX_UNCONFIRMED_SECONDS,
    VIEW_CHECK_ATTEMPT_SECONDS,
)

from .baton import Baton
from .confirming_fleet import ADDRESSES, ConfirmingProxy, ControlGroup, Loss, play

CUT: Final = (5.0, 14.0)
CALLERS: Final = 5
PROXIES: Final = 3
# Time that a call takes which waits for nothing.
AT_ONCE_SECONDS: Final = 0.02
# Time that a read and its notification take beyond a bound.
SLACK_SECONDS: Final = 0.1
LONG_SECONDS: Final = 5.0
HELD_UP_SECONDS: Final = 10.0
# By how much each wait of a process ends late that hardly runs.
LATE_SECONDS: Final = 0.6
# For how many times its usual time a caller may wait there.
MAX_LATE_WAITS: Final = 3
MAX_WAITS: Final = 100


def waits(proxy: ConfirmingProxy) -> list[tuple[float, float]]:
    """Return begin and end of each call that did not return at once."""
    return [
        (began_at, ended_at)
        for began_at, ended_at, _ in proxy.calls
        if ended_at - began_at > AT_ONCE_SECONDS
    ]


class CutOffTests(unittest.TestCase):
    """Callers use a proxy that is cut off from control for a while."""

    def played(self, loss: Loss) -> list[ConfirmingProxy]:
        """Return proxies after a cut, without the calls of their start."""
        proxies = play(
            ControlGroup(Baton(), loss, cut=CUT, proxies=PROXIES), callers=CALLERS
        )
        for one in proxies:
            one.calls = [call for call in one.calls if call[0] >= CUT[0] - 2.0]
        return proxies

    def test_no_caller_waits_again_and_again(self) -> None:
        """Guard against a proxy that delays each statement while control is away."""
        for loss in Loss:
            for proxy in self.played(loss):
                with self.subTest(loss=loss):
                    waited = waits(proxy)
                    self.assertLessEqual(len(waited), CALLERS)
                    longest = max((end - start for start, end in waited), default=0.0)
                    limit = CONFIRMATION_TIMEOUT + AT_ONCE_SECONDS
                    self.assertLess(longest, limit)

    def test_callers_stop_waiting_together(self) -> None:
        """Guard against callers that each wait for their own time in vain."""
        for proxy in self.played(Loss.HANGING):
            ends = [end for _, end in waits(proxy)]
            if ends:
                self.assertLess(max(ends) - min(ends), AT_ONCE_SECONDS)

    def test_views_are_confirmed_again_after_the_cut(self) -> None:
        """Guard against a proxy that goes on using an old view for long."""
        for loss in Loss:
            back = CUT[1] + 2 * VIEW_CHECK_ATTEMPT_SECONDS + SLACK_SECONDS
            for proxy in self.played(loss):
                with self.subTest(loss=loss):
                    after = [is_recent for at, _, is_recent in proxy.calls if at > back]
                    self.assertTrue(all(after))

    def test_view_is_known_to_be_old_in_the_cut(self) -> None:
        """Guard against an old view that counts as a confirmed one."""
        for loss in Loss:
            old = CUT[0] + MAX_UNCONFIRMED_SECONDS + SLACK_SECONDS
            for proxy in self.played(loss):
                with self.subTest(loss=loss):
                    within = [
                        is_recent
                        for at, _, is_recent in proxy.calls
                        if old < at < CUT[1]
                    ]
                    self.assertFalse(any(within))


class HungProcessTests(unittest.TestCase):
    """One control process hangs, and the others go on."""

    def test_callers_neither_wait_nor_fail(self) -> None:
        """Guard against a process that hangs and counts as a control that is away."""
        for loss in Loss:
            group = ControlGroup(Baton(), loss, {ADDRESSES[2]: 4.0}, proxies=PROXIES)
            for proxy in play(group, callers=CALLERS):
                with self.subTest(loss=loss):
                    self.assertTrue(all(is_recent for *_, is_recent in proxy.calls))
                    late = [start for start, _ in waits(proxy) if start > 4.0]
                    self.assertEqual([], late)


class StarvedProxyTests(unittest.TestCase):
    """The view has not been checked for long, and no failure is known."""

    def test_callers_ask_together(self) -> None:
        """Guard against the use of an old view, and against a read for each caller."""
        for hanging in (None, *ADDRESSES):
            with self.subTest(hanging=hanging):
                clock = Baton()
                lost = {} if hanging is None else {hanging: 0.0}
                group = ControlGroup(clock, Loss.HANGING, lost, end=HELD_UP_SECONDS)
                proxy = ConfirmingProxy(group, "edge-1", 0.0)
                results: list[bool] = []

                def call(
                    proxy: ConfirmingProxy = proxy, results: list[bool] = results
                ) -> None:
                    results.append(proxy.confirmation.refresh())

                clock.play([call] * 50)
                self.assertEqual([True] * 50, results)
                self.assertLessEqual(len(group.reads), len(ADDRESSES))

    def test_callers_go_on_asking_after_a_failure(self) -> None:
        """Guard against an old view that is used for seconds after control is back.

        The failure tells callers not to wait, and nobody else asks control.
        """
        cut = (1.0, 2.5)
        group = ControlGroup(Baton(), Loss.REFUSED, cut=cut, end=HELD_UP_SECONDS)
        proxy = ConfirmingProxy(group, "edge-1", 0.0)
        group.clock.play([proxy.call])
        back = cut[1] + 2 * VIEW_CHECK_ATTEMPT_SECONDS + SLACK_SECONDS
        late = [at for at, _, is_recent in proxy.calls if at > back and not is_recent]
        self.assertEqual([], late)

    def test_old_failure_is_no_reason_to_use_an_old_view(self) -> None:
        """Guard against a proxy that does not ask since control was away long ago."""
        clock = Baton()
        group = ControlGroup(clock, Loss.REFUSED, cut=(0.0, 2.0), end=HELD_UP_SECONDS)
        proxy = ConfirmingProxy(group, "edge-1", 0.0)
        results: list[bool] = []

        def call() -> None:
            for _ in range(2):
                results.append(proxy.confirmation.refresh())
                clock.sleep(HELD_UP_SECONDS)

        clock.play([call])
        self.assertEqual([False, True], results)

    def test_later_callers_do_not_prolong_the_wait(self) -> None:
        """Guard against callers that wait for as long as others arrive."""
        clock = Baton()
        lost = dict.fromkeys(ADDRESSES, 0.0)
        group = ControlGroup(clock, Loss.HANGING, lost, end=HELD_UP_SECONDS)
        proxy = ConfirmingProxy(group, "edge-1", 0.0)

        def arrive() -> None:
            for _ in range(40):
                clock.start(call)
                clock.sleep(CONFIRMATION_TIMEOUT / 10)

        def call() -> None:
            began_at = clock.now()
            is_recent = proxy.confirmation.refresh()
            proxy.calls.append((began_at, clock.now(), is_recent))

        clock.play([arrive])
        longest = max(end - start for start, end, _ in proxy.calls)
        self.assertLess(longest, CONFIRMATION_TIMEOUT + AT_ONCE_SECONDS)


class HeldUpProxyTests(unittest.TestCase):
    """The process of a proxy does not run for some seconds."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.release = threading.Event()
        self.answer: Callable[[], WatchResponse] = self.confirmed
        self.asked = threading.Semaphore(0)
        views = ViewStore("zone-a", self.clock)
        client = cast(JsonClient, self)
        self.confirmation = ViewConfirmation(
            views, ControlPeers((Address("127.0.0.1", 1),)), client, self.clock
        )
        self.addCleanup(self.confirmation.unload)
        self.addCleanup(self.release.set)

    def confirmed(self) -> WatchResponse:
        """Confirm that there is nothing newer."""
        return WatchResponse(view=None, leader=None)

    def timed_out(self) -> WatchResponse:
        """Give no answer."""
        raise PeerUnreachableError("timed out")

    def get(self, *_args: object) -> dict[str, object]:
        """Answer once the test says so."""
        self.asked.release()
        self.release.wait(LONG_SECONDS)
        return self.answer().model_dump(mode="json")

    def wait_for(self, is_so: Callable[[], bool]) -> None:
        """Wait until something holds."""
        deadline = time.monotonic() + LONG_SECONDS
        while not is_so():
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.001)

    def call(self) -> tuple[threading.Thread, list[bool]]:
        """Begin a call that waits; return its thread and result."""
        results: list[bool] = []
        thread = threading.Thread(
            target=lambda: results.append(self.confirmation.refresh())
        )
        thread.start()
        self.wait_for(lambda: self.clock.waiters == 1)
        return thread, results

    def test_read_that_ended_late_tells_nothing_of_control(self) -> None:
        """Guard against the use of an old view right after a process was held up."""
        self.confirmation.advance()
        self.assertTrue(self.asked.acquire(timeout=LONG_SECONDS))
        self.answer = self.timed_out
        self.clock.advance(HELD_UP_SECONDS)
        self.release.set()
        self.wait_for(lambda: self.confirmation._attempts.newest is None)
        self.answer = self.confirmed
        self.assertTrue(self.confirmation.refresh())

    def test_wait_that_was_held_up_begins_again(self) -> None:
        """Guard against a caller whose time to wait passes while nothing runs."""
        thread, results = self.call()
        self.clock.advance(HELD_UP_SECONDS)
        # The waiting caller has asked again.
        for _ in range(2):
            self.assertTrue(self.asked.acquire(timeout=LONG_SECONDS))
        self.release.set()
        thread.join(LONG_SECONDS)
        self.assertEqual([True], results)

    def test_wait_ends_where_control_hangs(self) -> None:
        """Guard against callers that wait for longer than a moment."""
        thread, results = self.call()
        self.clock.advance(CONFIRMATION_TIMEOUT)
        thread.join(LONG_SECONDS)
        self.assertEqual([False], results)
        self.assertFalse(self.confirmation.refresh())
        # The proxy ran, so that it is control that does not answer.
        self.assertIsNone(self.confirmation.refusal)


class LateClock(ManualClock):
    """A clock on which each wait ends late, as in a process that hardly runs."""

    def __init__(self) -> None:
        super().__init__(100.0)
        self.waits = 0

    def wait(self, condition: threading.Condition, seconds: float) -> bool:
        self.waits += 1
        if self.waits > MAX_WAITS:
            raise TimeoutError("a caller waits for good")
        condition.release()
        try:
            self.advance(seconds + LATE_SECONDS)
        finally:
            condition.acquire()
        return False


class LateProxyTests(unittest.TestCase):
    """Control gives no answer, and each wait of a proxy takes too long."""

    def setUp(self) -> None:
        self.clock, release = LateClock(), threading.Event()
        self.addCleanup(release.set)
        client = mock.Mock()
        client.get.side_effect = lambda *_args: release.wait(LONG_SECONDS)
        self.confirmation = ViewConfirmation(
            ViewStore("zone-a", self.clock),
            ControlPeers((Address("127.0.0.1", 1),)),
            cast(JsonClient, client),
            self.clock,
        )

    def test_wait_ends(self) -> None:
        """Guard against callers that wait for good at a busy proxy that is cut off."""
        began_at = self.clock.now()
        self.assertFalse(self.confirmation.refresh())
        limit = MAX_LATE_WAITS * (CONFIRMATION_TIMEOUT + LATE_SECONDS)
        self.assertLessEqual(self.clock.now() - began_at, limit)

    def test_view_is_not_used(self) -> None:
        """Guard against an old view at a proxy that has no time to ask control."""
        self.assertFalse(self.confirmation.refresh())
        self.assertIn("held up", self.confirmation.refusal or "")

    def test_late_wait_for_a_denial_tells_nothing_of_control(self) -> None:
        """Guard against an old view that is used as a denial took too long."""
        self.assertFalse(self.confirmation.confirm())
        self.assertIn("held up", self.confirmation.refusal or "")

    def test_later_callers_are_refused_at_once(self) -> None:
        """Guard against callers that each wait for what cannot be known in time."""
        self.confirmation.refresh()
        waits = self.clock.waits
        self.assertFalse(self.confirmation.refresh())
        self.assertEqual(waits, self.clock.waits)
