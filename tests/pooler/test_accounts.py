"""Tests of the client accounts that callers belong to."""

import unittest
from dataclasses import replace
from typing import Any

from dogwoodspool_accounts import RateLimitedError
from dogwoodspool_common import (
    BackendServer,
    ClientAccount,
    Consistency,
    Role,
    key_digest,
)
from dogwoodspool_pooler import (
    Answer,
    ErrorCode,
    StatementKind,
    TransactionState,
    UnknownKeyError,
)
from dogwoodspool_pooler.operations import OperationCounter
from dogwoodspool_pooler.token_age import TokenAge

from .fakes import FakeServer, Pooler, endpoint, run_text, set_value
from .shared.neighbours import SharingProxy


def account(name: str, *keys: str) -> ClientAccount:
    """Return an account that holds some keys."""
    return ClientAccount(name, tuple(key_digest(key) for key in keys))


SHOP = account("shop", "key-1")
BAKERY = account("bakery", "key-2")


class AccountFixture(unittest.TestCase):
    """A pooler whose callers need an account."""

    def setUp(self) -> None:
        self.server = FakeServer("s1", Role.PRIMARY)
        self.pooler = Pooler([self.server])
        self.apply_accounts(SHOP, BAKERY)

    def apply_accounts(self, *accounts: ClientAccount) -> None:
        self.pooler.apply_view(primary="s1", accounts=accounts)

    def ran_for(self) -> list[str]:
        """Return the accounts that the server ran statements for."""
        return [run.account for run in self.server.runs]


class IdentityTests(AccountFixture):
    """A caller is identified by its key."""

    def test_statements_run_in_the_name_of_the_account(self) -> None:
        run_text(self.pooler.session("key-1"), "WRITE k v")
        run_text(self.pooler.session("key-2"), "WRITE k v")
        self.assertEqual(self.ran_for(), ["shop", "bakery"])
        self.assertEqual(self.pooler.network.opened_for, ["shop", "bakery"])

    def test_unknown_key_is_refused_before_anything_is_opened(self) -> None:
        for key in ("", "key-3", "shop"):
            with self.assertRaises(UnknownKeyError):
                self.pooler.session(key)
        self.assertEqual(self.pooler.sessions.count, 0)
        self.assertEqual(self.server.opened, 0)

    def test_public_endpoint_needs_no_key(self) -> None:
        public = replace(endpoint(), is_public=True)
        self.pooler.apply_view(primary="s1", endpoints=[public], accounts=[SHOP])
        run_text(self.pooler.session("anything"), "WRITE k v")
        self.assertEqual(self.ran_for(), [""])

    def test_without_accounts_no_key_is_needed(self) -> None:
        self.pooler.apply_view(primary="s1")
        run_text(self.pooler.session("anything"), "WRITE k v")
        self.assertEqual(self.ran_for(), [""])

    def test_nobody_is_served_when_there_is_no_account(self) -> None:
        self.apply_accounts()
        with self.assertRaises(UnknownKeyError):
            self.pooler.session("key-1")


