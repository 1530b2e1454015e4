"""Tests of requests that the owner of a pool runs for another proxy."""

import unittest
from dataclasses import replace

from dogwoodspool_common import Consistency, Position, Role
from dogwoodspool_pooler import Access, ErrorCode, StatementKind, TransactionState
from dogwoodspool_pooler.const import BEHIND_LOOK_SECONDS
from dogwoodspool_pooler.shared.const import HOP_SECONDS
from dogwoodspool_pooler.shared.messages import StatementRequest

from ..fakes import FakeServer, endpoint, execute, prepare, say, set_value
from .neighbours import IDLE_LIMIT, SharingProxy


def group() -> list[FakeServer]:
    """Return a primary and a replica."""
    return [
        FakeServer("s1", Role.PRIMARY, failure_domain="fd9"),
        FakeServer("s2", Role.REPLICA),
    ]


def bounded() -> SharingProxy:
    """Return a proxy whose database accepts data of some age."""
    promised = endpoint(Consistency.BOUNDED_STALENESS, max_age_ms=1_500)
    return SharingProxy(group(), promised)


class RemoteStatementTests(unittest.TestCase):
    """A caller sees no difference from connections of its own proxy."""

    def test_a_write_runs_at_the_first_owner(self) -> None:
        proxy = SharingProxy(group())
        answer = say(proxy.session(), "WRITE k some data", "id-1")
        self.assertEqual(answer.proof, "s1:id-1")
        self.assertEqual(proxy.network.servers["s1"].runs[0].text, "WRITE k some data")
        self.assertEqual(len(proxy.owner("o1").asked), 1)
        self.assertEqual(proxy.owner("o2").asked, [])

    def test_owners_use_one_connection_for_statements_that_follow(self) -> None:
        proxy = SharingProxy(group())
        for _ in range(20):
            say(proxy.session(), "WRITE k v")
        self.assertEqual(proxy.network.servers["s1"].opened, 1)

    def test_session_values_and_prepared_statements_come_along(self) -> None:
        proxy = SharingProxy(group())
        session = proxy.session()
        set_value(session, "tz", "utc")
        prepare(session, "mine", Access.WRITE, "q1")
        self.assertIsNone(execute(session, "mine").error)
        run = proxy.network.servers["s1"].runs[-1]
        self.assertEqual((run.values, run.shape), ({"tz": "utc"}, "q1"))
        other = proxy.session()
        say(other, "WRITE k v")
        self.assertEqual(proxy.network.servers["s1"].runs[-1].values, {})

    def test_a_read_goes_to_a_replica_by_what_the_owner_knows(self) -> None:
        proxy = bounded()
        self.assertIsNone(say(proxy.session(), "READ k").error)
        self.assertEqual(len(proxy.network.servers["s1"].runs), 1)
        self.assertIsNone(say(proxy.session(), "READ k").error)
        self.assertEqual(len(proxy.network.servers["s2"].runs), 1)
        proxy.owner("o1").pooler.clock.advance(2.0)
        self.assertIsNone(say(proxy.session(), "READ k").error)
        self.assertEqual(len(proxy.network.servers["s1"].runs), 2)

    def test_a_session_s_own_write_bounds_its_reads_at_the_owner(self) -> None:
        promised = endpoint(Consistency.READ_YOUR_WRITES, max_age_ms=2_500)
        proxy = SharingProxy(group(), promised)
        session = proxy.session()
        say(session, "WRITE k v")
        self.assertIsNone(say(session, "READ k").error)
        replica, primary = proxy.network.servers["s2"], proxy.network.servers["s1"]
        self.assertEqual(replica.runs, [])
        replica.position = primary.position
        proxy.owner("o1").pooler.clock.advance(BEHIND_LOOK_SECONDS)
        self.assertIsNone(say(session, "READ k").error)
        self.assertEqual(len(replica.runs), 1)

    def test_a_full_server_s_refusal_reaches_the_caller_with_its_time(self) -> None:
        proxy = SharingProxy(group())
        proxy.network.servers["s1"].refusals = [ErrorCode.BUSY] * 1_000
        answer = say(proxy.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.BUSY)
        self.assertGreater(answer.error.retry_after_ms, 0)

    def test_an_idle_connection_that_had_ended_costs_no_request(self) -> None:
        proxy = SharingProxy(group())
        say(proxy.session(), "WRITE k v")
        backend = proxy.owner("o1").pooler
        for known in backend.registry.all():
            for idle in known.pool._idle:
                idle.close()
        self.assertIsNone(say(proxy.session(), "WRITE k v").error)

    def test_an_owner_answers_before_its_asker_gives_up(self) -> None:
        """Guard against a slow server that counts as an owner's silence."""
        proxy = bounded()
        for writes, text in ((False, "READ k"), (True, "WRITE k v")):
            say(proxy.session(), text)
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
            self.assertIsNone(say(session, text).error, text)
        runs = proxy.network.servers["s1"].runs
        self.assertEqual({run.connection for run in runs}, {1})
        self.assertEqual(proxy.owner("o1").leases.count, 0)
        self.assertEqual(proxy.owner("o2").asked, [])

    def test_two_transactions_never_share_a_connection(self) -> None:
        proxy = SharingProxy(group())
        one, other = proxy.session(), proxy.session()
        for session in (one, other):
            say(session, "BEGIN")
            say(session, "WRITE k v")
        runs = proxy.network.servers["s1"].runs
        self.assertEqual(len({run.connection for run in runs}), 2)
        self.assertEqual(proxy.owner("o1").leases.count, 2)

    def test_a_rollback_gives_the_connection_back(self) -> None:
        proxy = SharingProxy(group())
        session = proxy.session()
        say(session, "BEGIN")
        say(session, "WRITE k v")
        self.assertIs(say(session, "ROLLBACK").state, TransactionState.IDLE)
        self.assertEqual(proxy.owner("o1").leases.count, 0)
        say(proxy.session(), "WRITE k v")
        self.assertEqual(proxy.network.servers["s1"].opened, 1)

    def test_a_caller_that_leaves_in_a_transaction_leaves_no_lease(self) -> None:
        proxy = SharingProxy(group())
        session = proxy.session()
        say(session, "BEGIN")
        say(session, "WRITE k v")
        session.close()
        self.assertEqual(proxy.owner("o1").leases.count, 0)

    def test_a_reading_transaction_begins_on_a_replica(self) -> None:
        proxy = bounded()
        say(proxy.session(), "WRITE k v")
        session = proxy.session()
        proxy.network.servers["s2"].position = Position(3, 200)
        say(session, "BEGIN READ")
        self.assertIsNone(say(session, "READ k").error)
        self.assertIsNone(say(session, "COMMIT").error)
        self.assertEqual(len(proxy.network.servers["s2"].runs), 2)


