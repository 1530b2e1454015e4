"""Tests of where reads run and what they reflect."""

import unittest

from dogwoodspool_common import Consistency, Position, Role
from dogwoodspool_pooler import ErrorCode, StatementKind
from dogwoodspool_pooler.const import BEHIND_LOOK_SECONDS, MAX_BEHIND_LOOK_SECONDS

from .fakes import FakeServer, Pooler, endpoint, say

BOUNDED = endpoint(Consistency.BOUNDED_STALENESS, max_age_ms=1_500)
OWN = endpoint(Consistency.READ_YOUR_WRITES, max_age_ms=2_500)


def group() -> list[FakeServer]:
    """Return a primary elsewhere and a replica in the own failure domain."""
    return [
        FakeServer("s1", Role.PRIMARY, failure_domain="fd2"),
        FakeServer("s2", Role.REPLICA),
        FakeServer("s3", Role.REPLICA, failure_domain="fd3"),
    ]


def readers(pooler: Pooler) -> list[str]:
    """Return the servers that ran reads, one name for each read."""
    return [
        name
        for name, server in pooler.network.servers.items()
        for run in server.runs
        if run.kind is StatementKind.READ
    ]


class PrimaryReadTests(unittest.TestCase):
    """A read of a primary endpoint runs where every acknowledged commit is."""

    def test_it_runs_in_a_transaction_of_the_primary(self) -> None:
        pooler = Pooler(group())
        answer = say(pooler.session(), "READ k")
        self.assertEqual(answer.proof, "s1:r")
        run = pooler.network.servers["s1"].runs[0]
        self.assertTrue(run.in_transaction)

    def test_a_replaced_primary_serves_no_read(self) -> None:
        # A shopper sees an old line after a newer one. A partition hid the old
        # primary from control, another server was promoted and took writes, and
        # this proxy, which reached the old one, went on reading there.
        pooler = Pooler(group())
        session = pooler.session()
        say(session, "READ k")
        pooler.network.servers["s1"].has_lost_lead = True
        answer = say(session, "READ k", "second")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.BUSY)
        self.assertGreater(answer.error.retry_after_ms, 0)
        runs = pooler.network.servers["s1"].runs
        self.assertNotIn("second", [run.request_id for run in runs])

    def test_a_lead_that_is_lost_within_the_read_shows(self) -> None:
        pooler = Pooler(group())
        primary = pooler.network.servers["s1"]
        primary.refusals = [ErrorCode.READ_ONLY]
        answer = say(pooler.session(), "READ k")
        self.assertIsNotNone(answer.error)
        self.assertEqual(primary.runs, [])


