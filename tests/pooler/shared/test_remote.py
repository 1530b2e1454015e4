"""Tests of requests that an owner of pools runs for another proxy."""

import unittest
from dataclasses import replace

from dogwoodspool_common import Consistency, Position, Role
from dogwoodspool_pooler import Access, ErrorCode, StatementKind, TransactionState
from dogwoodspool_pooler.const import LAG_RECHECK_SECONDS
from dogwoodspool_pooler.shared.const import HOP_SECONDS
from dogwoodspool_pooler.shared.messages import StatementRequest

from ..fakes import FakeServer, endpoint, execute, prepare, run_text, set_value
from .neighbours import IDLE_LIMIT, SharingProxy


def group() -> list[FakeServer]:
    """Return a primary and a replica."""
    return [
        FakeServer("s1", Role.PRIMARY, failure_domain="fd9"),
        FakeServer("s2", Role.REPLICA),
    ]


def bounded() -> SharingProxy:
    """Return a proxy whose database accepts bounded staleness."""
    served_endpoint = endpoint(Consistency.BOUNDED_STALENESS, max_age_ms=1_500)
    return SharingProxy(group(), served_endpoint)


class RemoteStatementTests(unittest.TestCase):
    """A caller sees no difference from statements on its own proxy's connections."""

    def test_a_write_runs_at_the_first_owner(self) -> None:
        proxy = SharingProxy(group())
        answer = run_text(proxy.session(), "WRITE k some data", "id-1")
        self.assertEqual(answer.proof, "s1:id-1")
        self.assertEqual(proxy.network.servers["s1"].runs[0].text, "WRITE k some data")
        self.assertEqual(len(proxy.owner("o1").requested_paths), 1)
        self.assertEqual(proxy.owner("o2").requested_paths, [])

    def test_owners_use_one_connection_for_statements_that_follow(self) -> None:
        proxy = SharingProxy(group())
        for _ in range(20):
            run_text(proxy.session(), "WRITE k v")
        self.assertEqual(proxy.network.servers["s1"].opened, 1)

    def test_session_values_and_prepared_statements_are_forwarded(self) -> None:
        proxy = SharingProxy(group())
        session = proxy.session()
        set_value(session, "tz", "utc")
        prepare(session, "mine", Access.WRITE, "q1")
        self.assertIsNone(execute(session, "mine").error)
        run = proxy.network.servers["s1"].runs[-1]
        self.assertEqual((run.values, run.shape), ({"tz": "utc"}, "q1"))
        other = proxy.session()
        run_text(other, "WRITE k v")
        self.assertEqual(proxy.network.servers["s1"].runs[-1].values, {})

    def test_a_read_goes_to_a_replica_by_the_freshness_known_to_the_owner(self) -> None:
        proxy = bounded()
        self.assertIsNone(run_text(proxy.session(), "READ k").error)
        self.assertEqual(len(proxy.network.servers["s1"].runs), 1)
        self.assertIsNone(run_text(proxy.session(), "READ k").error)
        self.assertEqual(len(proxy.network.servers["s2"].runs), 1)
        proxy.owner("o1").pooler.clock.advance(2.0)
        self.assertIsNone(run_text(proxy.session(), "READ k").error)
        self.assertEqual(len(proxy.network.servers["s1"].runs), 2)

    def test_a_session_s_own_write_bounds_its_reads_at_the_owner(self) -> None:
        served_endpoint = endpoint(Consistency.READ_YOUR_WRITES, max_age_ms=2_500)
        proxy = SharingProxy(group(), served_endpoint)
        session = proxy.session()
        run_text(session, "WRITE k v")
        self.assertIsNone(run_text(session, "READ k").error)
        replica, primary = proxy.network.servers["s2"], proxy.network.servers["s1"]
        self.assertEqual(replica.runs, [])
        replica.position = primary.position
        proxy.owner("o1").pooler.clock.advance(LAG_RECHECK_SECONDS)
        self.assertIsNone(run_text(session, "READ k").error)
        self.assertEqual(len(replica.runs), 1)

    def test_a_refusal_of_a_full_server_reaches_the_caller_with_its_retry_time(
        self,
    ) -> None:
        proxy = SharingProxy(group())
        proxy.network.servers["s1"].refusals = [ErrorCode.BUSY] * 1_000
        answer = run_text(proxy.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.BUSY)
        self.assertGreater(answer.error.retry_after_ms, 0)

    def test_an_idle_connection_that_had_ended_fails_no_request(self) -> None:
        proxy = SharingProxy(group())
        run_text(proxy.session(), "WRITE k v")
        backend = proxy.owner("o1").pooler
        for known in backend.registry.all():
            for idle in known.pool._idle:
                idle.close()
        self.assertIsNone(run_text(proxy.session(), "WRITE k v").error)

    def test_an_owner_answers_before_the_sender_times_out(self) -> None:
        """Guard against a slow server that makes its owner look unresponsive."""
        proxy = bounded()
        for writes, text in ((False, "READ k"), (True, "WRITE k v")):
            run_text(proxy.session(), text)
            message = StatementRequest.model_validate(proxy.neighbours.bodies[-1])
            given = message.endpoint.deadline_ms / 1_000 + HOP_SECONDS
            self.assertLessEqual(given, proxy.neighbours.timeouts[-1] + 0.001)
            self.assertEqual(given < 0.8, not writes)


