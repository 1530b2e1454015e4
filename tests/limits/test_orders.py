"""Tests of the queue disciplines."""

import time
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from dogwoodspool_common import ManualClock
from dogwoodspool_limits import (
    AdmissionOutcome,
    AdmissionQueue,
    ArrivalOrder,
    PriorityOrder,
    QueueOrder,
    RefusalReason,
    StatementQueue,
    TargetOrder,
    Ticket,
    TicketState,
    Work,
)

ORDERS: tuple[Callable[[], QueueOrder], ...] = (
    ArrivalOrder,
    TargetOrder,
    PriorityOrder,
)
SERVICE_TIME = 0.01


def work(target: float, priority: int = 2, deadline: float | None = None) -> Work:
    """Return work with a target, and a deadline twice as far by default."""
    return Work(priority, target, deadline or 2 * target)


class OrderTestCase(unittest.TestCase):
    """A queue of a server with one slot and a service time of 10 ms."""

    def setUp(self) -> None:
        self.clock = ManualClock()

    def queue(self, order: QueueOrder, queue_limit: int = 8) -> StatementQueue:
        queue = StatementQueue(self.clock, 1, 1, queue_limit, order=order)
        for _ in range(200):
            self.end(queue, self.request(queue, work(1_000.0)))
        return queue

    def request(self, queue: StatementQueue, requested: Work) -> Ticket:
        return queue.request_work(requested, lambda: None).ok

    def end(self, queue: StatementQueue, ticket: Ticket) -> None:
        queue.end(ticket, SERVICE_TIME, AdmissionOutcome.ANSWERED)

    def run_order(self, queue: StatementQueue, tickets: list[Ticket]) -> list[int]:
        """Run all tickets; return the indices in the order of their admission."""
        ran: list[int] = []
        while len(ran) < len(tickets):
            admitted = [
                index
                for index, ticket in enumerate(tickets)
                if ticket.state is TicketState.ADMITTED and index not in ran
            ]
            self.assertEqual(len(admitted), 1)
            ran += admitted
            self.clock.advance(SERVICE_TIME)
            self.end(queue, tickets[admitted[0]])
        return ran


class NextTests(OrderTestCase):
    """Each discipline runs the waiting work in its own order."""

    def test_nearest_target_goes_first(self) -> None:
        queue = self.queue(TargetOrder())
        tickets = [self.request(queue, work(target)) for target in (1.0, 0.9, 0.2, 0.5)]
        self.assertEqual(self.run_order(queue, tickets), [0, 2, 3, 1])

    def test_priority_goes_before_target(self) -> None:
        queue = self.queue(PriorityOrder())
        requested = (work(1.0), work(0.5), work(0.9, priority=1), work(0.4))
        tickets = [self.request(queue, one) for one in requested]
        self.assertEqual(self.run_order(queue, tickets), [0, 2, 3, 1])

    def test_work_that_misses_its_target_goes_last(self) -> None:
        """Guard against work that is late already and makes the rest late too."""
        for order in (TargetOrder(), PriorityOrder()):
            self.clock = ManualClock()
            queue = self.queue(order)
            requested = (work(1.0), work(0.005, deadline=2.0), work(0.5))
            tickets = [self.request(queue, one) for one in requested]
            self.assertEqual(order.demoted, 1)
            self.assertEqual(self.run_order(queue, tickets), [0, 2, 1])


