"""Tests of admission to one backend server."""

import threading
import time
import unittest
from concurrent.futures import Future, ThreadPoolExecutor

from dogwoodspool_common import ManualClock
from dogwoodspool_limits import (
    Admission,
    AdmissionOutcome,
    AdmissionQueue,
    Priority,
    Refusal,
    RefusalReason,
    StatementQueue,
    Ticket,
    TicketState,
)
from expression import Result

Admitted = Result[Admission, Refusal]


class AdmissionTestCase(unittest.TestCase):
    """A queue before a server with one slot and an average of 10 ms."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.executor = self.enterContext(ThreadPoolExecutor(8))

    def queue(self, queue_limit: int = 4) -> AdmissionQueue:
        queue = AdmissionQueue(self.clock, 1, 1, queue_limit)
        for _ in range(200):
            queue.admit(1000, Priority.READ).ok.done(0.01, AdmissionOutcome.ANSWERED)
        return queue

    def wait_in(
        self,
        queue: AdmissionQueue,
        deadline: float,
        priority: Priority = Priority.READ,
    ) -> "Future[Admitted]":
        """Start a caller and return once it stands in the queue."""
        waiting = queue.waiting
        future = self.executor.submit(queue.admit, deadline, priority)
        while queue.waiting == waiting and not future.done():
            time.sleep(0.001)
        return future


class DeadlineTests(AdmissionTestCase):
    """What cannot be served in time is refused, and at once where it is known."""

    def test_room_admits_at_once(self) -> None:
        self.assertTrue(self.queue().admit(0.001, Priority.READ).is_ok())

    def test_wait_past_the_deadline_is_refused_at_once(self) -> None:
        queue = self.queue()
        held = queue.admit(1000, Priority.READ).ok
        first = self.wait_in(queue, 1000)
        refused = queue.admit(0.015, Priority.READ).error
        self.assertEqual(refused.reason, RefusalReason.WAIT_TOO_LONG)
        self.assertEqual(refused.retry_after_ms, 20)
        held.done(0.01, AdmissionOutcome.ANSWERED)
        first.result(5).ok.done(0.01, AdmissionOutcome.ANSWERED)

    def test_start_too_late_to_be_answered_in_time_is_refused(self) -> None:
        queue = self.queue()
        held = queue.admit(1000, Priority.READ).ok
        first = self.wait_in(queue, 1000)
        # Its turn would come after 20 ms and its answer after 30 ms.
        refused = queue.admit(0.025, Priority.READ).error
        self.assertEqual(refused.reason, RefusalReason.WAIT_TOO_LONG)
        held.done(0.01, AdmissionOutcome.ANSWERED)
        first.result(5).ok.done(0.01, AdmissionOutcome.ANSWERED)

    def test_waiter_is_refused_when_its_deadline_passes(self) -> None:
        queue = self.queue()
        held = queue.admit(1000, Priority.READ).ok
        waiter = self.wait_in(queue, 1.0)
        self.clock.advance(1.0)
        reason = waiter.result(5).error.reason
        self.assertEqual(reason, RefusalReason.DEADLINE_PASSED)
        self.assertEqual(queue.waiting, 0)
        held.done(0.01, AdmissionOutcome.ANSWERED)
        self.assertEqual(queue.in_flight, 0)

    def test_second_done_gives_nothing_back(self) -> None:
        queue = self.queue()
        held = queue.admit(1000, Priority.READ).ok
        held.done(0.01, AdmissionOutcome.ANSWERED)
        held.done(0.01, AdmissionOutcome.ANSWERED)
        self.assertEqual(queue.in_flight, 0)


class WithdrawalTests(unittest.TestCase):
    """A statement that was not sent leaves no trace but its place."""

    def test_full_connections_do_not_lower_the_limit(self) -> None:
        """Guard against servers with free slots that get one statement at a time."""
        queue = AdmissionQueue(ManualClock(), 4, 8, 64)
        for _ in range(100):
            admission = queue.admit(1000, Priority.READ).ok
            admission.done(0.0, AdmissionOutcome.NO_WORK)
            admission.done(0.0, AdmissionOutcome.UNANSWERED)
        self.assertEqual((queue.limit, queue.in_flight), (4, 0))


class PriorityTests(AdmissionTestCase):
    """The primary is kept for writes and for reads that need it."""

    def test_write_goes_before_reads_that_came_first(self) -> None:
        queue = self.queue()
        held = queue.admit(1000, Priority.READ).ok
        read = self.wait_in(queue, 1000, Priority.READ)
        write = self.wait_in(queue, 1000, Priority.WRITE)
        held.done(0.01, AdmissionOutcome.ANSWERED)
        write.result(5).ok.done(0.01, AdmissionOutcome.ANSWERED)
        read.result(5).ok.done(0.01, AdmissionOutcome.ANSWERED)

    def test_full_queue_gives_a_reads_place_to_a_write(self) -> None:
        queue = self.queue(queue_limit=2)
        held = queue.admit(1000, Priority.READ).ok
        kept = self.wait_in(queue, 1000, Priority.READ)
        displaced = self.wait_in(queue, 1000, Priority.READ)
        full = queue.admit(1000, Priority.READ).error
        self.assertEqual(full.reason, RefusalReason.QUEUE_FULL)
        write = self.executor.submit(queue.admit, 1000.0, Priority.WRITE)
        reason = displaced.result(5).error.reason
        self.assertEqual(reason, RefusalReason.DISPLACED)
        held.done(0.01, AdmissionOutcome.ANSWERED)
        write.result(5).ok.done(0.01, AdmissionOutcome.ANSWERED)
        kept.result(5).ok.done(0.01, AdmissionOutcome.ANSWERED)


class ReturnTests(AdmissionTestCase):
    """Callers whom the server itself refused come back one after the other."""

    def test_they_come_back_when_its_queue_may_have_room(self) -> None:
        """Guard against a crowd that returns at once to a server that is full."""
        queue = self.queue()
        turns = [queue.next_retry_after_ms() for _ in range(4)]
        self.assertGreaterEqual(turns[0], 10)
        self.assertEqual(turns, sorted(set(turns)))


class BoundTests(unittest.TestCase):
    """Statements in flight never pass the limit."""

    def test_limit_holds_under_many_callers(self) -> None:
        queue = AdmissionQueue(ManualClock(), 3, 3, 1000)
        self.assertEqual(self.most_in_flight(queue), 3)

    def most_in_flight(self, queue: AdmissionQueue) -> int:
        lock = threading.Lock()
        running = most = 0
        barrier = threading.Barrier(3, timeout=10)

        def caller() -> None:
            nonlocal running, most
            admission = queue.admit(1000, Priority.READ).ok
            with lock:
                running += 1
                most = max(most, running)
            barrier.wait()
            with lock:
                running -= 1
            barrier.wait()
            admission.done(0.001, AdmissionOutcome.ANSWERED)

        with ThreadPoolExecutor(12) as executor:
            for future in [executor.submit(caller) for _ in range(60)]:
                future.result(20)
        return most


class UrgentTests(unittest.TestCase):
    """A process may have one place before a server, which is taken nearly always."""

    def setUp(self) -> None:
        clock = ManualClock()
        self.queue = StatementQueue(clock, slots=1, max_in_flight=8, queue_limit=4)

    def arrive(self, priority: Priority) -> Ticket:
        """Let a statement arrive that has time."""
        arrived = self.queue.request_admission(1_000.0, priority, lambda: None)
        assert arrived.is_ok()
        return arrived.ok

    def test_an_urgent_statement_does_not_wait_for_one_that_is_not(self) -> None:
        """Guard against an urgent class that is refused for a place of others."""
        self.arrive(Priority.READ)
        self.assertIs(self.arrive(Priority.READ).state, TicketState.WAITING)
        self.assertIs(self.arrive(Priority.WRITE).state, TicketState.ADMITTED)

    def test_urgent_statements_keep_to_the_limit_and_one_more(self) -> None:
        self.arrive(Priority.READ)
        self.arrive(Priority.READ_PRIMARY)
        self.assertIs(self.arrive(Priority.READ_PRIMARY).state, TicketState.WAITING)
        self.assertIs(self.arrive(Priority.WRITE).state, TicketState.WAITING)
        self.assertEqual(self.queue.in_flight, 2)

    def test_the_place_above_the_limit_is_not_passed_on_to_others(self) -> None:
        read = self.arrive(Priority.READ)
        write = self.arrive(Priority.WRITE)
        waiting = self.arrive(Priority.READ)
        self.queue.end(read, 0.01, AdmissionOutcome.ANSWERED)
        self.assertIs(waiting.state, TicketState.WAITING)
        self.queue.end(write, 0.01, AdmissionOutcome.ANSWERED)
        self.assertIs(waiting.state, TicketState.ADMITTED)

    def test_no_more_are_in_flight_than_there_are_connections(self) -> None:
        """Guard against waits for a connection, which nobody estimates."""
        self.queue.set_max_in_flight(1)
        self.arrive(Priority.READ)
        self.assertIs(self.arrive(Priority.WRITE).state, TicketState.WAITING)
