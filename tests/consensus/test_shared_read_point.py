"""Tests of reads that share one question for a read point."""

import threading
import unittest
from concurrent.futures import Future, ThreadPoolExecutor

from dogwoodspool_common import ManualClock
from dogwoodspool_consensus import NotConfirmedError
from dogwoodspool_consensus.shared_read_point import SharedReadPoint

PATIENCE_SECONDS = 10.0
FAR = 1_000.0


class Leader:
    """Answers each question when the test says so."""

    def __init__(self) -> None:
        self.asked = threading.Semaphore(0)
        self.answers: list[Future[int]] = []

    def ask(self, _deadline: float) -> int:
        answer: Future[int] = Future()
        self.answers.append(answer)
        self.asked.release()
        return answer.result(PATIENCE_SECONDS)

    def wait_asked(self) -> None:
        assert self.asked.acquire(timeout=PATIENCE_SECONDS)


class SharedReadPointTests(unittest.TestCase):
    """One question at a time, and none that began before the read did."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.leader = Leader()
        self.point = SharedReadPoint(self.clock, self.leader.ask)
        self.executor = self.enterContext(ThreadPoolExecutor(8))

    def read(self, deadline: float = FAR) -> Future[int]:
        return self.executor.submit(self.point.get, deadline)

    def wait_joined(self, count: int) -> None:
        """Wait until so many reads wait for the end of a question."""
        for _ in range(int(PATIENCE_SECONDS * 1_000)):
            if self.clock.waiters == count:
                return
            threading.Event().wait(0.001)
        self.fail("the reads do not wait")

    def test_reads_that_wait_share_the_next_question(self) -> None:
        """Guard against a crowd of first polls that asks the leader one by one."""
        first = self.read()
        self.leader.wait_asked()
        later = [self.read() for _ in range(5)]
        self.wait_joined(5)
        self.leader.answers[0].set_result(7)
        self.assertEqual(first.result(PATIENCE_SECONDS), 7)
        self.leader.wait_asked()
        self.leader.answers[1].set_result(9)
        results = [one.result(PATIENCE_SECONDS) for one in later]
        self.assertEqual(results, [9] * 5)
        self.assertEqual(len(self.leader.answers), 2)

    def test_a_read_takes_no_answer_to_a_question_before_it(self) -> None:
        """Guard against a read that misses what was acknowledged before it began."""
        first = self.read()
        self.leader.wait_asked()
        second = self.read()
        self.wait_joined(1)
        self.leader.answers[0].set_result(7)
        self.assertEqual(first.result(PATIENCE_SECONDS), 7)
        self.leader.wait_asked()
        self.assertFalse(second.done())
        self.leader.answers[1].set_result(8)
        self.assertEqual(second.result(PATIENCE_SECONDS), 8)

    def test_a_read_with_time_left_asks_after_a_failed_question(self) -> None:
        """Guard against reads that fail with one that had less time."""
        first = self.read()
        self.leader.wait_asked()
        later = [self.read(), self.read()]
        self.wait_joined(2)
        self.leader.answers[0].set_result(7)
        first.result(PATIENCE_SECONDS)
        self.leader.wait_asked()
        self.leader.answers[1].set_exception(NotConfirmedError("too late"))
        self.leader.wait_asked()
        self.leader.answers[2].set_result(9)
        outcomes = [one.exception(PATIENCE_SECONDS) for one in later]
        self.assertEqual(sum(one is None for one in outcomes), 1)
        self.assertEqual(sum(isinstance(e, NotConfirmedError) for e in outcomes), 1)

    def test_a_read_waits_no_longer_than_it_may(self) -> None:
        first = self.read()
        self.leader.wait_asked()
        second = self.read(deadline=1.0)
        self.wait_joined(1)
        self.clock.advance(1.1)
        with self.assertRaises(NotConfirmedError):
            second.result(PATIENCE_SECONDS)
        self.leader.answers[0].set_result(7)
        self.assertEqual(first.result(PATIENCE_SECONDS), 7)
