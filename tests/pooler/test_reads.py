"""Tests of the servers that reads run on and of the data that they reflect."""

import unittest

from dogwoodspool_common import Consistency, Position, Role
from dogwoodspool_pooler import ErrorCode, Statement, StatementKind
from dogwoodspool_pooler.const import LAG_RECHECK_SECONDS, MAX_LAG_RECHECK_SECONDS
from dogwoodspool_pooler.errors import AnswerLostError
from dogwoodspool_pooler.requests import Request

from .fakes import FakeServer, Pooler, endpoint, run_text

BOUNDED = endpoint(Consistency.BOUNDED_STALENESS, max_age_ms=1_500)
READ_YOUR_WRITES = endpoint(Consistency.READ_YOUR_WRITES, max_age_ms=2_500)


def group() -> list[FakeServer]:
    """Return a primary and a replica elsewhere and a replica in the own domain."""
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
    """A read at a primary endpoint reflects every acknowledged commit."""

    def test_it_runs_in_a_transaction_of_the_primary(self) -> None:
        pooler = Pooler(group())
        answer = run_text(pooler.session(), "READ k")
        self.assertEqual(answer.proof, "s1:r")
        run = pooler.network.servers["s1"].runs[0]
        self.assertTrue(run.in_transaction)

    def test_a_replaced_primary_serves_no_read(self) -> None:
        # Guards against a read of stale data after newer data. A partition cuts the
        # old primary off from control, another server is promoted and accepts writes,
        # and this proxy, which can still reach the old one, keeps reading there.
        pooler = Pooler(group())
        session = pooler.session()
        run_text(session, "READ k")
        pooler.network.servers["s1"].is_replaced = True
        answer = run_text(session, "READ k", "second")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.BUSY)
        self.assertGreater(answer.error.retry_after_ms, 0)
        runs = pooler.network.servers["s1"].runs
        self.assertNotIn("second", [run.request_id for run in runs])

    def test_a_read_fails_if_the_primary_is_replaced_during_it(self) -> None:
        pooler = Pooler(group())
        primary = pooler.network.servers["s1"]
        primary.refusals = [ErrorCode.READ_ONLY]
        answer = run_text(pooler.session(), "READ k")
        self.assertIsNotNone(answer.error)
        self.assertEqual(primary.runs, [])


class BoundedReadTests(unittest.TestCase):
    """Reads with bounded staleness run on replicas known to be recent enough."""

    def test_without_a_known_position_the_primary_is_read_once(self) -> None:
        pooler = Pooler(group(), BOUNDED)
        session = pooler.session()
        for _ in range(3):
            run_text(session, "READ k")
        self.assertEqual(readers(pooler).count("s1"), 1)
        self.assertEqual(readers(pooler).count("s2"), 2)

    def test_a_position_that_is_too_old_is_not_used(self) -> None:
        # Guards against a read that lacks a write of two seconds ago: the replica had
        # reached the required position, but that position was older than the write.
        pooler = Pooler(group(), BOUNDED)
        session = pooler.session()
        run_text(session, "READ k")
        pooler.clock.advance(1.6)
        run_text(session, "READ k")
        self.assertEqual(readers(pooler).count("s1"), 2)

    def test_lagging_replicas_are_not_tried_by_every_read(self) -> None:
        """Guard against every read trying lagging replicas before the primary."""
        pooler = Pooler(group(), BOUNDED)
        session = pooler.session()
        run_text(session, "WRITE k v")
        pooler.network.servers["s1"].position = Position(3, 500)
        for name in ("s2", "s3"):
            pooler.network.servers[name].position = Position(3, 1)
        for _ in range(20):
            self.assertIsNone(run_text(session, "READ k").error)
            pooler.clock.advance(0.01)
        refusals = pooler.network.servers["s2"].refused_as_behind
        self.assertLessEqual(refusals, 3)
        pooler.clock.advance(MAX_LAG_RECHECK_SECONDS)
        pooler.network.servers["s2"].position = Position(3, 500)
        run_text(session, "READ k")
        self.assertIn("s2", readers(pooler))

    def test_a_commit_without_writes_records_no_position(self) -> None:
        """Guard against a replaced primary whose position counts as recent."""
        pooler = Pooler(group(), BOUNDED)
        session = pooler.session()
        run_text(session, "BEGIN")
        run_text(session, "READ k")
        pooler.clock.advance(1.4)
        pooler.network.servers["s1"].is_replaced = True
        self.assertIsNone(run_text(session, "COMMIT").error)
        pooler.clock.advance(1.4)
        self.assertIsNone(pooler.freshness.min_position("chat", 1.5))

    def test_a_lagging_replica_is_skipped(self) -> None:
        pooler = Pooler(group(), BOUNDED)
        session = pooler.session()
        run_text(session, "READ k")
        pooler.network.servers["s2"].position = Position(3, 90)
        answer = run_text(session, "READ k")
        self.assertEqual(answer.proof, "s3:r")

    def test_a_replica_that_does_not_answer_is_skipped(self) -> None:
        pooler = Pooler(group(), BOUNDED)
        session = pooler.session()
        run_text(session, "READ k")
        pooler.network.servers["s2"].unanswered_kinds = {StatementKind.READ}
        answer = run_text(session, "READ k")
        self.assertEqual(answer.proof, "s3:r")
        self.assertIn("s2", pooler.suspected)

    def test_a_read_that_fails_on_one_server_is_retried_on_another(self) -> None:
        pooler = Pooler(group(), BOUNDED)
        session = pooler.session()
        run_text(session, "READ k")
        pooler.network.servers["s2"].refusals = [ErrorCode.FAILED]
        self.assertEqual(run_text(session, "READ k").proof, "s3:r")

    def test_a_read_that_may_have_run_is_not_refused_as_not_run(self) -> None:
        """Guard against tokens of reads whose answers were lost."""
        pooler = Pooler(group(), BOUNDED)
        run_text(pooler.session(), "READ k")
        servers = pooler.network.servers
        servers["s2"].unanswered_kinds = {StatementKind.READ}
        for name in ("s1", "s3"):
            servers[name].is_down = True
        statement = Statement(StatementKind.READ, "r", "READ k")
        now = pooler.clock.now()
        request = Request(BOUNDED, statement, {}, None, None, now)
        with self.assertRaises(AnswerLostError):
            pooler.reads.run(request)

    def test_reads_continue_without_a_primary(self) -> None:
        pooler = Pooler(group(), BOUNDED)
        session = pooler.session()
        run_text(session, "READ k")
        pooler.network.servers["s1"].is_down = True
        self.assertEqual(run_text(session, "READ k").proof, "s2:r")