class BoundedReadTests(unittest.TestCase):
    """Reads that accept some age run on replicas that surely are young enough."""

    def test_without_a_known_position_the_primary_is_read_once(self) -> None:
        pooler = Pooler(group(), BOUNDED)
        session = pooler.session()
        for _ in range(3):
            say(session, "READ k")
        self.assertEqual(readers(pooler).count("s1"), 1)
        self.assertEqual(readers(pooler).count("s2"), 2)

    def test_a_position_that_is_too_old_does_not_count(self) -> None:
        # An agent's inbox misses a line of two seconds ago. The replica had all
        # that was asked of it, but what was asked was from before the line.
        pooler = Pooler(group(), BOUNDED)
        session = pooler.session()
        say(session, "READ k")
        pooler.clock.advance(1.6)
        say(session, "READ k")
        self.assertEqual(readers(pooler).count("s1"), 2)

    def test_replicas_that_are_behind_are_not_asked_by_every_read(self) -> None:
        """Guard against reads that all ask lagging replicas before the primary."""
        pooler = Pooler(group(), BOUNDED)
        session = pooler.session()
        say(session, "WRITE k v")
        pooler.network.servers["s1"].position = Position(3, 500)
        for name in ("s2", "s3"):
            pooler.network.servers[name].position = Position(3, 1)
        for _ in range(20):
            self.assertIsNone(say(session, "READ k").error)
            pooler.clock.advance(0.01)
        asked = pooler.network.servers["s2"].refused_as_behind
        self.assertLessEqual(asked, 3)
        pooler.clock.advance(MAX_BEHIND_LOOK_SECONDS)
        pooler.network.servers["s2"].position = Position(3, 500)
        say(session, "READ k")
        self.assertIn("s2", readers(pooler))

    def test_a_commit_that_wrote_nothing_shows_no_position(self) -> None:
        """Guard against a replaced primary whose position passes for a new one."""
        pooler = Pooler(group(), BOUNDED)
        session = pooler.session()
        say(session, "BEGIN")
        say(session, "READ k")
        pooler.clock.advance(1.4)
        pooler.network.servers["s1"].has_lost_lead = True
        self.assertIsNone(say(session, "COMMIT").error)
        pooler.clock.advance(1.4)
        self.assertIsNone(pooler.freshness.min_position("chat", 1.5))

    def test_a_replica_that_is_behind_is_passed_over(self) -> None:
        pooler = Pooler(group(), BOUNDED)
        session = pooler.session()
        say(session, "READ k")
        pooler.network.servers["s2"].position = Position(3, 90)
        answer = say(session, "READ k")
        self.assertEqual(answer.proof, "s3:r")

    def test_a_replica_that_does_not_answer_is_passed_over(self) -> None:
        pooler = Pooler(group(), BOUNDED)
        session = pooler.session()
        say(session, "READ k")
        pooler.network.servers["s2"].silent_for = {StatementKind.READ}
        answer = say(session, "READ k")
        self.assertEqual(answer.proof, "s3:r")
        self.assertIn("s2", pooler.suspected)

    def test_a_failure_of_one_server_is_tried_elsewhere(self) -> None:
        pooler = Pooler(group(), BOUNDED)
        session = pooler.session()
        say(session, "READ k")
        pooler.network.servers["s2"].refusals = [ErrorCode.FAILED]
        self.assertEqual(say(session, "READ k").proof, "s3:r")

    def test_reads_go_on_without_a_primary(self) -> None:
        pooler = Pooler(group(), BOUNDED)
        session = pooler.session()
        say(session, "READ k")
        pooler.network.servers["s1"].is_down = True
        self.assertEqual(say(session, "READ k").proof, "s2:r")


class OwnWritesTests(unittest.TestCase):
    """A session reads what it has written, whichever replica serves it."""

    def test_a_read_waits_for_no_replica_that_lacks_the_write(self) -> None:
        # A shopper posts a line and does not see it: the next read went to a
        # replica that had not received it yet.
        pooler = Pooler(group(), OWN)
        session = pooler.session()
        say(session, "READ k")
        say(session, "WRITE k v")
        self.assertEqual(say(session, "READ k").proof, "s1:r")
        pooler.network.servers["s2"].position = Position(3, 101)
        pooler.clock.advance(BEHIND_LOOK_SECONDS)
        self.assertEqual(say(session, "READ k").proof, "s2:r")

    def test_a_commit_counts_like_a_write(self) -> None:
        pooler = Pooler(group(), OWN)
        session = pooler.session()
        say(session, "READ k")
        say(session, "BEGIN")
        say(session, "WRITE k v")
        say(session, "COMMIT")
        position = pooler.network.servers["s1"].position
        pooler.network.servers["s2"].position = Position(3, position.offset - 1)
        pooler.network.servers["s3"].position = Position(3, position.offset - 1)
        self.assertEqual(say(session, "READ k").proof, "s1:r")

    def test_another_session_need_not_see_it(self) -> None:
        pooler = Pooler(group(), OWN)
        say(pooler.session(), "READ k")
        say(pooler.session(), "WRITE k v")
        self.assertEqual(say(pooler.session(), "READ k").proof, "s2:r")


class FullReplicaTests(unittest.TestCase):
    """A replica that takes no connection more is left for another at once."""

    def elapsed(self, *texts: str) -> float:
        """Return how long the last statement takes while the near replica is full."""
        pooler = Pooler(group(), OWN)
        session = pooler.session()
        say(session, "WRITE k v")
        pooler.network.servers["s2"].full_for = 1_000
        for text in texts[:-1]:
            say(session, text)
        began_at = pooler.clock.now()
        self.assertIsNone(say(session, texts[-1]).error)
        self.assertNotEqual(readers(pooler), ["s2"])
        return pooler.clock.now() - began_at

    def test_a_read_does_not_wait_for_it(self) -> None:
        self.assertLess(self.elapsed("READ k"), 0.05)

    def test_a_reading_transaction_does_not_wait_for_it(self) -> None:
        # Its callers stood a tenth of a second before the first read, or were refused
        # after it, though another server had room.
        self.assertLess(self.elapsed("BEGIN READ", "READ k"), 0.05)
