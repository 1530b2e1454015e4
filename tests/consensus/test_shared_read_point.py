"""Tests of reads that share one request for a read point."""

import threading
import unittest
from concurrent.futures import Future, ThreadPoolExecutor

from dogwoodspool_common import ManualClock
from dogwoodspool_consensus import NotConfirmedError
from dogwoodspool_consensus.shared_read_point import SharedReadPoint

TIMEOUT_SECONDS = 10.0
FAR_DEADLINE = 1_000.0


class Leader:
    """Simulated leader that answers each request when the test sets the result."""

    def __init__(self) -> None:
        self.asked = threading.Semaphore(0)
        self.answers: list[Future[int]] = []

    def ask(self, _deadline: float) -> int:
        answer: Future[int] = Future()
        self.answers.append(answer)
        self.asked.release()
        return answer.result(TIMEOUT_SECONDS)

    def wait_asked(self) -> None:
        assert self.asked.acquire(timeout=TIMEOUT_SECONDS)


class SharedReadPointTests(unittest.TestCase):
    """Requests are sent one at a time, and a read uses none sent before it began."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.leader = Leader()
        self.point = SharedReadPoint(self.clock, self.leader.ask)
        self.executor = self.enterContext(ThreadPoolExecutor(8))

    def read(self, deadline: float = FAR_DEADLINE) -> Future[int]:
        return self.executor.submit(self.point.get, deadline)

    def wait_joined(self, count: int) -> None:
        """Wait until ``count`` reads wait for a request to finish."""
        for _ in range(int(TIMEOUT_SECONDS * 1_000)):
            if self.clock.waiters == count:
                return
            threading.Event().wait(0.001)
        self.fail(f"{self.clock.waiters} reads wait, not {count}")

    def test_waiting_reads_share_the_next_request(self) -> None:
        """Guard against many first polls that each send a request to the leader."""
        first = self.read()
        self.leader.wait_asked()
        later = [self.read() for _ in range(5)]
        self.wait_joined(5)
        self.leader.answers[0].set_result(7)
        self.assertEqual(first.result(TIMEOUT_SECONDS), 7)
        self.leader.wait_asked()
        self.leader.answers[1].set_result(9)
        results = [one.result(TIMEOUT_SECONDS) for one in later]
        self.assertEqual(results, [9] * 5)
        self.assertEqual(len(self.leader.answers), 2)

    def test_read_does_not_use_a_request_sent_before_it(self) -> None:
        """Guard against a read that misses a change acknowledged before it began."""
        first = self.read()
        self.leader.wait_asked()
        second = self.read()
        self.wait_joined(1)
        self.leader.answers[0].set_result(7)
        self.assertEqual(first.result(TIMEOUT_SECONDS), 7)
        self.leader.wait_asked()
        self.assertFalse(second.done())
        self.leader.answers[1].set_result(8)
        self.assertEqual(second.result(TIMEOUT_SECONDS), 8)

    def test_read_with_time_left_retries_after_a_failed_request(self) -> None:
        """Guard against reads that fail together with one that had less time."""
        first = self.read()
        self.leader.wait_asked()
        later = [self.read(), self.read()]
        self.wait_joined(2)
        self.leader.answers[0].set_result(7)
        first.result(TIMEOUT_SECONDS)
        self.leader.wait_asked()
        self.leader.answers[1].set_exception(NotConfirmedError("too late"))
        self.leader.wait_asked()
        self.leader.answers[2].set_result(9)
        outcomes = [one.exception(TIMEOUT_SECONDS) for one in later]
        self.assertEqual(sum(one is None for one in outcomes), 1)
        self.assertEqual(sum(isinstance(e, NotConfirmedError) for e in outcomes), 1)

    def test_read_waits_no_longer_than_its_deadline(self) -> None:
        first = self.read()
        self.leader.wait_asked()
        second = self.read(deadline=1.0)
        self.wait_joined(1)
        self.clock.advance(1.1)
        with self.assertRaises(NotConfirmedError):
            second.result(TIMEOUT_SECONDS)
        self.leader.answers[0].set_result(7)
        self.assertEqual(first.result(TIMEOUT_SECONDS), 7)
