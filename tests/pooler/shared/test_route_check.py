"""Tests of owners whose view lacks what a neighbour forwards."""

import unittest
from dataclasses import replace

from dogwoodspool_common import Role

from ..fakes import FakeServer, endpoint, run_text
from .neighbours import SharingProxy

OTHER = replace(endpoint(), name="r2", database="other")
MOVED = replace(endpoint(), group="elsewhere")


class RouteCheckTests(unittest.TestCase):
    """An owner runs nothing on a route that its own view lacks.

    The sender has an older view, or a newer one: it serves the request elsewhere.
    """

    def setUp(self) -> None:
        self.primary = FakeServer("s1", Role.PRIMARY)
        self.proxy = SharingProxy([self.primary, FakeServer("s2", Role.REPLICA)])
        self.session = self.proxy.session()
        self.owners = [self.proxy.owner(name).pooler for name in ("o1", "o2")]

    def run_elsewhere(self, *texts: str) -> None:
        """Check that requests are served, and not by the first owner."""
        for text in texts:
            self.assertIsNone(run_text(self.session, text).error)
        self.assertEqual([], self.owners[0].network.opened_for)
        # Either may be behind, so that neither marks the other as failed.
        self.assertEqual([], self.proxy.directory.failed)

    def test_statement_on_a_removed_database(self) -> None:
        """Guard against an owner that runs what it knows to be removed."""
        self.owners[0].apply_view(primary="s1", endpoints=[OTHER])
        self.run_elsewhere("WRITE k v")

    def test_statement_on_a_moved_database(self) -> None:
        """Guard against an owner that runs it where the database was before."""
        self.owners[0].apply_view(primary="s1", endpoints=[MOVED])
        self.run_elsewhere("READ k")

    def test_transaction_on_a_group_without_databases(self) -> None:
        """Guard against a transaction that begins after the removal."""
        self.owners[0].apply_view(primary="s1", endpoints=[MOVED])
        self.run_elsewhere("BEGIN", "WRITE k v", "COMMIT")

    def test_open_transaction_goes_on(self) -> None:
        """Guard against transactions that a removal ends in the middle."""
        run_text(self.session, "BEGIN")
        run_text(self.session, "WRITE k v")
        self.owners[0].apply_view(primary="s1", endpoints=[OTHER])
        self.assertIsNone(run_text(self.session, "COMMIT").error)

    def test_database_that_no_owner_has(self) -> None:
        """Guard against a new database without service until all have it."""
        for owner in self.owners:
            owner.apply_view(primary="s1", endpoints=[OTHER])
        self.run_elsewhere("WRITE k v")
        self.assertEqual([], self.owners[1].network.opened_for)
        self.assertEqual(["WRITE k v"], [one.text for one in self.primary.runs])


if __name__ == "__main__":
    unittest.main()