class RevocationTests(AccountFixture):
    """A key that is taken away ends what it opened."""

    def test_idle_session_is_revoked(self) -> None:
        session = self.pooler.session("key-1")
        self.assertFalse(session.is_revoked)
        self.apply_accounts(account("shop"), BAKERY)
        self.assertTrue(session.is_revoked)
        answer = run_text(session, "READ k")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.UNKNOWN_KEY)
        self.assertEqual(self.server.runs, [])

    def test_open_transaction_is_rolled_back(self) -> None:
        session = self.pooler.session("key-1")
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v")
        self.apply_accounts(BAKERY)
        session.abandon_transaction()
        answer = run_text(session, "COMMIT")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.UNKNOWN_KEY)
        self.assertNotIn("COMMIT", [run.text for run in self.server.runs])

    def test_commit_is_refused_though_the_transaction_was_not_abandoned(self) -> None:
        session = self.pooler.session("key-1")
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v")
        self.apply_accounts(BAKERY)
        answer = run_text(session, "COMMIT")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.UNKNOWN_KEY)
        self.assertIs(answer.state, TransactionState.FAILED)

    def test_key_that_comes_back_works_again(self) -> None:
        session = self.pooler.session("key-1")
        self.apply_accounts(BAKERY)
        self.assertIsNotNone(run_text(session, "WRITE k v").error)
        self.apply_accounts(SHOP, BAKERY)
        self.assertIsNone(run_text(session, "WRITE k v").error)
        self.assertEqual(self.ran_for(), ["shop"])

    def test_moved_key_runs_in_the_name_of_its_new_account(self) -> None:
        session = self.pooler.session("key-1")
        run_text(session, "WRITE k v")
        self.apply_accounts(account("shop"), account("bakery", "key-1", "key-2"))
        run_text(session, "WRITE k v")
        self.assertEqual(self.ran_for(), ["shop", "bakery"])

    def test_transaction_of_a_moved_key_is_rolled_back(self) -> None:
        session = self.pooler.session("key-1")
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v")
        self.apply_accounts(account("bakery", "key-1"))
        answer = run_text(session, "WRITE k2 v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.ABORTED)
        self.assertEqual(self.ran_for(), ["shop"])


class BehindControlTests(AccountFixture):
    """A key that the view in force lacks, and control's newest one may have."""

    def setUp(self) -> None:
        super().setUp()
        self.session = self.pooler.session("key-1")
        run_text(self.session, "BEGIN")

    def test_key_that_came_back_keeps_its_transaction(self) -> None:
        """Guard against a definite refusal by a proxy that is behind."""
        run_text(self.session, "WRITE k v")
        self.apply_accounts(BAKERY)
        self.pooler.control.bring = lambda: self.apply_accounts(SHOP, BAKERY)
        for text in ("WRITE k2 v", "COMMIT"):
            self.assertIsNone(run_text(self.session, text).error)

    def test_key_is_not_denied_without_control(self) -> None:
        """Guard against a definite refusal by a proxy that cannot know."""
        run_text(self.session, "WRITE k v")
        self.apply_accounts(BAKERY)
        self.pooler.control.is_reachable = False
        answer = run_text(self.session, "WRITE k2 v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.BUSY)
        self.assertIs(answer.state, TransactionState.FAILED)
        self.assertEqual(self.ran_for(), ["shop"])

    def test_refused_commit_ends_its_transaction(self) -> None:
        """Guard against a transaction that stays open after its commit."""
        for accounts, is_reachable, code in (
            ([account("bakery", "key-1")], True, ErrorCode.ABORTED),
            ([BAKERY], False, ErrorCode.BUSY),
        ):
            with self.subTest(code=code):
                self.apply_accounts(SHOP)
                run_text(self.session, "BEGIN")
                run_text(self.session, "WRITE k v")
                self.apply_accounts(*accounts)
                self.pooler.control.is_reachable = is_reachable
                answer = run_text(self.session, "COMMIT")
                assert answer.error is not None
                self.assertIs(answer.error.code, code)
                self.assertIs(answer.state, TransactionState.IDLE)
        self.assertNotIn("COMMIT", [run.text for run in self.server.runs])


class UnusedTransactionTests(AccountFixture):
    """A transaction that has run nothing runs for the caller of the newest view."""

    def setUp(self) -> None:
        super().setUp()
        self.session = self.pooler.session("key-1")
        run_text(self.session, "BEGIN")

    def test_key_moved(self) -> None:
        """Guard against a transaction that ends by a change before its start."""
        self.apply_accounts(account("bakery", "key-1"))
        self.assertIsNone(run_text(self.session, "WRITE k v").error)
        self.assertEqual(self.ran_for(), ["bakery"])

    def test_key_no_longer_needed(self) -> None:
        """Guard against the refusal of a key that only an older view asks for."""
        public = replace(endpoint(), is_public=True)
        self.pooler.apply_view(primary="s1", accounts=[BAKERY], endpoints=[public])
        self.assertIsNone(run_text(self.session, "WRITE k v").error)
        self.assertEqual(self.ran_for(), [""])

    def test_key_revoked(self) -> None:
        """Guard against a key that works until its transaction's first statement."""
        self.apply_accounts(BAKERY)
        answer = run_text(self.session, "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.UNKNOWN_KEY)
        self.assertEqual(self.ran_for(), [])

    def test_key_revoked_before_a_value(self) -> None:
        """Guard against values that are set for a revoked key."""
        self.apply_accounts(BAKERY)
        answer = set_value(self.session, "tenant", "a")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.UNKNOWN_KEY)


class RecordingLimiter:
    """Admit every operation, and record those that are given back."""

    def __init__(self) -> None:
        self.acquired: list[str] = []
        self.given_back: list[str] = []
        self.exchanged: list[float] = []
        self.has_none = False

    def acquire(self, account: str) -> None:
        self.acquired.append(account)

    def exchange(self, account: str, age: float) -> None:
        self.exchanged.append(round(age, 3))
        if self.has_none:
            raise RateLimitedError("no token", 70)

    def give_back(self, account: str, age: float) -> None:
        self.given_back.append(account)


class CountedOperationFixture(unittest.TestCase):
    """A proxy that counts operations, whose statements run at owners."""

    def setUp(self) -> None:
        self.server = FakeServer("s1", Role.PRIMARY)
        self.limiter = RecordingLimiter()
        self.proxy = SharingProxy([self.server], endpoint(Consistency.PRIMARY))
        for pooler in (self.proxy, *self.owners()):
            pooler.apply_view(primary="s1", accounts=[SHOP])
        counters, clock = self.proxy.counters, self.proxy.clock
        self.proxy.sessions._operations = OperationCounter(
            self.limiter, counters, clock
        )

    def owners(self) -> list[Pooler]:
        return [self.proxy.owner(name).pooler for name in ("o1", "o2")]


class CountedOperationTests(CountedOperationFixture):
    """What counts against an account's rate limit."""

    def test_statement_and_transaction_count_once_each(self) -> None:
        session = self.proxy.session("key-1")
        run_text(session, "READ k")
        for text in ("BEGIN", "READ k", "WRITE k v", "COMMIT"):
            run_text(session, text)
        self.assertEqual(self.limiter.acquired, ["shop", "shop"])
        self.assertEqual(self.limiter.given_back, [])

    def test_statement_that_the_server_refused_is_given_back(self) -> None:
        self.server.refusals += [ErrorCode.BUSY] * 50
        run_text(self.proxy.session("key-1"), "READ k")
        self.assertEqual(self.limiter.given_back, ["shop"])

    def test_read_whose_answer_was_lost_counts(self) -> None:
        """Guard against a limit that is exceeded by reads without answers."""
        self.server.unanswered_kinds.add(StatementKind.READ)
        answer = run_text(self.proxy.session("key-1"), "READ k")
        self.assertIsNotNone(answer.error)
        self.assertEqual(self.limiter.given_back, [])

    def test_statement_without_a_primary_is_given_back(self) -> None:
        self.server.is_down = True
        run_text(self.proxy.session("key-1"), "WRITE k v")
        self.assertEqual(self.limiter.given_back, ["shop"])


class TokenAgeTests(CountedOperationFixture):
    """A token that has become old is exchanged before its operation is sent."""

    def setUp(self) -> None:
        super().setUp()
        self.poolers = (self.proxy, *self.owners())
        for pooler in self.poolers:
            pooler.access._token_age = TokenAge(
                self.limiter.exchange, pooler.counters, pooler.clock
            )

    def wait_for_admission(self, seconds: float) -> None:
        """Let every connection take some time from now on."""
        for pooler in self.poolers:
            network, clock = pooler.network, pooler.clock
            connect = network.connect

            def slow(
                server: BackendServer,
                deadline: float,
                account: str = "",
                connect: Any = connect,
                clock: Any = clock,
            ) -> Any:
                clock.advance(seconds)
                return connect(server, deadline, account)

            network.connect = slow  # type: ignore[method-assign]

    def test_young_token_is_not_exchanged(self) -> None:
        self.wait_for_admission(0.02)
        session = self.proxy.session("key-1")
        for text in ("READ k", "BEGIN", "WRITE k v", "COMMIT"):
            self.assertIsNone(run_text(session, text).error)
        self.assertEqual(self.limiter.exchanged, [])

    def test_old_token_is_exchanged_where_the_statement_is_sent(self) -> None:
        """Guard against operations that count in a later window than their tokens."""
        self.wait_for_admission(0.3)
        self.assertIsNone(run_text(self.proxy.session("key-1"), "READ k").error)
        self.assertEqual(self.limiter.exchanged, [0.3])

    def test_transaction_exchanges_its_token_once(self) -> None:
        self.wait_for_admission(0.2)
        session = self.proxy.session("key-1")
        for text in ("BEGIN", "WRITE k v", "WRITE k2 v", "COMMIT"):
            self.assertIsNone(run_text(session, text).error)
        self.assertEqual(len(self.limiter.exchanged), 1)

    def test_statement_without_another_token_does_not_run(self) -> None:
        self.limiter.has_none = True
        self.wait_for_admission(0.3)
        self.check_not_run(run_text(self.proxy.session("key-1"), "WRITE k v"))

    def test_transaction_without_another_token_does_not_run(self) -> None:
        self.limiter.has_none = True
        self.wait_for_admission(0.3)
        session = self.proxy.session("key-1")
        run_text(session, "BEGIN")
        self.check_not_run(run_text(session, "WRITE k v"))

    def check_not_run(self, answer: Answer) -> None:
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.BUSY)
        self.assertEqual(answer.error.retry_after_ms, 70)
        self.assertEqual(self.server.runs, [])
        self.assertEqual(self.limiter.given_back, ["shop"])
        for pooler in self.poolers:
            for backend in pooler.registry.all():
                self.assertEqual(backend.pool.in_use, 0)


class ForwardedCallerTests(unittest.TestCase):
    """An owner checks the callers of its neighbours against its own view."""

    def setUp(self) -> None:
        self.server = FakeServer("s1", Role.PRIMARY)
        self.proxy = SharingProxy([self.server], endpoint(Consistency.PRIMARY))
        self.owners = [self.proxy.owner(name).pooler for name in ("o1", "o2")]
        for pooler in (self.proxy, *self.owners):
            pooler.apply_view(primary="s1", accounts=[SHOP])

    def test_statement_runs_at_the_owner_in_the_name_of_the_account(self) -> None:
        run_text(self.proxy.session("key-1"), "WRITE k v")
        self.assertEqual([run.account for run in self.server.runs], ["shop"])
        self.assertEqual(self.owners[0].network.opened_for, ["shop"])

    def test_revoked_key_is_refused_though_the_sender_does_not_know(self) -> None:
        """Guard against a proxy that is cut off from control and forwards on."""
        session = self.proxy.session("key-1")
        for owner in self.owners:
            owner.apply_view(primary="s1", accounts=[BAKERY])
        answer = run_text(session, "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.UNKNOWN_KEY)
        self.assertEqual(self.server.runs, [])

    def test_transaction_at_the_owner_ends_when_its_key_is_revoked(self) -> None:
        session = self.proxy.session("key-1")
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v")
        for owner in self.owners:
            owner.apply_view(primary="s1", accounts=[BAKERY])
        answer = run_text(session, "COMMIT")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.UNKNOWN_KEY)
        self.assertNotIn("COMMIT", [run.text for run in self.server.runs])
        self.assertEqual(self.proxy.owner("o1").leases.count, 0)

    def apply_at_owners(self, *accounts: ClientAccount) -> None:
        """Put a view in force at the owners that the sender does not have."""
        for owner in self.owners:
            owner.apply_view(primary="s1", accounts=accounts)

    def check_refused(self, answer: Answer) -> None:
        """Check that the caller may try again and that no owner holds anything."""
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.BUSY)
        self.assertGreater(answer.error.retry_after_ms, 0)
        self.assertEqual(self.proxy.owner("o1").leases.count, 0)

    def test_key_that_came_back_is_served(self) -> None:
        """Guard against a definite refusal by an owner that is behind."""
        session = self.proxy.session("key-1")
        self.apply_at_owners(BAKERY)
        owner = self.owners[0]
        owner.control.bring = lambda: owner.apply_view(primary="s1", accounts=[SHOP])
        self.assertIsNone(run_text(session, "WRITE k v").error)

    def test_key_is_not_denied_without_control(self) -> None:
        """Guard against a definite refusal by an owner that cannot know."""
        session = self.proxy.session("key-1")
        self.apply_at_owners(BAKERY)
        self.owners[0].control.is_reachable = False
        self.check_refused(run_text(session, "WRITE k v"))
        self.assertEqual(self.server.runs, [])

    def test_moved_key_is_not_denied(self) -> None:
        """Guard against a definite refusal of a key that another account holds."""
        session = self.proxy.session("key-1")
        self.apply_at_owners(account("bakery", "key-1"))
        self.check_refused(run_text(session, "WRITE k v"))
        self.assertEqual(self.server.runs, [])

    def test_transaction_of_a_moved_key_is_rolled_back(self) -> None:
        """Guard against a connection that stays with a transaction that has ended."""
        session = self.proxy.session("key-1")
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v")
        self.apply_at_owners(account("bakery", "key-1"))
        self.check_refused(run_text(session, "COMMIT"))
        self.assertEqual([run.text for run in self.server.runs], ["WRITE k v"])

    def revoke_everywhere(self) -> None:
        for pooler in (*self.owners, self.proxy):
            pooler.apply_view(primary="s1", accounts=[BAKERY])

    def test_statement_of_a_revoked_transaction_is_answered(self) -> None:
        """Guard against a connection that ends without an answer.

        The owner knows of the revocation as well, and must still roll back for its
        neighbour.
        """
        session = self.proxy.session("key-1")
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v")
        self.revoke_everywhere()
        answer = run_text(session, "WRITE k2 v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.UNKNOWN_KEY)
        self.assertEqual([run.text for run in self.server.runs], ["WRITE k v"])
        self.assertEqual(self.proxy.owner("o1").leases.count, 0)

    def test_transaction_is_abandoned_once_its_key_is_revoked(self) -> None:
        session = self.proxy.session("key-1")
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v")
        self.revoke_everywhere()
        session.abandon_transaction()
        self.assertEqual(self.proxy.owner("o1").leases.count, 0)
        self.assertIs(session.state, TransactionState.FAILED)

    def test_owner_that_does_not_know_a_new_key_yet_is_passed_over(self) -> None:
        self.proxy.apply_view(primary="s1", accounts=[SHOP, BAKERY])
        self.owners[1].apply_view(primary="s1", accounts=[SHOP, BAKERY])
        answer = run_text(self.proxy.session("key-2"), "WRITE k v")
        self.assertIsNone(answer.error)
        self.assertEqual(self.owners[1].network.opened_for, ["bakery"])
