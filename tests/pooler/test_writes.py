"""Tests of writes: where they run, and what is said of those without an answer."""

import unittest

from dogwoodspool_common import Phase, Role
from dogwoodspool_pooler import ErrorCode, StatementKind, TransactionState

from .fakes import FakeServer, Pooler, endpoint, say


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
    """A write runs at most once, and its answer is true."""

    def test_it_reaches_the_primary_as_it_is(self) -> None:
        pooler = Pooler(group())
        answer = say(pooler.session(), "WRITE k some data", "id-1")
        self.assertEqual(answer.proof, "s1:id-1")
        run = pooler.network.servers["s1"].runs[0]
        self.assertEqual((run.request_id, run.text), ("id-1", "WRITE k some data"))

    def test_a_write_without_an_answer_is_in_doubt_and_not_sent_again(self) -> None:
        # An agent's line shows twice. The first answer was lost on its way, and
        # the line was sent again although it had been stored.
        pooler = Pooler(group())
        pooler.network.servers["s1"].silent_for = {StatementKind.WRITE}
        answer = say(pooler.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.IN_DOUBT)
        self.assertEqual(pooler.network.servers["s1"].opened, 1)

    def test_a_write_waits_while_its_server_has_too_many_connections(self) -> None:
        # After a loss of power all callers of one domain are refused for a second
        # and a half. Servers go on to count the connections of the processes that
        # ended; their proxy had none of its own yet, was refused one, and gave up
        # although another came free some milliseconds later.
        servers = group()
        pooler = Pooler(servers)
        servers[0].full_for = 2
        self.assertEqual(say(pooler.session(), "WRITE k v").proof, "s1:r")
        self.assertEqual(pooler.suspected, [])

    def test_a_write_is_refused_when_no_connection_comes_free_in_time(self) -> None:
        servers = group()
        pooler = Pooler(servers)
        servers[0].full_for = 1_000
        began_at = pooler.clock.now()
        answer = say(pooler.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.BUSY)
        self.assertLessEqual(pooler.clock.now() - began_at, 0.11)

    def test_connections_that_are_refused_leave_the_concurrency_alone(self) -> None:
        """Guard against a limit that falls though the server has free slots."""
        servers = group()
        pooler = Pooler(servers)
        servers[0].full_for = 1_000
        for _ in range(10):
            say(pooler.session(), "WRITE k v")
        pooler.clock.advance(10.0)
        (backend,) = pooler.registry.all()
        backend.adjust()
        self.assertEqual(backend.admission.limit, backend.server.slots)

    def test_a_full_server_s_refusal_says_when_to_come_back(self) -> None:
        """Guard against callers that return at once, together, to a full server."""
        servers = group()
        pooler = Pooler(servers)
        servers[0].refusals = [ErrorCode.BUSY] * 1_000
        for statement in ("WRITE k v", "READ k"):
            answer = say(pooler.session(), statement)
            assert answer.error is not None
            self.assertIs(answer.error.code, ErrorCode.BUSY)
            self.assertGreater(answer.error.retry_after_ms, 0)

    def test_a_refused_write_goes_to_the_server_that_leads_now(self) -> None:
        servers = group()
        pooler = Pooler(servers)
        say(pooler.session(), "WRITE k v")
        servers[0].has_lost_lead = True
        servers[1].role = Role.PRIMARY
        pooler.show(primary="s2")
        self.assertEqual(say(pooler.session(), "WRITE k v").proof, "s2:r")

    def test_the_old_primary_serves_until_the_lead_has_moved(self) -> None:
        # Writes stand still for a second at each planned change of primary, since
        # proxies stop using the old primary when the change begins.
        servers = group()
        pooler = Pooler(servers)
        pooler.show(primary=None, phase=Phase.PROMOTING)
        self.assertEqual(say(pooler.session(), "WRITE k v").proof, "s1:r")
        pooler.show(primary="s2", phase=Phase.PROMOTING)
        self.assertEqual(say(pooler.session(), "WRITE k v").proof, "s1:r")
        servers[0].has_lost_lead = True
        servers[1].role = Role.PRIMARY
        self.assertEqual(say(pooler.session(), "WRITE k v").proof, "s2:r")

    def test_a_leaving_primary_without_a_successor_gets_no_work_in_the_end(
        self,
    ) -> None:
        # A server says that it leaves, and no other can lead. Proxies go on to use
        # it until it ends, and cut the requests that it still runs then.
        pooler = Pooler(group())
        pooler.show(primary="s1", leaving={"s1"})
        self.assertIsNone(say(pooler.session(), "WRITE k v").error)
        pooler.clock.advance(5)
        answer = say(pooler.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.BUSY)

    def test_without_a_primary_a_write_is_refused_as_not_run(self) -> None:
        pooler = Pooler(group())
        pooler.network.servers["s1"].is_down = True
        answer = say(pooler.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.BUSY)
        self.assertGreater(answer.error.retry_after_ms, 0)
        self.assertEqual(writes(pooler), [])

    def test_a_refusal_that_is_known_comes_at_once(self) -> None:
        # The primary is dead and nobody has begun to replace it. Callers that are
        # kept waiting lose the time in which they could come back.
        pooler = Pooler(group())
        pooler.network.servers["s1"].is_down = True
        say(pooler.session(), "WRITE k v")
        began_at = pooler.clock.now()
        say(pooler.session(), "WRITE k v")
        self.assertEqual(pooler.clock.now(), began_at)

    def test_a_failure_is_passed_on(self) -> None:
        pooler = Pooler(group())
        pooler.network.servers["s1"].refusals = [ErrorCode.FAILED]
        answer = say(pooler.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.FAILED)

    def test_a_write_without_an_answer_shows_as_a_stall(self) -> None:
        # The primary lost its replicas: it answers reads and leaves every write
        # without an answer until its callers give up, for as long as that lasts.
        pooler = Pooler(group())
        pooler.network.servers["s1"].silent_for = {StatementKind.WRITE}
        say(pooler.session(), "WRITE k v")
        pooler.clock.advance(0.5)
        self.assertIn("s1", pooler.stalls.stalled_seconds())
        pooler.network.servers["s1"].silent_for = set()
        say(pooler.session(), "WRITE k v")
        self.assertEqual(pooler.stalls.stalled_seconds(), {})


