"""Tests of the client accounts of callers of the own interface."""

import unittest
from dataclasses import dataclass, field
from typing import Any, cast

from dogwoodspool_accounts import RateLimitedError
from dogwoodspool_api import ControlView, SettingsNode
from dogwoodspool_common import ManualClock, RateLimit
from dogwoodspool_common.counters import Counters
from dogwoodspool_following import ViewStore
from dogwoodspool_gateway import (
    Answer,
    Classification,
    DoneAnswer,
    ErrorAnswer,
    Outcome,
    StatementKind,
    StatementRequest,
)
from dogwoodspool_gateway.models import RequestProperties
from dogwoodspool_proxy.accounts import CallerAccounts
from dogwoodspool_proxy.answers import refused
from dogwoodspool_proxy.caller_session import ProxySession
from dogwoodspool_proxy.callers import CallerState, Transaction

ACCOUNTS = {
    "shop": {"users": ["app", "jobs"], "rate_per_second": 5, "burst": 10},
    "bakery": {"users": ["oven"]},
}


@dataclass
class FakeLimiter:
    """Admit a number of operations."""

    left: int = 100
    acquired: list[str] = field(default_factory=list)
    given_back: list[str] = field(default_factory=list)

    def acquire(self, account: str) -> None:
        if not self.left:
            raise RateLimitedError("over the limit", 120)
        self.left -= 1
        self.acquired.append(account)

    def exchange(self, account: str, age: float) -> None:
        raise AssertionError("the proxy exchanges no tokens")

    def give_back(self, account: str, age: float) -> None:
        self.given_back.append(account)


@dataclass
class FakePath:
    """Answer every statement."""

    answer: Answer = field(default_factory=DoneAnswer)
    accounts: list[str] = field(default_factory=list)

    def run(self, caller: CallerState, _request: Any, _deadline: float) -> Answer:
        self.accounts.append(caller.account)
        if caller.transaction is not None and isinstance(self.answer, DoneAnswer):
            caller.transaction.held = cast(Any, object())
        return self.answer

    def begin(self, caller: CallerState, is_read_only: bool, _at: float) -> Answer:
        caller.transaction = Transaction(is_read_only, 0.0)
        return DoneAnswer()


class CallerAccountTests(unittest.TestCase):
    """Users belong to the accounts of the settings in force."""

    def setUp(self) -> None:
        self.views = ViewStore("fd1", ManualClock())
        self.accounts = CallerAccounts(self.views)

    def apply(self, version: int, accounts: dict[str, Any]) -> None:
        overrides = {"accounts": accounts}
        root = SettingsNode(path="/", version=version, overrides=overrides)
        self.views.adopt(
            ControlView(
                version=version, groups=[], servers=[], proxies=[], settings=[root]
            )
        )

    def test_user_belongs_to_its_account(self) -> None:
        self.apply(1, ACCOUNTS)
        self.assertEqual(self.accounts.account_of("jobs"), "shop")
        self.assertEqual(self.accounts.account_of("oven"), "bakery")
        self.assertEqual(self.accounts.account_of("stranger"), "")

    def test_limit_comes_from_the_settings(self) -> None:
        self.apply(1, ACCOUNTS)
        self.assertEqual(self.accounts.rate_limit("shop"), RateLimit(5, 10))
        self.assertIsNone(self.accounts.rate_limit("bakery"))
        self.assertIsNone(self.accounts.rate_limit("unknown"))

    def test_newer_settings_apply_at_once(self) -> None:
        self.apply(1, ACCOUNTS)
        self.accounts.account_of("app")
        self.apply(2, {"bakery": {"users": ["app"]}})
        self.assertEqual(self.accounts.account_of("app"), "bakery")


class OperationTests(unittest.TestCase):
    """A statement or a transaction is one operation of its account."""

    def setUp(self) -> None:
        self.views = ViewStore("fd1", ManualClock())
        root = SettingsNode(path="/", version=1, overrides={"accounts": ACCOUNTS})
        self.views.adopt(
            ControlView(version=1, groups=[], servers=[], proxies=[], settings=[root])
        )
        self.limiter = FakeLimiter()
        self.path = FakePath()

    def session(self, user: str = "app") -> ProxySession:
        path = cast(Any, self.path)
        return ProxySession(
            CallerState(user, group="orders"),
            self.views,
            lambda: True,
            path,
            path,
            path,
            CallerAccounts(self.views),
            self.limiter,
            Counters(),
            ManualClock(),
            lambda _session: None,
        )

    def run_kind(self, session: ProxySession, kind: StatementKind) -> Answer:
        return session.run(
            StatementRequest("", Classification(kind), RequestProperties(), 0.0)
        )

    def test_each_statement_is_one_operation(self) -> None:
        session = self.session()
        self.run_kind(session, StatementKind.READ)
        self.run_kind(session, StatementKind.WRITE)
        self.assertEqual(self.limiter.acquired, ["shop", "shop"])
        self.assertEqual(self.path.accounts, ["shop", "shop"])

    def test_transaction_is_one_operation(self) -> None:
        session = self.session()
        self.run_kind(session, StatementKind.BEGIN)
        self.assertEqual(self.limiter.acquired, [])
        for _ in range(3):
            self.run_kind(session, StatementKind.WRITE)
        self.assertEqual(self.limiter.acquired, ["shop"])

    def test_refusal_says_that_it_did_not_run_and_when_to_retry(self) -> None:
        self.limiter.left = 0
        answer = self.run_kind(self.session(), StatementKind.WRITE)
        assert isinstance(answer, ErrorAnswer)
        self.assertIs(answer.outcome, Outcome.NOT_RUN)
        self.assertEqual(answer.retry_after_ms, 120)
        self.assertEqual(self.path.accounts, [])

    def test_operation_that_did_not_run_is_given_back(self) -> None:
        self.path.answer = refused("full", 10)
        self.run_kind(self.session(), StatementKind.READ)
        self.assertEqual(self.limiter.given_back, ["shop"])

    def test_first_statement_that_is_sent_again_counts_once(self) -> None:
        session = self.session()
        self.run_kind(session, StatementKind.BEGIN)
        self.path.answer = refused("full", 10)
        self.run_kind(session, StatementKind.WRITE)
        self.path.answer = DoneAnswer()
        self.run_kind(session, StatementKind.WRITE)
        self.assertEqual(len(self.limiter.acquired), 2)
        self.assertEqual(len(self.limiter.given_back), 1)

    def test_user_without_an_account_is_not_counted(self) -> None:
        self.run_kind(self.session("stranger"), StatementKind.READ)
        self.assertEqual(self.limiter.acquired, [])
