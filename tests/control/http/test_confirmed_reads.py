"""Tests of confirmed reads that share a confirmation."""

import contextlib
import threading
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from dogwoodspool_api import WatchResponse
from dogwoodspool_api.const import PATH_WATCH
from dogwoodspool_common import JsonRequest, JsonResponse, ManualClock
from dogwoodspool_consensus import NotConfirmedError
from dogwoodspool_control.const import MAX_CONFIRMED_READS
from dogwoodspool_control.http.support import WaitSlots
from dogwoodspool_control.http.watch import WatchApi

from ..fakes import FakeLog, Voter, populate

PROXIES = 60
TIMEOUT_SECONDS = 10.0


class ConfirmedReadsFixture(unittest.TestCase):
    """The endpoint of a control process whose quorum a test controls."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.voter = Voter(self.clock, FakeLog())
        self.voter.lead(term=1)
        populate(self.voter, {"p1": "fd1"})
        self.confirmed = 0
        self.on_confirm: Callable[[], None] = lambda: None
        self.voter.log_node.confirm_read = self._confirm  # type: ignore[method-assign]
        self.watch = WatchApi(
            self.voter.node, self.voter.state, WaitSlots(1), self.clock
        )
        (self.route,) = self.watch.routes()

    def _confirm(self, timeout: float) -> int:
        del timeout
        self.on_confirm()
        self.confirmed += 1
        return 0

    def lose_quorum(self) -> None:
        """Let no read be confirmed from now on."""

        def refuse() -> None:
            raise NotConfirmedError("no quorum")

        self.on_confirm = refuse

    def ask(self, max_age_ms: int = 0) -> JsonResponse:
        """Make a confirmed read; with 0 it accepts no earlier confirmation."""
        query = {"after": "1", "wait_ms": "0", "confirmed": "1"}
        if max_age_ms:
            query["max_age_ms"] = str(max_age_ms)
        return self.route.handler(JsonRequest(PATH_WATCH, query, None))

    def read(self, max_age_ms: int = 0) -> WatchResponse:
        """Return the answer to a confirmed read."""
        body: Any = self.ask(max_age_ms).body
        return WatchResponse.model_validate(body)

    @contextlib.contextmanager
    def full(self) -> Any:
        """Hold all slots, as reads do that wait for a quorum."""
        with contextlib.ExitStack() as taken:
            for _ in range(MAX_CONFIRMED_READS):
                taken.enter_context(self.watch._reads.slots.taken())
            yield


class SharedConfirmationTests(ConfirmedReadsFixture):
    """A recent confirmation serves all reads that accept it."""

    def test_reads_need_no_slot(self) -> None:
        """Guard against proxies that are starved by a few reads that wait."""
        self.read()
        self.clock.advance(0.125)
        with self.full():
            answer = self.read(250)
        self.assertEqual((0, 125), (answer.retry_after_ms, answer.confirmed_age_ms))
        self.assertIsNotNone(answer.view)

    def test_crowd_after_an_election(self) -> None:
        """Guard against an election after which most proxies find no free slot."""
        is_over = threading.Event()
        started = threading.Semaphore(0)

        def wait_for_leader() -> None:
            started.release()
            is_over.wait(TIMEOUT_SECONDS)

        self.on_confirm = wait_for_leader
        with ThreadPoolExecutor(PROXIES) as executor:
            waiting = [
                executor.submit(self.read, 250) for _ in range(MAX_CONFIRMED_READS)
            ]
            for _ in waiting:
                started.acquire(timeout=TIMEOUT_SECONDS)
            self.assertTrue(self.read(250).retry_after_ms)
            is_over.set()
            answers = [one.result(TIMEOUT_SECONDS) for one in waiting]
            # The next leader is slow to answer.
            is_over.clear()
            crowd = [executor.submit(self.read, 250) for _ in range(PROXIES)]
            try:
                answers += [one.result(TIMEOUT_SECONDS / 2) for one in crowd]
            finally:
                is_over.set()
        self.assertEqual({0}, {one.retry_after_ms for one in answers})
        self.assertEqual(MAX_CONFIRMED_READS, self.confirmed)

    def test_age_is_never_more_than_accepted(self) -> None:
        """Guard against a proxy that takes an old confirmation for a new one."""
        self.read()
        self.clock.advance(0.375)
        self.lose_quorum()
        self.assertEqual(503, self.ask(250).status)
        self.assertEqual(375, self.read(400).confirmed_age_ms)

    def test_age_counts_from_the_beginning_of_the_confirmation(self) -> None:
        """Guard against changes that are acknowledged during a confirmation."""
        self.on_confirm = lambda: self.clock.advance(0.125)
        self.read()
        self.assertEqual(125, self.read(250).confirmed_age_ms)

    def test_one_read_renews_the_confirmation_for_all(self) -> None:
        """Guard against reads that all need a slot at the moment it expires."""
        self.read()
        self.clock.advance(0.1875)
        self.on_confirm = lambda: ages.append(self.read(250).confirmed_age_ms)
        ages: list[int] = []
        self.assertEqual(0, self.read(250).confirmed_age_ms)
        self.assertEqual(([188], 2), (ages, self.confirmed))

    def test_read_that_accepts_no_age_asks_a_quorum(self) -> None:
        """Guard against a first view that rests on an earlier confirmation."""
        self.read(250)
        self.lose_quorum()
        self.assertEqual(503, self.ask().status)

    def test_age_is_not_sent_to_earlier_builds(self) -> None:
        """Guard against proxies of an earlier build that reject the answer."""
        self.read()
        self.clock.advance(0.1)
        self.assertNotIn("confirmed_age_ms", self.ask().body)


if __name__ == "__main__":
    unittest.main()
