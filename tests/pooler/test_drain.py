"""Tests of what is served, refused and ended while a process shuts down."""

import threading
import unittest
from typing import ClassVar

from dogwoodspool_common import ManualClock, Role
from dogwoodspool_pooler import (
    Answer,
    ErrorCode,
    Statement,
    StatementKind,
    TransactionState,
)
from dogwoodspool_pooler.accepted_work import AcceptedWork
from dogwoodspool_pooler.const import BUSY_RETRY_MS
from dogwoodspool_pooler.drain import Drain, DrainSchedule

from .fakes import FakeServer, Pooler

GRACE = 6.0
LEAVE_ROTATION = 2.3
TIMEOUT_SECONDS = 30.0


class DrainScheduleTests(unittest.TestCase):
    """The steps follow each other within the grace time."""

    def test_the_steps_are_in_order(self) -> None:
        schedule = DrainSchedule.plan(100.0, GRACE, LEAVE_ROTATION)
        steps = [
            schedule.close_idle_at,
            schedule.refuse_at,
            schedule.interrupt_at,
            schedule.exit_at,
        ]
        self.assertEqual(steps[:2], [102.3, 103.0])
        self.assertEqual(steps, sorted(steps))
        self.assertLess(schedule.exit_at, 100.0 + GRACE)

    def test_a_short_grace_time_shortens_the_first_step(self) -> None:
        schedule = DrainSchedule.plan(0.0, 2.0, LEAVE_ROTATION)
        self.assertEqual(schedule.close_idle_at, schedule.refuse_at)


class FakeCallers:
    """Callers that stay until they are interrupted, and record what is done."""

    def __init__(self, callers: int, clock: ManualClock) -> None:
        self.callers = callers
        self.calls: list[str] = []
        self.rolled_back = threading.Event()
        self._clock = clock

    def close_when_idle(self, *, spares_new: bool) -> None:
        self.calls.append("close_new" if not spares_new else "close")
        self._clock.advance(0.1)

    def abandon_transactions(self) -> None:
        self.rolled_back.set()

    def stop_accepting(self) -> None:
        self.calls.append("stop")

    def interrupt(self) -> None:
        self.calls.append("interrupt")
        self.callers = 0
        self._clock.advance(GRACE)


class FakeNeighbours:
    """Other proxies with a number of open transactions."""

    in_progress: ClassVar[int] = 0

    def __init__(self, leases: int) -> None:
        self.leases = leases
        self.ended = threading.Event()

    def end_leases(self) -> None:
        self.ended.set()