class RemoteTransactionTests(unittest.TestCase):
    """A transaction keeps one connection at one owner until its end."""

    def test_its_statements_run_on_one_connection(self) -> None:
        proxy = SharingProxy(group())
        session = proxy.session()
        for text in ("BEGIN", "READ k", "WRITE k v", "COMMIT"):
            self.assertIsNone(run_text(session, text).error, text)
        runs = proxy.network.servers["s1"].runs
        self.assertEqual({run.connection for run in runs}, {1})
        self.assertEqual(proxy.owner("o1").leases.count, 0)
        self.assertEqual(proxy.owner("o2").requested_paths, [])

    def test_two_transactions_never_share_a_connection(self) -> None:
        proxy = SharingProxy(group())
        one, other = proxy.session(), proxy.session()
        for session in (one, other):
            run_text(session, "BEGIN")
            run_text(session, "WRITE k v")
        runs = proxy.network.servers["s1"].runs
        self.assertEqual(len({run.connection for run in runs}), 2)
        self.assertEqual(proxy.owner("o1").leases.count, 2)

    def test_a_rollback_releases_the_connection(self) -> None:
        proxy = SharingProxy(group())
        session = proxy.session()
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v")
        self.assertIs(run_text(session, "ROLLBACK").state, TransactionState.IDLE)
        self.assertEqual(proxy.owner("o1").leases.count, 0)
        run_text(proxy.session(), "WRITE k v")
        self.assertEqual(proxy.network.servers["s1"].opened, 1)

    def test_a_session_closed_in_a_transaction_releases_its_lease(self) -> None:
        proxy = SharingProxy(group())
        session = proxy.session()
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v")
        session.close()
        self.assertEqual(proxy.owner("o1").leases.count, 0)

    def test_a_read_only_transaction_begins_on_a_replica(self) -> None:
        proxy = bounded()
        run_text(proxy.session(), "WRITE k v")
        session = proxy.session()
        proxy.network.servers["s2"].position = Position(3, 200)
        run_text(session, "BEGIN READ")
        self.assertIsNone(run_text(session, "READ k").error)
        self.assertIsNone(run_text(session, "COMMIT").error)
        self.assertEqual(len(proxy.network.servers["s2"].runs), 2)


class FullOwnerTests(unittest.TestCase):
    """An owner without free slots leaves new requests to other owners."""

    def test_another_owner_serves_new_requests_and_commits_still_run(self) -> None:
        """Guard against commits that queue behind requests waiting for connections."""
        proxy = SharingProxy(group())
        session = proxy.session()
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v")
        with (
            proxy.owner("o1").slots.acquire_slot(),
            proxy.owner("o1").slots.acquire_slot(),
        ):
            self.assertIsNone(run_text(proxy.session(), "WRITE k v").error)
            self.assertEqual(len(proxy.owner("o2").requested_paths), 1)
            self.assertIsNone(run_text(session, "COMMIT").error)
        self.assertEqual(proxy.directory.failed, [])


