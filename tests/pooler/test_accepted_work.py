"""Tests of the count of requests that a process must answer."""

import unittest
from unittest.mock import patch

from dogwoodspool_common import ManualClock
from dogwoodspool_pooler import Statement, StatementKind
from dogwoodspool_pooler.accepted_work import AcceptedWork, Outcome

LOG = "dogwoodspool_pooler.accepted_work.log_event"


class AcceptedWorkTests(unittest.TestCase):
    """A request is in progress from its acceptance to its end."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.work = AcceptedWork(self.clock)
        self.statement = Statement(StatementKind.WRITE, "r1", "WRITE a b")

    def test_only_requests_without_an_end_are_in_progress(self) -> None:
        first = self.work.accept(self.statement, "db1")
        self.work.accept(self.statement, "db1")
        self.assertEqual(self.work.in_progress, 2)
        self.work.end(first, Outcome.FINISHED)
        self.assertEqual(self.work.in_progress, 1)

    def test_a_drain_logs_its_counts_and_each_request_without_an_answer(self) -> None:
        before = self.work.accept(self.statement, "db1")
        self.work.record_arrival()
        self.work.start_drain()
        self.work.record_arrival()
        self.clock.advance(1.0)
        self.work.accept(Statement(StatementKind.READ, "r2", "READ a"), "db2")
        self.clock.advance(0.5)
        self.work.end(before, Outcome.FINISHED)
        with patch(LOG) as log:
            self.work.log_drain()
        cut, summary = (call.kwargs for call in log.call_args_list)
        self.assertEqual((cut["request"], cut["database"]), ("r2", "db2"))
        self.assertEqual((cut["in_progress_ms"], cut["since_stop_ms"]), (500.0, 1500.0))
        self.assertEqual((summary["callers_arrived"], summary["finished"]), (1, 1))
        self.assertEqual((summary["refused"], summary["cut_off"]), (0, 1))