class DrainTests(unittest.TestCase):
    """A drain takes its steps in order, and ends once nothing is left."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.work = AcceptedWork(self.clock)

    def drain(self, callers: FakeCallers, leases: int = 0) -> FakeNeighbours:
        """Run a drain whose first step has ended."""
        neighbours = FakeNeighbours(leases)
        schedule = DrainSchedule.plan(0.0, GRACE, LEAVE_ROTATION)
        self.clock.advance(LEAVE_ROTATION)
        Drain(callers, neighbours, self.work, schedule, self.clock).run()
        return neighbours

    def test_a_drain_without_callers_ends_at_once(self) -> None:
        callers = FakeCallers(0, self.clock)
        self.drain(callers)
        self.assertEqual(callers.calls, ["stop"])
        self.assertFalse(self.work.is_refusing)

    def test_callers_that_stay_are_interrupted_last(self) -> None:
        callers = FakeCallers(1, self.clock)
        self.drain(callers)
        self.assertEqual(callers.calls[0], "close")
        self.assertEqual(callers.calls[-2:], ["close_new", "interrupt"])
        self.assertTrue(callers.rolled_back.wait(TIMEOUT_SECONDS))
        self.assertLess(callers.calls.index("stop"), callers.calls.index("close_new"))

    def test_transactions_of_neighbours_have_half_of_the_grace_time(self) -> None:
        callers = FakeCallers(0, self.clock)
        neighbours = self.drain(callers, leases=1)
        self.assertTrue(neighbours.ended.wait(TIMEOUT_SECONDS))
        self.assertGreaterEqual(self.clock.now(), 0.5 * GRACE)
        self.assertLess(self.clock.now(), 0.6 * GRACE)

    def test_a_request_keeps_the_listener_open(self) -> None:
        self.work.accept(Statement(StatementKind.READ, "r", "READ a"), "db")
        callers = FakeCallers(1, self.clock)
        self.drain(callers)
        self.assertEqual(callers.calls[-2:], ["stop", "interrupt"])


class RefusalTests(unittest.TestCase):
    """A session refuses statements truthfully."""

    def setUp(self) -> None:
        self.server = FakeServer("s1", Role.PRIMARY)
        self.session = Pooler([self.server]).sessions.open("db")

    def run_text(
        self, kind: StatementKind, request_id: str, *, is_refused: bool = False
    ) -> Answer:
        statement = Statement(kind, request_id, f"{kind} {request_id}")
        return self.session.run(statement, is_refused=is_refused)

    def begin(self) -> None:
        self.run_text(StatementKind.BEGIN, "t1")
        self.assertIsNone(self.run_text(StatementKind.WRITE, "t2").error)

    def check(self, answer: Answer, code: ErrorCode, state: TransactionState) -> None:
        assert answer.error is not None
        self.assertEqual((answer.error.code, answer.state), (code, state))

    def committed(self) -> list[str]:
        """Return the ids of statements that ran and were not rolled back."""
        kinds = (StatementKind.COMMIT,)
        return [one.request_id for one in self.server.runs if one.kind in kinds]

    def test_a_single_statement_is_busy_and_does_not_run(self) -> None:
        answer = self.run_text(StatementKind.WRITE, "w", is_refused=True)
        self.check(answer, ErrorCode.BUSY, TransactionState.IDLE)
        assert answer.error is not None
        self.assertEqual(answer.error.retry_after_ms, BUSY_RETRY_MS)
        self.assertEqual(self.server.runs, [])

    def test_a_transaction_is_rolled_back(self) -> None:
        self.begin()
        answer = self.run_text(StatementKind.WRITE, "t3", is_refused=True)
        self.check(answer, ErrorCode.ABORTED, TransactionState.FAILED)
        answer = self.run_text(StatementKind.ROLLBACK, "t4", is_refused=True)
        self.assertEqual((answer.error, answer.state), (None, TransactionState.IDLE))
        self.assertEqual(self.committed(), [])

    def test_a_commit_is_refused_as_rolled_back(self) -> None:
        self.begin()
        answer = self.run_text(StatementKind.COMMIT, "t3", is_refused=True)
        self.check(answer, ErrorCode.ABORTED, TransactionState.IDLE)
        self.assertEqual(self.committed(), [])

    def test_a_transaction_that_was_abandoned_is_aborted(self) -> None:
        """Guard against an answer that promises nothing for a rolled back one."""
        self.begin()
        self.session.abandon_transaction()
        answer = self.run_text(StatementKind.READ, "t3", is_refused=True)
        self.check(answer, ErrorCode.ABORTED, TransactionState.FAILED)

    def test_an_interrupted_statement_is_in_doubt_unless_it_is_rolled_back(
        self,
    ) -> None:
        single = Statement(StatementKind.WRITE, "w", "WRITE a b")
        answer = self.session.interrupt(single)
        self.check(answer, ErrorCode.IN_DOUBT, TransactionState.IDLE)
        self.begin()
        answer = self.session.interrupt(single)
        self.check(answer, ErrorCode.ABORTED, TransactionState.FAILED)
        commit = Statement(StatementKind.COMMIT, "c", "COMMIT")
        answer = self.session.interrupt(commit)
        self.check(answer, ErrorCode.IN_DOUBT, TransactionState.IDLE)
