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
    """A queue of a server with one slot and an average service time of 10 ms."""

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
        """Start a caller and return once it waits in the queue or was refused."""
        waiting = queue.waiting
        future = self.executor.submit(queue.admit, deadline, priority)
        while queue.waiting == waiting and not future.done():
            time.sleep(0.001)
        return future


class DeadlineTests(AdmissionTestCase):
    """A statement that cannot end in time is refused, at once where that is known."""

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

    def test_room_is_taken_after_the_time_to_wait_has_passed(self) -> None:
        """Guard against a late statement that is refused although nothing runs."""
        queue = self.queue()
        self.clock.advance(1.0)
        admitted = queue.admit(2.0, Priority.READ, wait_until=0.5)
        self.assertTrue(admitted.is_ok(), admitted)

    def test_statement_that_may_not_wait_is_refused_at_once_without_room(self) -> None:
        queue = self.queue()
        queue.admit(1000, Priority.READ)
        self.clock.advance(1.0)
        refused = queue.admit(2.0, Priority.READ, wait_until=0.5).error
        self.assertEqual(refused.reason, RefusalReason.WAIT_TOO_LONG)

    def test_second_done_has_no_effect(self) -> None:
        queue = self.queue()
        held = queue.admit(1000, Priority.READ).ok
        held.done(0.01, AdmissionOutcome.ANSWERED)
        held.done(0.01, AdmissionOutcome.ANSWERED)
        self.assertEqual(queue.in_flight, 0)


class NoWorkTests(unittest.TestCase):
    """A statement that was not sent frees its admission and changes no limit."""

    def test_full_connections_do_not_lower_the_limit(self) -> None:
        """Guard against a server with free slots that gets one statement at a time.

        Statements that find no free connection are never sent. If they counted as
        unanswered, they would lower the limit to one.
        """
        queue = AdmissionQueue(ManualClock(), 4, 8, 64)
        for _ in range(100):
            admission = queue.admit(1000, Priority.READ).ok
            admission.done(0.0, AdmissionOutcome.NO_WORK)
            admission.done(0.0, AdmissionOutcome.UNANSWERED)
        self.assertEqual((queue.limit, queue.in_flight), (4, 0))


class PriorityTests(AdmissionTestCase):
    """Writes and reads that need the primary go before other reads."""

    def test_write_goes_before_reads_that_came_first(self) -> None:
        queue = self.queue()
        held = queue.admit(1000, Priority.READ).ok
        read = self.wait_in(queue, 1000, Priority.READ)
        write = self.wait_in(queue, 1000, Priority.WRITE)
        held.done(0.01, AdmissionOutcome.ANSWERED)
        write.result(5).ok.done(0.01, AdmissionOutcome.ANSWERED)
        read.result(5).ok.done(0.01, AdmissionOutcome.ANSWERED)

    def test_write_displaces_a_read_in_a_full_queue(self) -> None:
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


class ServerRefusalTests(AdmissionTestCase):
    """Callers whom the server itself refused retry one after the other."""

    def test_retries_wait_until_the_servers_queue_may_have_room(self) -> None:
        """Guard against callers that all retry at once on a full server."""
        queue = self.queue()
        delays = [queue.next_retry_after_ms() for _ in range(4)]
        self.assertGreaterEqual(delays[0], 10)
        self.assertEqual(delays, sorted(set(delays)))


class BoundTests(unittest.TestCase):
    """Statements in flight never exceed the limit."""

    def test_limit_holds_under_many_callers(self) -> None:
        queue = AdmissionQueue(ManualClock(), 3, 3, 1000)
        self.assertEqual(self.peak_in_flight(queue), 3)

    def peak_in_flight(self, queue: AdmissionQueue) -> int:
        lock = threading.Lock()
        running = peak = 0
        barrier = threading.Barrier(3, timeout=10)

        def caller() -> None:
            nonlocal running, peak
            admission = queue.admit(1000, Priority.READ).ok
            with lock:
                running += 1
                peak = max(peak, running)
            barrier.wait()
            with lock:
                running -= 1
            barrier.wait()
            admission.done(0.001, AdmissionOutcome.ANSWERED)

        with ThreadPoolExecutor(12) as executor:
            for future in [executor.submit(caller) for _ in range(60)]:
                future.result(20)
        return peak


class UrgentTests(unittest.TestCase):
    """An urgent statement is admitted above a limit of one that is in use."""

    def setUp(self) -> None:
        clock = ManualClock()
        self.queue = StatementQueue(clock, slots=1, max_in_flight=8, queue_limit=4)

    def request(self, priority: Priority) -> Ticket:
        """Request admission for a statement with a distant deadline."""
        requested = self.queue.request_admission(1_000.0, priority, lambda: None)
        assert requested.is_ok()
        return requested.ok

    def test_an_urgent_statement_does_not_wait_for_a_less_urgent_one(self) -> None:
        """Guard against urgent statements refused because of less urgent ones."""
        self.request(Priority.READ)
        self.assertIs(self.request(Priority.READ).state, TicketState.WAITING)
        self.assertIs(self.request(Priority.WRITE).state, TicketState.ADMITTED)

    def test_urgent_statements_exceed_the_limit_by_one_at_most(self) -> None:
        self.request(Priority.READ)
        self.request(Priority.READ_PRIMARY)
        self.assertIs(self.request(Priority.READ_PRIMARY).state, TicketState.WAITING)
        self.assertIs(self.request(Priority.WRITE).state, TicketState.WAITING)
        self.assertEqual(self.queue.in_flight, 2)

    def test_the_admission_above_the_limit_is_not_given_to_others(self) -> None:
        read = self.request(Priority.READ)
        write = self.request(Priority.WRITE)
        waiting = self.request(Priority.READ)
        self.queue.end(read, 0.01, AdmissionOutcome.ANSWERED)
        self.assertIs(waiting.state, TicketState.WAITING)
        self.queue.end(write, 0.01, AdmissionOutcome.ANSWERED)
        self.assertIs(waiting.state, TicketState.ADMITTED)

    def test_no_more_are_in_flight_than_there_are_connections(self) -> None:
        """Guard against waits for a connection, which no estimate includes."""
        self.queue.set_max_in_flight(1)
        self.request(Priority.READ)
        self.assertIs(self.request(Priority.WRITE).state, TicketState.WAITING)
