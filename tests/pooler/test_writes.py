"""Tests of writes and transactions: their servers and their reported outcomes."""

import unittest

from dogwoodspool_common import Phase, Role
from dogwoodspool_pooler import ErrorCode, StatementKind, TransactionState

from .fakes import FakeServer, Pooler, endpoint, run_text


def group() -> list[FakeServer]:
    """Return a primary and a replica."""
    return [FakeServer("s1", Role.PRIMARY), FakeServer("s2", Role.REPLICA)]


def writes(pooler: Pooler) -> list[str]:
    """Return the servers that ran writes."""
    return [
        name
        for name, server in pooler.network.servers.items()
        for run in server.runs
        if run.kind is StatementKind.WRITE
    ]


class WriteTests(unittest.TestCase):
    """A write runs at most once, and its reported outcome is correct."""

    def test_it_reaches_the_primary_unchanged(self) -> None:
        pooler = Pooler(group())
        answer = run_text(pooler.session(), "WRITE k some data", "id-1")
        self.assertEqual(answer.proof, "s1:id-1")
        run = pooler.network.servers["s1"].runs[0]
        self.assertEqual((run.request_id, run.text), ("id-1", "WRITE k some data"))

    def test_a_write_without_an_answer_is_in_doubt_and_not_sent_again(self) -> None:
        # Guards against a write that is applied twice: the first answer is lost on its
        # way, and the write is sent again although the server has committed it.
        pooler = Pooler(group())
        pooler.network.servers["s1"].unanswered_kinds = {StatementKind.WRITE}
        answer = run_text(pooler.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.IN_DOUBT)
        self.assertEqual(pooler.network.servers["s1"].opened, 1)

    def test_a_write_waits_while_its_server_has_too_many_connections(self) -> None:
        # Guards against all callers of one failure domain being refused for a second
        # and a half after a power loss. Servers still count the connections of the
        # processes that ended; a proxy without a connection is refused one and gives
        # up, although another becomes free some milliseconds later.
        servers = group()
        pooler = Pooler(servers)
        servers[0].connections_to_refuse = 2
        self.assertEqual(run_text(pooler.session(), "WRITE k v").proof, "s1:r")
        self.assertEqual(pooler.suspected, [])

    def test_a_write_is_refused_when_no_connection_becomes_free_in_time(self) -> None:
        servers = group()
        pooler = Pooler(servers)
        servers[0].connections_to_refuse = 1_000
        began_at = pooler.clock.now()
        answer = run_text(pooler.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.BUSY)
        self.assertLessEqual(pooler.clock.now() - began_at, 0.11)

    def test_refused_connections_do_not_lower_the_concurrency_limit(self) -> None:
        """Guard against a concurrency limit that drops while slots are free."""
        servers = group()
        pooler = Pooler(servers)
        servers[0].connections_to_refuse = 1_000
        for _ in range(10):
            run_text(pooler.session(), "WRITE k v")
        pooler.clock.advance(10.0)
        (backend,) = pooler.registry.all()
        backend.adjust()
        self.assertEqual(backend.admission.limit, backend.server.slots)

    def test_a_refusal_of_a_full_server_has_a_retry_time(self) -> None:
        """Guard against callers that all retry at once on a full server."""
        servers = group()
        pooler = Pooler(servers)
        servers[0].refusals = [ErrorCode.BUSY] * 1_000
        for statement in ("WRITE k v", "READ k"):
            answer = run_text(pooler.session(), statement)
            assert answer.error is not None
            self.assertIs(answer.error.code, ErrorCode.BUSY)
            self.assertGreater(answer.error.retry_after_ms, 0)

    def test_a_refused_write_goes_to_the_new_primary(self) -> None:
        servers = group()
        pooler = Pooler(servers)
        run_text(pooler.session(), "WRITE k v")
        servers[0].is_replaced = True
        servers[1].role = Role.PRIMARY
        pooler.apply_view(primary="s2")
        self.assertEqual(run_text(pooler.session(), "WRITE k v").proof, "s2:r")

    def test_the_old_primary_serves_until_the_switchover_ends(self) -> None:
        # Guards against a second without writes at each switchover, which happens if
        # proxies stop using the old primary as soon as the switchover begins.
        servers = group()
        pooler = Pooler(servers)
        pooler.apply_view(primary=None, phase=Phase.PROMOTING)
        self.assertEqual(run_text(pooler.session(), "WRITE k v").proof, "s1:r")
        pooler.apply_view(primary="s2", phase=Phase.PROMOTING)
        self.assertEqual(run_text(pooler.session(), "WRITE k v").proof, "s1:r")
        servers[0].is_replaced = True
        servers[1].role = Role.PRIMARY
        self.assertEqual(run_text(pooler.session(), "WRITE k v").proof, "s2:r")

    def test_a_leaving_primary_gets_no_work_after_the_grace_period(
        self,
    ) -> None:
        # Guards against requests that are cut off when a leaving server stops: it
        # announces that it leaves, no other server can become the primary, and proxies
        # keep sending it work until it stops.
        pooler = Pooler(group())
        pooler.apply_view(primary="s1", leaving={"s1"})
        self.assertIsNone(run_text(pooler.session(), "WRITE k v").error)
        pooler.clock.advance(5)
        answer = run_text(pooler.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.BUSY)

    def test_late_starter_gives_no_work_to_a_primary_past_its_grace_period(
        self,
    ) -> None:
        """Guard against proxies that count the period from when they started."""
        pooler = Pooler(group())
        pooler.apply_view(primary="s1", leaving={"s1"}, retired={"s1"})
        answer = run_text(pooler.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.BUSY)
        self.assertEqual(writes(pooler), [])

    def test_without_a_primary_a_write_is_refused_as_not_run(self) -> None:
        pooler = Pooler(group())
        pooler.network.servers["s1"].is_down = True
        answer = run_text(pooler.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.BUSY)
        self.assertGreater(answer.error.retry_after_ms, 0)
        self.assertEqual(writes(pooler), [])

    def test_a_write_is_refused_at_once_while_the_primary_is_known_to_be_down(
        self,
    ) -> None:
        # The primary is down and no promotion has begun. Callers that are made to wait
        # lose the time that they need for a retry.
        pooler = Pooler(group())
        pooler.network.servers["s1"].is_down = True
        run_text(pooler.session(), "WRITE k v")
        began_at = pooler.clock.now()
        run_text(pooler.session(), "WRITE k v")
        self.assertEqual(pooler.clock.now(), began_at)

    def test_an_error_of_the_server_is_returned_to_the_caller(self) -> None:
        pooler = Pooler(group())
        pooler.network.servers["s1"].refusals = [ErrorCode.FAILED]
        answer = run_text(pooler.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.FAILED)

    def test_an_unanswered_write_counts_as_a_stall(self) -> None:
        # A primary that lost its replicas answers reads, but leaves every write
        # unanswered until its caller gives up, for as long as the replicas are lost.
        pooler = Pooler(group())
        pooler.network.servers["s1"].unanswered_kinds = {StatementKind.WRITE}
        run_text(pooler.session(), "WRITE k v")
        pooler.clock.advance(0.5)
        self.assertIn("s1", pooler.stalls.stalled_seconds())
        pooler.network.servers["s1"].unanswered_kinds = set()
        run_text(pooler.session(), "WRITE k v")
        self.assertEqual(pooler.stalls.stalled_seconds(), {})


