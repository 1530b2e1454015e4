"""Tests of how refusals of an overloaded server affect limits and placement."""

import unittest

from dogwoodspool_common import Role
from dogwoodspool_pooler import ErrorCode, Statement, StatementKind
from dogwoodspool_pooler.backend import Backend
from dogwoodspool_pooler.requests import AdmissionRequest

from .fakes import FakeServer, Pooler, run_text

REFUSALS = 60


class OverloadTests(unittest.TestCase):
    """A refusal takes none of the server's time and must not count as a fast reply."""

    def setUp(self) -> None:
        self.primary = FakeServer("s1", Role.PRIMARY)
        self.pooler = Pooler([self.primary, FakeServer("s2", Role.REPLICA)])

    def backend(self) -> Backend:
        """Return the primary's backend."""
        return self.pooler.registry.backend(self.primary.as_backend_server())

    def refuse(self, code: ErrorCode) -> None:
        """Have the primary refuse many reads with a code."""
        self.primary.refusals = [code] * REFUSALS
        session = self.pooler.session()
        while self.primary.refusals:
            self.pooler.clock.advance(0.05)
            run_text(session, "READ k")

    def test_busy_refusals_lower_the_limit(self) -> None:
        """Guard against refusals that count as fast replies and raise the limit."""
        before = self.backend().admission.limit
        self.refuse(ErrorCode.BUSY)
        self.assertGreater(before, 1)
        self.assertEqual(self.backend().admission.limit, 1)

    def test_refusals_do_not_make_a_server_look_fast(self) -> None:
        """Guard against waits that are estimated from the duration of refusals."""
        before = self.backend().admission.service_time
        self.refuse(ErrorCode.BUSY)
        self.assertEqual(self.backend().admission.service_time, before)

    def test_statements_without_work_do_not_make_a_server_look_fast(self) -> None:
        """Guard against counting connections held without a statement or for a begin.

        Neither takes any of the server's time.
        """
        before = self.backend().admission.service_time
        admission_request = AdmissionRequest(
            1, {}, self.pooler.clock.now() + 1.0, 1_000.0
        )
        for statements in ([], [Statement(StatementKind.BEGIN)]):
            held = self.pooler.access.open_local(
                self.primary.as_backend_server(), admission_request
            )
            for statement in statements:
                held.run_internal(statement, 1_000.0)
            held.finish(is_good=True)
        self.assertEqual(self.backend().admission.service_time, before)

    def test_refusals_do_not_attract_reads_to_the_server(self) -> None:
        """Guard against a full or lagging server ranked first for fast refusals."""
        for code in (ErrorCode.BUSY, ErrorCode.BEHIND):
            with self.subTest(code):
                self.pooler.table.end("s1", 0.5, is_answered=True)
                before = self.latency()
                self.primary.refusals = [code] * 4
                run_text(self.pooler.session(), "READ k")
                self.assertAlmostEqual(self.latency(), before, delta=0.01)

    def test_refusals_for_other_reasons_do_not_change_the_limit(self) -> None:
        before = self.backend().admission.limit
        self.refuse(ErrorCode.BEHIND)
        self.assertEqual(self.backend().admission.limit, before)

    def test_late_request_takes_a_free_slot(self) -> None:
        """Guard against refusing a request that came late to an idle server."""
        late = AdmissionRequest(
            1, {}, self.pooler.clock.now() - 0.01, self.pooler.clock.now() + 1.0
        )
        self.pooler.access.open_local(self.primary.as_backend_server(), late)

    def latency(self) -> float:
        """Return the primary's average statement latency in the server table."""
        view = self.pooler.table.get("s1")
        assert view is not None
        return view.latency