class FullOwnerTests(unittest.TestCase):
    """An owner that works on many requests leaves some to others."""

    def test_another_owner_serves_and_commits_still_get_through(self) -> None:
        """Guard against commits that wait behind those who wait for connections."""
        proxy = SharingProxy(group())
        session = proxy.session()
        say(session, "BEGIN")
        say(session, "WRITE k v")
        with proxy.owner("o1").slots.taken(), proxy.owner("o1").slots.taken():
            self.assertIsNone(say(proxy.session(), "WRITE k v").error)
            self.assertEqual(len(proxy.owner("o2").asked), 1)
            self.assertIsNone(say(session, "COMMIT").error)
        self.assertEqual(proxy.directory.failed, [])


class LostOwnerTests(unittest.TestCase):
    """An owner may be lost at any moment; what is said of a request stays true."""

    def test_another_owner_serves_where_one_cannot_be_reached(self) -> None:
        proxy = SharingProxy(group())
        proxy.owner("o1").is_down = True
        self.assertIsNone(say(proxy.session(), "WRITE k v").error)
        self.assertEqual(proxy.directory.failed, ["o1"])
        self.assertEqual(len(proxy.owner("o2").asked), 1)

    def test_a_proxy_without_owners_in_reach_serves_by_itself(self) -> None:
        proxy = SharingProxy(group())
        proxy.owner("o1").is_down = proxy.owner("o2").is_down = True
        session = proxy.session()
        for text in ("BEGIN", "WRITE k v", "COMMIT"):
            self.assertIsNone(say(session, text).error, text)
        self.assertEqual(len(proxy.network.servers["s1"].runs), 2)

    def test_an_owner_that_leaves_hands_new_requests_on(self) -> None:
        proxy = SharingProxy(group())
        session = proxy.session()
        say(session, "BEGIN")
        say(session, "WRITE k v")
        proxy.owner("o1").leave()
        self.assertIsNone(say(proxy.session(), "WRITE k v").error)
        self.assertEqual(len(proxy.owner("o2").asked), 1)
        self.assertIsNone(say(session, "COMMIT").error)

    def test_a_write_without_an_owner_s_answer_is_in_doubt_and_runs_once(self) -> None:
        """Guard against a write that a second owner runs again."""
        proxy = SharingProxy(group())
        proxy.owner("o1").loses_answers = True
        answer = say(proxy.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.IN_DOUBT)
        self.assertEqual(len(proxy.network.servers["s1"].runs), 1)
        self.assertEqual(proxy.owner("o2").asked, [])

    def test_an_owner_s_silence_does_not_count_against_the_server(self) -> None:
        """Guard against a change of primary because a proxy was lost."""
        proxy = SharingProxy(group())
        proxy.owner("o1").loses_answers = True
        say(proxy.session(), "WRITE k v")
        self.assertEqual(proxy.suspected, [])
        known = proxy.table.get("s1")
        assert known is not None
        self.assertFalse(known.is_failing)

    def test_a_read_without_an_owner_s_answer_is_read_elsewhere(self) -> None:
        proxy = bounded()
        say(proxy.session(), "READ k")
        proxy.owner("o1").loses_answers = True
        self.assertIsNone(say(proxy.session(), "READ k").error)

    def test_a_transaction_whose_owner_was_lost_is_undone(self) -> None:
        proxy = SharingProxy(group())
        for ending in ("WRITE k v", "COMMIT"):
            session = proxy.session()
            say(session, "BEGIN")
            say(session, "WRITE k v")
            proxy.owner("o1").is_down = True
            answer = say(session, ending)
            assert answer.error is not None
            self.assertIs(answer.error.code, ErrorCode.ABORTED)
            proxy.owner("o1").is_down = False
            proxy.directory.failed.clear()
            say(session, "ROLLBACK")
        kinds = {run.kind for run in proxy.network.servers["s1"].runs}
        self.assertNotIn(StatementKind.COMMIT, kinds)

    def test_a_commit_without_an_answer_is_in_doubt(self) -> None:
        proxy = SharingProxy(group())
        session = proxy.session()
        say(session, "BEGIN")
        say(session, "WRITE k v")
        proxy.owner("o1").loses_answers = True
        answer = say(session, "COMMIT")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.IN_DOUBT)

    def test_the_lease_of_a_lost_proxy_ends_and_undoes_its_transaction(self) -> None:
        """Guard against locks that the transactions of a lost proxy keep."""
        proxy = SharingProxy(group())
        session = proxy.session()
        say(session, "BEGIN")
        say(session, "WRITE k v")
        owner = proxy.owner("o1")
        owner.pooler.clock.advance(IDLE_LIMIT)
        owner.leases.end_expired()
        self.assertEqual(owner.leases.count, 1)
        owner.pooler.clock.advance(1.0)
        owner.leases.end_expired()
        self.assertEqual(owner.leases.count, 0)
        answer = say(session, "COMMIT")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.ABORTED)


