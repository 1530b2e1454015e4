"""Tests of sessions whose database changes its consistency or its group."""

import unittest
from dataclasses import replace

from dogwoodspool_common import Consistency, Position, Role

from .fakes import GROUP, FakeServer, Pooler, endpoint, run_text

OTHER_GROUP = "other"
READ_YOUR_WRITES = endpoint(Consistency.READ_YOUR_WRITES, max_age_ms=2_500)
MOVED = replace(READ_YOUR_WRITES, group=OTHER_GROUP)
STEP_SECONDS = 0.5
# The log of the other group is shorter.
OTHER_POSITION = Position(3, 50)


class ChangedDatabaseTests(unittest.TestCase):
    """The reads of a session reflect its writes, of this group and no other one."""

    def setUp(self) -> None:
        self.primary = FakeServer("s1", Role.PRIMARY)
        self.replica = FakeServer("s2", Role.REPLICA)
        self.other_primary = FakeServer(
            "t1", Role.PRIMARY, OTHER_POSITION, group=OTHER_GROUP
        )
        self.other_replica = FakeServer(
            "t2", Role.REPLICA, OTHER_POSITION, group=OTHER_GROUP
        )
        self.servers = (
            self.primary,
            self.replica,
            self.other_primary,
            self.other_replica,
        )

    def pooler(self, consistency: Consistency) -> Pooler:
        """Return a pooler whose database has this consistency."""
        return Pooler(self.servers, replace(READ_YOUR_WRITES, consistency=consistency))

    def change(self, pooler: Pooler, consistency: Consistency, group: str) -> None:
        """Serve the database with another consistency or by another group."""
        pooler.apply_view(
            primary="s1",
            endpoints=[replace(READ_YOUR_WRITES, consistency=consistency, group=group)],
            other_primaries={OTHER_GROUP: "t1"},
        )

    def served(self, request_id: str) -> list[str]:
        """Return the names of the servers that ran a request."""
        return [
            server.name
            for server in self.servers
            for one in server.runs
            if one.request_id == request_id
        ]

    def read_after(self, *texts: str) -> None:
        """Check the read of a session that wrote before its consistency changed."""
        pooler = self.pooler(Consistency.PRIMARY)
        session = pooler.session()
        # The first read shows a recent position, which the replica has.
        for text in ("READ k", *texts):
            self.assertIsNone(run_text(session, text).error)
            pooler.clock.advance(STEP_SECONDS)
        self.change(pooler, Consistency.READ_YOUR_WRITES, GROUP)
        self.assertIsNone(run_text(session, "READ k", "read").error)
        self.assertEqual(["s1"], self.served("read"))

    def test_write_before_reads_had_to_reflect_it(self) -> None:
        """Guard against a read that lacks a write from a stricter consistency."""
        self.read_after("WRITE k v")

    def test_commit_before_reads_had_to_reflect_it(self) -> None:
        """Guard against a read that lacks a commit from a stricter consistency."""
        self.read_after("BEGIN", "WRITE k v", "COMMIT")

    def test_position_of_another_group(self) -> None:
        """Guard against reads that wait for a position of another group's log."""
        pooler = self.pooler(Consistency.READ_YOUR_WRITES)
        session = pooler.session()
        run_text(session, "WRITE k v")
        self.change(pooler, Consistency.READ_YOUR_WRITES, OTHER_GROUP)
        now = pooler.clock.now()
        pooler.freshness.record(OTHER_GROUP, OTHER_POSITION, now)
        self.assertIsNone(run_text(session, "READ k", "read").error)
        self.assertEqual(["t2"], self.served("read"))
        self.assertEqual(0, self.other_replica.refused_as_behind)

    def test_write_to_another_group(self) -> None:
        """Guard against a write that one to another group hides."""
        pooler = self.pooler(Consistency.READ_YOUR_WRITES)
        before = self.primary.position
        pooler.freshness.record(GROUP, before, pooler.clock.now())
        pooler.clock.advance(STEP_SECONDS)
        session = pooler.session()
        run_text(session, "WRITE k v")
        self.change(pooler, Consistency.READ_YOUR_WRITES, OTHER_GROUP)
        now = pooler.clock.now()
        pooler.freshness.record(OTHER_GROUP, OTHER_POSITION, now)
        pooler.clock.advance(STEP_SECONDS)
        run_text(session, "WRITE k v")
        self.assertIsNone(run_text(session, "READ k", "other").error)
        self.assertEqual(["t1"], self.served("other"))
        self.change(pooler, Consistency.READ_YOUR_WRITES, GROUP)
        self.assertIsNone(run_text(session, "READ k", "back").error)
        self.assertEqual(["s1"], self.served("back"))


if __name__ == "__main__":
    unittest.main()
