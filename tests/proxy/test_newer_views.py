"""Tests of a proxy that is behind its control and does not notice."""

import time
import unittest
from collections.abc import Callable
from typing import Any, Final, cast

from dogwoodspool_accounts import NoLimits
from dogwoodspool_api import ControlView, GroupMessage, WatchResponse
from dogwoodspool_common import (
    Address,
    GroupState,
    JsonRequest,
    JsonResponse,
    JsonServer,
    ManualClock,
    Phase,
    RequestSigner,
    Route,
    SystemClock,
)
from dogwoodspool_common.counters import Counters
from dogwoodspool_following import ViewStore
from dogwoodspool_gateway import (
    Answer,
    Classification,
    DoneAnswer,
    StatementKind,
    StatementRequest,
)
from dogwoodspool_gateway.models import RequestProperties
from dogwoodspool_proxy.accounts import CallerAccounts
from dogwoodspool_proxy.app import Proxy
from dogwoodspool_proxy.caller_session import ProxySession
from dogwoodspool_proxy.callers import CallerState, Transaction
from dogwoodspool_proxy.models import ProxySettings
from pydantic import SecretStr

from tests.common.captured_logs import captured_logs

LOOPBACK: Final = "127.0.0.1:0"
KEY: Final = "key"
WAIT_SECONDS: Final = 10.0
POLL_SECONDS: Final = 0.01


def view_of(version: int) -> ControlView:
    """Return a view with one group."""
    group = GroupState("orders", version, None, Phase.STEADY, ())
    return ControlView(
        version=version,
        groups=[GroupMessage.of(group)],
        servers=[],
        proxies=[],
        settings=[],
    )


class BehindControl:
    """A control process whose polls bring nothing after the first view.

    A read that a quorum confirms returns the newest view.
    """

    def __init__(self) -> None:
        self.newest = view_of(1)
        self.polls = 0

    def watch(self, request: JsonRequest) -> JsonResponse:
        """Answer a poll."""
        after = int(request.query["after"])
        known = view_of(1)
        if request.query.get("confirmed") == "1":
            known = self.newest
        else:
            self.polls += 1
            time.sleep(POLL_SECONDS)
        view = known if after < known.version else None
        return JsonResponse(
            WatchResponse(view=view, leader=None).model_dump(mode="json")
        )


class ViewCheckTests(unittest.TestCase):
    """A second way to newer views beside the watch."""

    def test_newer_view_arrives_though_polls_do_not_bring_it(self) -> None:
        """Guard against a proxy that stays behind with a watch that stands still."""
        control = BehindControl()
        server = JsonServer(
            Address.parse(LOOPBACK),
            RequestSigner(KEY.encode()),
            [Route("GET", "/v1/watch", control.watch)],
        )
        server.set_up()
        self.addCleanup(server.unload)
        settings = ProxySettings(
            name="p1",
            failure_domain="fd1",
            listen=LOOPBACK,
            http_listen=LOOPBACK,
            control=[str(server.address)],
            shared_key=SecretStr(KEY),
        )
        proxy = Proxy(settings, SystemClock())
        proxy.set_up()
        self.addCleanup(proxy.unload)
        self.wait_until(lambda: control.polls > 1)
        control.newest = view_of(2)
        self.wait_until(lambda: proxy.view_version == 2)

    def wait_until(self, is_met: Callable[[], bool]) -> None:
        """Wait until a condition is met."""
        deadline = time.monotonic() + WAIT_SECONDS
        while not is_met():
            self.assertLess(time.monotonic(), deadline, "timed out")
            time.sleep(POLL_SECONDS)


class ViewPath:
    """Runs every statement, and records the view in force."""

    def __init__(self, views: ViewStore) -> None:
        self.views = views
        self.ran_in: list[int] = []

    def run(self, caller: CallerState, _request: Any, _deadline: float) -> Answer:
        """Run a statement in the view in force."""
        self.ran_in.append(self.views.view.version)
        if caller.transaction is not None:
            caller.transaction.held = cast(Any, object())
        return DoneAnswer()

    def begin(self, caller: CallerState, is_read_only: bool, _at: float) -> Answer:
        """Begin a transaction."""
        caller.transaction = Transaction(is_read_only, 0.0)
        return DoneAnswer()


class StatementViewTests(unittest.TestCase):
    """The view is confirmed lately before a statement uses it."""

    def setUp(self) -> None:
        clock = ManualClock()
        self.views = ViewStore("fd1", clock)
        self.views.adopt(view_of(1))
        self.path = ViewPath(self.views)
        self.is_reachable = True
        path = cast(Any, self.path)
        self.session = ProxySession(
            CallerState("app", group="orders"),
            self.views,
            self.refresh,
            path,
            path,
            path,
            CallerAccounts(self.views),
            NoLimits(),
            Counters(),
            clock,
            lambda _session: None,
        )

    def refresh(self) -> bool:
        """Put control's newest view in force."""
        if self.is_reachable:
            self.views.adopt(view_of(self.views.view.version + 1))
        return self.is_reachable

    def execute(self, *kinds: StatementKind) -> None:
        """Run statements."""
        for kind in kinds:
            self.session.run(
                StatementRequest("", Classification(kind), RequestProperties(), 0.0)
            )

    def test_statement_uses_the_newest_view(self) -> None:
        """Guard against an old view that is used at any age."""
        self.execute(StatementKind.READ, StatementKind.WRITE)
        self.assertEqual([2, 3], self.path.ran_in)

    def test_first_statement_of_a_transaction_uses_the_newest_view(self) -> None:
        """Guard against a transaction that begins by the view of its begin."""
        self.execute(StatementKind.BEGIN, StatementKind.READ, StatementKind.WRITE)
        self.assertEqual([2, 2], self.path.ran_in)

    def test_view_is_used_without_control(self) -> None:
        """Guard against a proxy that serves nothing while it is cut off."""
        self.is_reachable = False
        with captured_logs() as lines:
            self.execute(StatementKind.READ)
        self.assertEqual([1], self.path.ran_in)
        self.assertIn("event=served_unconfirmed", "".join(lines))


if __name__ == "__main__":
    unittest.main()
