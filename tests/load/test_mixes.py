"""Tests of the request mixes and the statements of callers."""

import unittest
from collections import Counter

from dogwoodspool_load.const import WRITES_PER_ROOM
from dogwoodspool_load.mixes import (
    CHAT_MIX,
    FLOW_MIX,
    PlannedRequest,
    RequestPlanner,
    reads_only,
)
from dogwoodspool_load.models import RequestKind, Table
from dogwoodspool_load.rows import with_properties, write_statement
from dogwoodspool_load.shapes import DEPLOYMENTS


def planned(count: int, seed: int = 1) -> list[PlannedRequest]:
    planner = RequestPlanner(CHAT_MIX, "c1", ["c1", "c2", "c3"], seed)
    return [planner.next() for _ in range(count)]


class RequestPlannerTests(unittest.TestCase):
    """The choice of requests."""

    def test_the_same_seed_gives_the_same_requests(self) -> None:
        self.assertEqual(planned(50), planned(50))
        self.assertNotEqual(planned(50), planned(50, seed=2))

    def test_names_are_unique(self) -> None:
        names = [request.name for request in planned(300)]
        self.assertEqual(len(set(names)), len(names))

    def test_kinds_occur_in_proportion_to_their_weights(self) -> None:
        counts = Counter(request.profile.kind for request in planned(4_000))
        weights = {kind.kind: kind.weight for kind in CHAT_MIX}
        for kind, weight in weights.items():
            share = counts[kind] / 4_000
            self.assertAlmostEqual(share, weight / sum(weights.values()), delta=0.03)

    def test_own_reads_use_the_room_of_the_latest_writes(self) -> None:
        writes = 0
        for request in planned(400):
            if request.profile.rows_written:
                writes += 1
            elif not request.profile.reads_others:
                self.assertEqual(request.room, f"c1-{writes // WRITES_PER_ROOM}")

    def test_some_transactions_and_no_other_requests_are_rolled_back(self) -> None:
        rolled_back = [one for one in planned(1_000) if one.ends_in_rollback]
        self.assertTrue(rolled_back)
        kinds = {one.profile.kind for one in rolled_back}
        self.assertEqual(kinds, {RequestKind.ORDER})


class MixTests(unittest.TestCase):
    """The users' mixes."""

    def test_only_reports_are_idempotent(self) -> None:
        for mix in (CHAT_MIX, FLOW_MIX):
            idempotent = {kind.kind for kind in mix if kind.is_idempotent}
            self.assertLessEqual(idempotent, {RequestKind.REPORT})

    def test_reads_only_excludes_writes(self) -> None:
        kinds = {kind.kind for kind in reads_only(FLOW_MIX)}
        self.assertEqual(kinds, {RequestKind.BROWSE, RequestKind.BROWSE_AGED})

    def test_shapes_have_the_sizes_of_the_users_deployments(self) -> None:
        sizes = {
            name: (
                len(one.shape.failure_domains),
                one.shape.proxies,
                one.shape.servers_per_group,
                one.shape.standin.connections,
            )
            for name, one in DEPLOYMENTS.items()
        }
        self.assertEqual(sizes, {"chaguanas": (4, 9, 3, 20), "hanbit": (4, 8, 3, 50)})


class StatementTests(unittest.TestCase):
    """The text of statements sent to a proxy."""

    def test_only_reports_use_replace(self) -> None:
        self.assertTrue(write_statement(Table.REPORTS, "r", "t").startswith("REPLACE"))
        self.assertTrue(write_statement(Table.LINES, "r", "t").startswith("INSERT"))

    def test_properties_of_value_none_are_omitted(self) -> None:
        self.assertEqual(with_properties("SELECT 1", session=None), "SELECT 1")
        self.assertEqual(
            with_properties("SELECT 1", session="a", max_age_ms=5),
            "/*session='a',max_age_ms='5'*/ SELECT 1",
        )
