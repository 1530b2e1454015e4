"""Tests of admission where the proxies of a failure domain share pools."""

import unittest

from dogwoodspool_common import Role
from dogwoodspool_limits import PriorityOrder
from dogwoodspool_pooler.backend import Backend
from dogwoodspool_pooler.models import Statement, StatementKind
from dogwoodspool_pooler.requests import AdmissionRequest

from .fakes import FakeServer, Pooler, run_text


class SharedAdmissionTests(unittest.TestCase):
    """All statements of an owner's pools are admitted by target and priority."""

    def setUp(self) -> None:
        self.primary = FakeServer("s1", Role.PRIMARY)
        self.in_flight: list[int] = []

    def pooler(self, share: float | None) -> Pooler:
        pooler = Pooler([self.primary], share=share, build_order=PriorityOrder)
        run_text(pooler.session(), "READ k")
        return pooler

    def backend(self, pooler: Pooler) -> Backend:
        backend = pooler.registry.backend(self.primary.as_backend_server())
        backend.adjust()
        return backend

    def count_transaction(self, share: float | None) -> list[int]:
        """Return the statements in flight while each of a transaction's reads runs."""
        pooler = self.pooler(share)
        admission = self.backend(pooler).admission
        session = pooler.session()
        exchange = pooler.access.exchange
        counts = []

        def counting(*args: object) -> object:
            counts.append(admission.in_flight)
            return exchange(*args)  # type: ignore[arg-type]

        pooler.access.exchange = counting  # type: ignore[method-assign,assignment]
        for text in ("BEGIN", "READ a", "READ b", "READ c", "ROLLBACK"):
            run_text(session, text)
        self.assertEqual(admission.in_flight, 0)
        return counts

    def test_each_statement_of_a_transaction_is_counted(self) -> None:
        """Guard against new work being admitted to slots that transactions use."""
        self.assertEqual(self.count_transaction(0.5), [1, 1, 1, 1, 0])

    def test_a_proxy_with_pools_of_its_own_counts_the_first_one(self) -> None:
        self.assertEqual(self.count_transaction(None), [1, 1, 0, 0, 0])

    def test_the_discipline_follows_the_sharing_of_pools(self) -> None:
        shared, own = self.backend(self.pooler(0.5)), self.backend(self.pooler(None))
        self.assertTrue(shared.is_ordered_by_target)
        self.assertFalse(own.is_ordered_by_target)

    def test_without_a_discipline_nothing_changes_for_an_owner(self) -> None:
        """Guard against new behaviour in deployments that did not ask for it."""
        backend = self.backend(Pooler([self.primary], share=0.5))
        self.assertFalse(backend.is_ordered_by_target)

    def test_an_admitted_request_waits_for_a_connection_until_its_target(self) -> None:
        """Guard against holding a slot for a connection that comes too late."""
        backend = self.backend(self.pooler(0.5))
        request = AdmissionRequest(1, {}, 0.1, 2.0, target=0.4)
        self.assertEqual(backend.wait_until(request, 0.2), 0.4)
        self.assertEqual(backend.wait_until(request, 0.5), 2.0)

    def test_a_lost_connection_ends_the_count_of_its_statement(self) -> None:
        """Guard against slots that stay taken after a transaction's server is lost."""
        pooler = self.pooler(0.5)
        session = pooler.session()
        run_text(session, "BEGIN")
        run_text(session, "READ a")
        self.primary.unanswered_kinds = {StatementKind.READ}
        session.run(Statement(StatementKind.READ, "r2", "READ b"))
        self.assertEqual(self.backend(pooler).admission.in_flight, 0)