class LostOwnerTests(unittest.TestCase):
    """An owner may be lost at any time; reported outcomes must stay correct."""

    def test_another_owner_serves_where_one_cannot_be_reached(self) -> None:
        proxy = SharingProxy(group())
        proxy.owner("o1").is_down = True
        self.assertIsNone(run_text(proxy.session(), "WRITE k v").error)
        self.assertEqual(proxy.directory.failed, ["o1"])
        self.assertEqual(len(proxy.owner("o2").requested_paths), 1)

    def test_a_proxy_without_reachable_owners_uses_local_pools(self) -> None:
        proxy = SharingProxy(group())
        proxy.owner("o1").is_down = proxy.owner("o2").is_down = True
        session = proxy.session()
        for text in ("BEGIN", "WRITE k v", "COMMIT"):
            self.assertIsNone(run_text(session, text).error, text)
        self.assertEqual(len(proxy.network.servers["s1"].runs), 2)

    def test_an_owner_of_an_earlier_build_is_passed_over(self) -> None:
        """Guard against writes in doubt while a deployment is upgraded.

        An earlier build rejects messages with fields that it does not know.
        """
        proxy = SharingProxy(group())
        proxy.owner("o1").rejects_messages = True
        session = proxy.session()
        for text in ("WRITE k v", "BEGIN", "WRITE k v", "COMMIT"):
            self.assertIsNone(run_text(session, text).error, text)
        self.assertEqual(len(proxy.owner("o2").requested_paths), 4)

    def test_an_owner_that_leaves_refuses_new_requests(self) -> None:
        proxy = SharingProxy(group())
        session = proxy.session()
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v")
        proxy.owner("o1").leave()
        self.assertIsNone(run_text(proxy.session(), "WRITE k v").error)
        self.assertEqual(len(proxy.owner("o2").requested_paths), 1)
        self.assertIsNone(run_text(session, "COMMIT").error)

    def test_a_write_without_an_owner_s_answer_is_in_doubt_and_runs_once(self) -> None:
        """Guard against a write that is run again by a second owner."""
        proxy = SharingProxy(group())
        proxy.owner("o1").loses_answers = True
        answer = run_text(proxy.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.IN_DOUBT)
        self.assertEqual(len(proxy.network.servers["s1"].runs), 1)
        self.assertEqual(proxy.owner("o2").requested_paths, [])

    def test_an_unresponsive_owner_does_not_count_against_the_server(self) -> None:
        """Guard against a failover that is triggered by the loss of a proxy."""
        proxy = SharingProxy(group())
        proxy.owner("o1").loses_answers = True
        run_text(proxy.session(), "WRITE k v")
        self.assertEqual(proxy.suspected, [])
        known = proxy.table.get("s1")
        assert known is not None
        self.assertFalse(known.is_failing)

    def test_a_read_without_an_owner_s_answer_is_retried_elsewhere(self) -> None:
        proxy = bounded()
        run_text(proxy.session(), "READ k")
        proxy.owner("o1").loses_answers = True
        self.assertIsNone(run_text(proxy.session(), "READ k").error)

    def test_a_transaction_whose_owner_was_lost_is_aborted(self) -> None:
        proxy = SharingProxy(group())
        for ending in ("WRITE k v", "COMMIT"):
            session = proxy.session()
            run_text(session, "BEGIN")
            run_text(session, "WRITE k v")
            proxy.owner("o1").is_down = True
            answer = run_text(session, ending)
            assert answer.error is not None
            self.assertIs(answer.error.code, ErrorCode.ABORTED)
            proxy.owner("o1").is_down = False
            proxy.directory.failed.clear()
            run_text(session, "ROLLBACK")
        kinds = {run.kind for run in proxy.network.servers["s1"].runs}
        self.assertNotIn(StatementKind.COMMIT, kinds)

    def test_a_commit_without_an_answer_is_in_doubt(self) -> None:
        proxy = SharingProxy(group())
        session = proxy.session()
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v")
        proxy.owner("o1").loses_answers = True
        answer = run_text(session, "COMMIT")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.IN_DOUBT)

    def test_the_lease_of_a_lost_proxy_expires_and_aborts_its_transaction(self) -> None:
        """Guard against locks that are kept by the transactions of a lost proxy."""
        proxy = SharingProxy(group())
        session = proxy.session()
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v")
        owner = proxy.owner("o1")
        owner.pooler.clock.advance(IDLE_LIMIT)
        owner.leases.end_expired()
        self.assertEqual(owner.leases.count, 1)
        owner.pooler.clock.advance(1.0)
        owner.leases.end_expired()
        self.assertEqual(owner.leases.count, 0)
        answer = run_text(session, "COMMIT")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.ABORTED)


