"""Tests of a proxy that is behind its control and does not notice."""

import time
import unittest
from collections.abc import Callable
from typing import Final

from dogwoodspool_api import ControlView, GroupMessage, WatchResponse
from dogwoodspool_common import (
    Address,
    GroupState,
    JsonRequest,
    JsonResponse,
    JsonServer,
    Phase,
    RequestSigner,
    Route,
    SystemClock,
)
from dogwoodspool_proxy.app import Proxy
from dogwoodspool_proxy.models import ProxySettings
from pydantic import SecretStr

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


if __name__ == "__main__":
    unittest.main()