class ServerTroubleTests(unittest.TestCase):
    """What an owner cannot do another owner, or the proxy itself, may be able to."""

    def test_a_primary_that_one_owner_cannot_reach_is_reached_by_another(self) -> None:
        """Guard against a primary cut off from some proxies that refuses callers."""
        proxy = SharingProxy(group())
        cut_off = proxy.owner("o1").pooler
        cut_off.network.servers = {}
        self.assertIsNone(say(proxy.session(), "WRITE k v").error)
        self.assertEqual(len(proxy.owner("o2").asked), 1)
        self.assertEqual(proxy.directory.failed, [])

    def test_a_primary_that_nobody_reaches_counts_as_failing_here(self) -> None:
        """Guard against a proxy that does not find out that it is cut off."""
        proxy = SharingProxy(group())
        proxy.network.servers["s1"].is_down = True
        answer = say(proxy.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.BUSY)
        self.assertGreater(answer.error.retry_after_ms, 0)
        self.assertEqual(proxy.known.lost_groups(), 1)

    def test_a_write_that_a_server_leaves_unanswered_is_in_doubt(self) -> None:
        proxy = SharingProxy(group())
        proxy.network.servers["s1"].silent_for = {StatementKind.WRITE}
        answer = say(proxy.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.IN_DOUBT)
        self.assertEqual(proxy.owner("o1").pooler.suspected, ["s1"])
        self.assertEqual(proxy.owner("o2").asked, [])

    def test_a_transaction_s_server_that_is_down_counts_as_failing(self) -> None:
        proxy = SharingProxy(group())
        session = proxy.session()
        say(session, "BEGIN")
        proxy.network.servers["s1"].is_down = True
        answer = say(session, "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.BUSY)
        self.assertEqual(proxy.known.lost_groups(), 1)

    def test_an_owner_that_knows_another_process_of_a_server_is_passed_over(
        self,
    ) -> None:
        proxy = SharingProxy(group())
        behind = proxy.owner("o1").pooler
        behind.network.servers = {}
        behind.show(primary=None)
        session = proxy.session()
        for text in ("BEGIN", "WRITE k v", "COMMIT"):
            self.assertIsNone(say(session, text).error, text)
        self.assertGreater(len(proxy.owner("o2").asked), 0)
        self.assertEqual(proxy.directory.failed, [])

    def test_an_owner_that_does_not_know_a_group_yet_is_asked_again(self) -> None:
        """Guard against a second without owners after each start of a service."""
        proxy = SharingProxy(group())
        owner = proxy.owner("o1").pooler
        known = owner.views.view
        owner.views._view = replace(known, version=known.version, groups={})
        self.assertIsNone(say(proxy.session(), "WRITE k v").error)
        self.assertEqual(proxy.directory.failed, [])
        owner.views._view = known
        self.assertIsNone(say(proxy.session(), "WRITE k v").error)
        self.assertEqual(len(proxy.owner("o1").asked), 2)