class UnreachableServerTests(unittest.TestCase):
    """A server that one owner cannot reach may be reachable from another proxy."""

    def test_a_primary_that_one_owner_cannot_reach_is_reached_by_another(self) -> None:
        """Guard against refused callers while only some proxies reach the primary."""
        proxy = SharingProxy(group())
        cut_off = proxy.owner("o1").pooler
        cut_off.network.servers = {}
        self.assertIsNone(run_text(proxy.session(), "WRITE k v").error)
        self.assertEqual(len(proxy.owner("o2").requested_paths), 1)
        self.assertEqual(proxy.directory.failed, [])

    def test_a_primary_that_no_proxy_reaches_counts_as_failing(self) -> None:
        """Guard against a proxy that does not detect that it is cut off."""
        proxy = SharingProxy(group())
        proxy.network.servers["s1"].is_down = True
        answer = run_text(proxy.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.BUSY)
        self.assertGreater(answer.error.retry_after_ms, 0)
        self.assertEqual(proxy.known.lost_groups(), 1)

    def test_a_write_that_a_server_leaves_unanswered_is_in_doubt(self) -> None:
        proxy = SharingProxy(group())
        proxy.network.servers["s1"].unanswered_kinds = {StatementKind.WRITE}
        answer = run_text(proxy.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.IN_DOUBT)
        self.assertEqual(proxy.owner("o1").pooler.suspected, ["s1"])
        self.assertEqual(proxy.owner("o2").requested_paths, [])

    def test_a_transaction_s_server_that_is_down_counts_as_failing(self) -> None:
        proxy = SharingProxy(group())
        session = proxy.session()
        run_text(session, "BEGIN")
        proxy.network.servers["s1"].is_down = True
        answer = run_text(session, "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.BUSY)
        self.assertEqual(proxy.known.lost_groups(), 1)

    def test_an_owner_that_knows_another_incarnation_of_a_server_is_skipped(
        self,
    ) -> None:
        proxy = SharingProxy(group())
        outdated = proxy.owner("o1").pooler
        outdated.network.servers = {}
        outdated.apply_view(primary=None)
        session = proxy.session()
        for text in ("BEGIN", "WRITE k v", "COMMIT"):
            self.assertIsNone(run_text(session, text).error, text)
        self.assertGreater(len(proxy.owner("o2").requested_paths), 0)
        self.assertEqual(proxy.directory.failed, [])

    def test_an_owner_that_does_not_know_a_group_yet_is_tried_again(self) -> None:
        """Guard against a second without owners after each start of a service.

        A proxy whose view lacks the group must not be marked as failed.
        """
        proxy = SharingProxy(group())
        owner = proxy.owner("o1").pooler
        known = owner.views.view
        owner.views._view = replace(known, version=known.version, groups={})
        self.assertIsNone(run_text(proxy.session(), "WRITE k v").error)
        self.assertEqual(proxy.directory.failed, [])
        owner.views._view = known
        self.assertIsNone(run_text(proxy.session(), "WRITE k v").error)
        self.assertEqual(len(proxy.owner("o1").requested_paths), 2)