class RefusalTests(OrderTestCase):
    """Work that cannot be served is refused as soon as that is known."""

    def test_work_that_cannot_end_in_time_is_refused_at_once(self) -> None:
        for order in (TargetOrder(), PriorityOrder()):
            queue = self.queue(order)
            for _ in range(6):
                self.request(queue, work(0.2))
            refused = queue.request_work(work(0.015, deadline=0.03), lambda: None)
            self.assertEqual(refused.error.reason, RefusalReason.WAIT_TOO_LONG)
            self.assertGreaterEqual(refused.error.estimated_wait_ms, 50)

    def test_a_blocked_thread_is_woken_when_its_work_becomes_hopeless(self) -> None:
        """Guard against callers that wait for an answer which cannot come."""
        queue = AdmissionQueue(self.clock, 1, 1, 8, order=PriorityOrder())
        for _ in range(200):
            admitted = queue.admit_work(work(1_000.0)).ok
            admitted.done(SERVICE_TIME, AdmissionOutcome.ANSWERED)
        held = queue.admit_work(work(1_000.0)).ok
        with ThreadPoolExecutor(8) as executor:
            hopeless = executor.submit(queue.admit_work, work(0.03, deadline=0.035))
            self.wait_until(lambda: queue.waiting == 1)
            urgent = [
                executor.submit(queue.admit_work, work(0.3, priority=0))
                for _ in range(4)
            ]
            refusal = hopeless.result(5).error
            self.assertEqual(refusal.reason, RefusalReason.WAIT_TOO_LONG)
            self.wait_until(lambda: queue.waiting == len(urgent))
            held.done(SERVICE_TIME, AdmissionOutcome.ANSWERED)
            for _ in range(len(urgent)):
                self.wait_until(lambda: any(one.done() for one in urgent))
                done = next(one for one in urgent if one.done())
                urgent.remove(done)
                done.result(5).ok.done(SERVICE_TIME, AdmissionOutcome.ANSWERED)
        self.assertEqual(queue.refused, {RefusalReason.WAIT_TOO_LONG: 1})

    def wait_until(self, is_met: Callable[[], bool]) -> None:
        until = time.monotonic() + 5
        while not is_met() and time.monotonic() < until:
            time.sleep(0.001)
        self.assertTrue(is_met())


class FrozenTests(OrderTestCase):
    """A process that was stopped refuses what is past its deadline."""

    def test_expired_work_is_refused_before_new_work_runs(self) -> None:
        """Guard against a server that first runs work whose callers have left."""
        for order in (TargetOrder(), PriorityOrder()):
            self.clock = ManualClock()
            queue = self.queue(order)
            running = self.request(queue, work(0.2))
            expired = [self.request(queue, work(0.2)) for _ in range(3)]
            self.clock.advance(60.0)
            new = self.request(queue, work(61.0))
            self.end(queue, running)
            self.assertIs(new.state, TicketState.ADMITTED)
            states = {ticket.state for ticket in expired}
            self.assertEqual(states, {TicketState.DISPLACED})


class LimitTests(OrderTestCase):
    """Under the disciplines that look at targets the slots bound what runs."""

    def test_slow_statements_do_not_lower_the_limit(self) -> None:
        """Guard against idle slots while work of a long kind is waiting."""
        queue = StatementQueue(self.clock, 4, 8, 8, order=PriorityOrder())
        for latency in [0.01] * 40 + [0.1] * 400:
            ticket = self.request(queue, work(1_000.0))
            queue.end(ticket, latency, AdmissionOutcome.ANSWERED)
        self.assertEqual(queue.limit, 4)
        queue.set_slots(2)
        self.assertEqual(queue.limit, 2)

    def test_refusals_of_the_server_lower_the_limit(self) -> None:
        queue = StatementQueue(self.clock, 4, 8, 8, order=PriorityOrder())
        ticket = self.request(queue, work(1_000.0))
        queue.end(ticket, 0.01, AdmissionOutcome.OVERLOADED)
        self.assertEqual(queue.limit, 2)


class ContinuationTests(OrderTestCase):
    """Statements of open transactions always run; new work gets the rest."""

    def test_continuations_take_the_places_of_new_work(self) -> None:
        """Guard against more statements in flight than the bound allows."""
        queue = StatementQueue(self.clock, 2, 8, 8, order=TargetOrder())
        continuations = [queue.begin_continuation(work(1.0)) for _ in range(3)]
        first = self.request(queue, work(1.0))
        second = self.request(queue, work(1.0))
        self.assertIs(first.state, TicketState.ADMITTED)
        self.assertIs(second.state, TicketState.WAITING)
        for ticket in continuations:
            self.end(queue, ticket)
        self.assertIs(second.state, TicketState.ADMITTED)


class ReplacementTests(OrderTestCase):
    """A queue whose discipline is replaced keeps its waiting work."""

    def test_waiting_work_follows_the_new_order(self) -> None:
        for before in ORDERS:
            self.clock = ManualClock()
            queue = self.queue(before())
            tickets = [
                self.request(queue, work(target)) for target in (1.0, 0.9, 0.2, 0.5)
            ]
            queue.set_order(TargetOrder())
            self.assertEqual(self.run_order(queue, tickets), [0, 2, 3, 1])