class TransactionTests(unittest.TestCase):
    """A transaction stays on one connection and ends whole or not at all."""

    def test_all_statements_share_one_connection(self) -> None:
        pooler = Pooler(group())
        first, second = pooler.session(), pooler.session()
        for session in (first, second):
            say(session, "BEGIN")
        for text in ("READ a", "WRITE b v"):
            say(first, text, "first")
            say(second, text, "second")
        runs = pooler.network.servers["s1"].runs
        by_caller = {
            caller: {run.connection for run in runs if run.request_id == caller}
            for caller in ("first", "second")
        }
        self.assertEqual([len(one) for one in by_caller.values()], [1, 1])
        self.assertNotEqual(by_caller["first"], by_caller["second"])

    def test_a_lost_connection_undoes_it_and_says_so(self) -> None:
        pooler = Pooler(group())
        session = pooler.session()
        say(session, "BEGIN")
        say(session, "WRITE k v")
        pooler.network.servers["s1"].is_down = True
        answer = say(session, "READ k")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.ABORTED)
        self.assertIs(answer.state, TransactionState.FAILED)
        refused = say(session, "READ k")
        assert refused.error is not None
        self.assertIs(refused.error.code, ErrorCode.MALFORMED)
        self.assertIs(say(session, "ROLLBACK").state, TransactionState.IDLE)

    def test_a_commit_without_an_answer_is_in_doubt(self) -> None:
        pooler = Pooler(group())
        session = pooler.session()
        say(session, "BEGIN")
        say(session, "WRITE k v")
        pooler.network.servers["s1"].silent_for = {StatementKind.COMMIT}
        answer = say(session, "COMMIT")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.IN_DOUBT)
        self.assertIs(answer.state, TransactionState.IDLE)

    def test_a_commit_at_a_replaced_primary_is_undone(self) -> None:
        pooler = Pooler(group())
        session = pooler.session()
        say(session, "BEGIN")
        say(session, "WRITE k v")
        pooler.network.servers["s1"].has_lost_lead = True
        answer = say(session, "COMMIT")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.ABORTED)

    def test_an_idle_transaction_is_undone(self) -> None:
        pooler = Pooler(group())
        session = pooler.session()
        say(session, "BEGIN")
        say(session, "WRITE k v")
        pooler.clock.advance(11)
        pooler.sessions.step()
        self.assertIs(session.state, TransactionState.FAILED)

    def test_a_route_that_goes_keeps_its_open_transactions(self) -> None:
        pooler = Pooler(group())
        session = pooler.session()
        say(session, "BEGIN")
        say(session, "WRITE k v")
        pooler.show(primary="s1", endpoints=[])
        self.assertIsNone(say(session, "COMMIT").error)
        answer = say(session, "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.NO_DATABASE)

    def test_a_read_only_one_at_a_primary_endpoint_is_fenced(self) -> None:
        pooler = Pooler(group(), endpoint())
        session = pooler.session()
        say(session, "BEGIN READ")
        say(session, "READ k")
        pooler.network.servers["s1"].has_lost_lead = True
        self.assertIsNotNone(say(session, "READ k").error)


class LostGroupTests(unittest.TestCase):
    """Groups whose callers this process cannot serve at a primary.

    Together with silent control they show that the process is cut off.
    """

    def setUp(self) -> None:
        self.pooler = Pooler(group())

    def test_a_primary_that_answers_is_not_lost(self) -> None:
        say(self.pooler.session(), "WRITE k v")
        self.assertEqual(self.pooler.known.lost_groups(), 0)

    def test_a_primary_that_cannot_be_reached_is_lost_until_it_answers(self) -> None:
        server = self.pooler.network.servers["s1"]
        server.is_down = True
        say(self.pooler.session(), "WRITE k v")
        self.assertEqual(self.pooler.known.lost_groups(), 1)
        self.pooler.table.record_reachable("s1")
        self.assertEqual(self.pooler.known.lost_groups(), 0)

    def test_a_primary_that_was_replaced_elsewhere_is_lost(self) -> None:
        # It is inside the cut-off failure domain and answers, so that the proxies there
        # went on to take callers and refused all their writes.
        self.pooler.network.servers["s1"].has_lost_lead = True
        say(self.pooler.session(), "WRITE k v")
        self.assertEqual(self.pooler.known.lost_groups(), 1)
        self.pooler.show(primary="s2")
        self.assertEqual(self.pooler.known.lost_groups(), 0)

    def test_the_primaries_to_ask_are_those_of_callers(self) -> None:
        self.assertEqual(self.pooler.known.names(8), ["s1"])
        self.assertEqual(self.pooler.known.names(0), [])

    def test_groups_that_no_caller_can_name_do_not_count(self) -> None:
        self.pooler.network.servers["s1"].is_down = True
        say(self.pooler.session(), "WRITE k v")
        self.pooler.show(primary="s1", endpoints=[])
        self.assertEqual(self.pooler.known.lost_groups(), 0)