class ReadYourWritesTests(unittest.TestCase):
    """A session reads what it has written, whichever replica serves it."""

    def test_a_read_skips_replicas_that_lack_the_write(self) -> None:
        # Guards against a caller that does not see its own write, because its next read
        # goes to a replica that has not received the write yet.
        pooler = Pooler(group(), READ_YOUR_WRITES)
        session = pooler.session()
        run_text(session, "READ k")
        run_text(session, "WRITE k v")
        self.assertEqual(run_text(session, "READ k").proof, "s1:r")
        pooler.network.servers["s2"].position = Position(3, 101)
        pooler.clock.advance(LAG_RECHECK_SECONDS)
        self.assertEqual(run_text(session, "READ k").proof, "s2:r")

    def test_a_read_reflects_a_commit_like_a_write(self) -> None:
        pooler = Pooler(group(), READ_YOUR_WRITES)
        session = pooler.session()
        run_text(session, "READ k")
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v")
        run_text(session, "COMMIT")
        position = pooler.network.servers["s1"].position
        pooler.network.servers["s2"].position = Position(3, position.offset - 1)
        pooler.network.servers["s3"].position = Position(3, position.offset - 1)
        self.assertEqual(run_text(session, "READ k").proof, "s1:r")

    def test_a_commit_without_writes_requires_no_position(self) -> None:
        # Guards against a session that only reads and is sent to the primary, because
        # the position of its commit was required of its next reads.
        pooler = Pooler(group(), READ_YOUR_WRITES)
        run_text(pooler.session(), "READ k")
        session = pooler.session()
        pooler.network.servers["s1"].position = Position(3, 500)
        for begin in ("BEGIN", "BEGIN READ"):
            for text in (begin, "READ k", "COMMIT"):
                self.assertIsNone(run_text(session, text).error)
        self.assertEqual(run_text(session, "READ k").proof, "s2:r")

    def test_the_lowest_position_within_the_age_is_required(self) -> None:
        """Guard against reads that require a newer position than their age bound."""
        pooler = Pooler(group(), BOUNDED)
        session = pooler.session()
        run_text(session, "WRITE k v")
        for _ in range(20):
            pooler.clock.advance(0.06)
            run_text(session, "WRITE k v")
        pooler.network.servers["s2"].position = Position(3, 101)
        self.assertEqual(run_text(session, "READ k").proof, "s2:r")

    def test_another_session_need_not_see_it(self) -> None:
        pooler = Pooler(group(), READ_YOUR_WRITES)
        run_text(pooler.session(), "READ k")
        run_text(pooler.session(), "WRITE k v")
        self.assertEqual(run_text(pooler.session(), "READ k").proof, "s2:r")


class FullReplicaTests(unittest.TestCase):
    """A read does not wait for a replica that is at its connection limit."""

    def elapsed(self, *texts: str) -> float:
        """Return the duration of the last statement while the near replica is full."""
        pooler = Pooler(group(), READ_YOUR_WRITES)
        session = pooler.session()
        run_text(session, "WRITE k v")
        pooler.network.servers["s2"].connections_to_refuse = 1_000
        for text in texts[:-1]:
            run_text(session, text)
        began_at = pooler.clock.now()
        self.assertIsNone(run_text(session, texts[-1]).error)
        self.assertNotEqual(readers(pooler), ["s2"])
        return pooler.clock.now() - began_at

    def test_a_read_does_not_wait_for_it(self) -> None:
        self.assertLess(self.elapsed("READ k"), 0.05)

    def test_a_read_only_transaction_does_not_wait_for_it(self) -> None:
        # Guards against callers that wait a tenth of a second for the first read, or
        # are refused after that time, although another server accepts connections.
        self.assertLess(self.elapsed("BEGIN READ", "READ k"), 0.05)