class TransactionTests(unittest.TestCase):
    """A transaction stays on one connection and commits completely or not at all."""

    def test_all_statements_share_one_connection(self) -> None:
        pooler = Pooler(group())
        first, second = pooler.session(), pooler.session()
        for session in (first, second):
            run_text(session, "BEGIN")
        for text in ("READ a", "WRITE b v"):
            run_text(first, text, "first")
            run_text(second, text, "second")
        runs = pooler.network.servers["s1"].runs
        by_caller = {
            caller: {run.connection for run in runs if run.request_id == caller}
            for caller in ("first", "second")
        }
        self.assertEqual([len(one) for one in by_caller.values()], [1, 1])
        self.assertNotEqual(by_caller["first"], by_caller["second"])

    def test_a_lost_connection_aborts_it(self) -> None:
        pooler = Pooler(group())
        session = pooler.session()
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v")
        pooler.network.servers["s1"].is_down = True
        answer = run_text(session, "READ k")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.ABORTED)
        self.assertIs(answer.state, TransactionState.FAILED)
        refused = run_text(session, "READ k")
        assert refused.error is not None
        self.assertIs(refused.error.code, ErrorCode.MALFORMED)
        self.assertIs(run_text(session, "ROLLBACK").state, TransactionState.IDLE)

    def test_a_commit_without_an_answer_is_in_doubt(self) -> None:
        pooler = Pooler(group())
        session = pooler.session()
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v")
        pooler.network.servers["s1"].unanswered_kinds = {StatementKind.COMMIT}
        answer = run_text(session, "COMMIT")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.IN_DOUBT)
        self.assertIs(answer.state, TransactionState.IDLE)

    def test_a_commit_at_a_replaced_primary_is_aborted(self) -> None:
        pooler = Pooler(group())
        session = pooler.session()
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v")
        pooler.network.servers["s1"].is_replaced = True
        answer = run_text(session, "COMMIT")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.ABORTED)

    def test_an_idle_transaction_is_rolled_back(self) -> None:
        pooler = Pooler(group())
        session = pooler.session()
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v")
        pooler.clock.advance(11)
        pooler.sessions.step()
        self.assertIs(session.state, TransactionState.FAILED)

    def test_a_removed_endpoint_keeps_its_open_transactions(self) -> None:
        pooler = Pooler(group())
        session = pooler.session()
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v")
        pooler.apply_view(primary="s1", endpoints=[])
        self.assertIsNone(run_text(session, "COMMIT").error)
        answer = run_text(session, "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.NO_DATABASE)

    def test_a_read_only_one_at_a_primary_endpoint_is_refused_by_a_replaced_primary(
        self,
    ) -> None:
        pooler = Pooler(group(), endpoint())
        session = pooler.session()
        run_text(session, "BEGIN READ")
        run_text(session, "READ k")
        pooler.network.servers["s1"].is_replaced = True
        self.assertIsNotNone(run_text(session, "READ k").error)


class LostGroupTests(unittest.TestCase):
    """Groups for which this process cannot reach a primary.

    Together with control not answering they show that the process is cut off.
    """

    def setUp(self) -> None:
        self.pooler = Pooler(group())

    def test_a_primary_that_answers_is_not_lost(self) -> None:
        run_text(self.pooler.session(), "WRITE k v")
        self.assertEqual(self.pooler.known.lost_groups(), 0)

    def test_a_primary_that_cannot_be_reached_is_lost_until_it_answers(self) -> None:
        server = self.pooler.network.servers["s1"]
        server.is_down = True
        run_text(self.pooler.session(), "WRITE k v")
        self.assertEqual(self.pooler.known.lost_groups(), 1)
        self.pooler.table.record_reachable("s1")
        self.assertEqual(self.pooler.known.lost_groups(), 0)

    def test_a_primary_that_was_replaced_elsewhere_is_lost(self) -> None:
        # The replaced primary is in the cut-off failure domain and still answers.
        # Guards against proxies there that keep accepting callers and refuse all their
        # writes.
        self.pooler.network.servers["s1"].is_replaced = True
        run_text(self.pooler.session(), "WRITE k v")
        self.assertEqual(self.pooler.known.lost_groups(), 1)
        self.pooler.apply_view(primary="s2")
        self.assertEqual(self.pooler.known.lost_groups(), 0)

    def test_the_primaries_to_probe_are_those_of_callers(self) -> None:
        self.assertEqual(self.pooler.known.primary_names(8), ["s1"])
        self.assertEqual(self.pooler.known.primary_names(0), [])

    def test_groups_without_an_endpoint_do_not_count(self) -> None:
        self.pooler.network.servers["s1"].is_down = True
        run_text(self.pooler.session(), "WRITE k v")
        self.pooler.apply_view(primary="s1", endpoints=[])
        self.assertEqual(self.pooler.known.lost_groups(), 0)
