"""Simulated control leader that issues every grant, to measure a proxy in isolation."""

import threading
from collections.abc import Sequence
from typing import Any, Final

from dogwoodspool_api import (
    ControlView,
    GroupMessage,
    PositionMessage,
    ProxyMessage,
    RenewRequest,
    ServerMessage,
    SettingsNode,
    WatchResponse,
)
from dogwoodspool_api.const import PATH_RENEW, PATH_WATCH, QUERY_AFTER, QUERY_WAIT_MS
from dogwoodspool_common import (
    Address,
    JsonRequest,
    JsonResponse,
    JsonServer,
    Phase,
    RequestSigner,
    Route,
)
from dogwoodspool_common.const import MILLISECONDS

VERSION: Final = 1
LEASE_MS: Final = 1_500
SHARE: Final = 2


class FakeControl:
    """Serve a fixed view and answer renewals with a grant for each group.

    Args:
        key: key that requests are signed with.
        servers: servers of the view.
        root: settings of the root of the settings tree.
    """

    def __init__(
        self,
        key: str,
        servers: Sequence[ServerMessage],
        root: dict[str, Any],
    ) -> None:
        self._servers = servers
        self._root = root
        self._leader = ""
        self._stop = threading.Event()
        self._server = JsonServer(
            Address("127.0.0.1", 0),
            RequestSigner(key.encode()),
            [
                Route("POST", PATH_RENEW, self._renew),
                Route("GET", PATH_WATCH, self._watch),
            ],
        )

    @property
    def address(self) -> Address:
        """Address that the server listens on."""
        return self._server.address

    def set_up(self, leader: Address) -> None:
        """Start answering requests.

        Args:
            leader: address of the leader as told to proxies, such as a relay's.
        """
        self._leader = str(leader)
        self._server.set_up()

    def unload(self) -> None:
        """Stop answering requests."""
        self._stop.set()
        self._server.unload()

    def _groups(self) -> list[str]:
        return sorted({server.group for server in self._servers})

    def _renew(self, request: JsonRequest) -> JsonResponse:
        RenewRequest.model_validate(request.body)
        grants = [
            {"group": group, "term": 1, "primary": f"{group}-1"}
            for group in self._groups()
        ]
        return JsonResponse(
            {
                "lease_ms": LEASE_MS,
                "grants": grants,
                "withdrawn": [],
                "connection_shares": {one.server: SHARE for one in self._servers},
                "view_version": VERSION,
            }
        )

    def _watch(self, request: JsonRequest) -> JsonResponse:
        view = None
        if int(request.query.get(QUERY_AFTER, "0")) < VERSION:
            view = self._view()
        else:
            wait_ms = float(request.query.get(QUERY_WAIT_MS, "0"))
            self._stop.wait(wait_ms / MILLISECONDS)
        response = WatchResponse(view=view, leader=self._leader)
        return JsonResponse(response.model_dump(mode="json"))

    def _view(self) -> ControlView:
        return ControlView(
            version=VERSION,
            groups=[
                GroupMessage(
                    name=group,
                    term=1,
                    primary=f"{group}-1",
                    phase=Phase.STEADY,
                    term_starts=[PositionMessage(term=1, offset=0)],
                )
                for group in self._groups()
            ],
            servers=list(self._servers),
            proxies=[
                ProxyMessage(
                    proxy="proxy-1", failure_domain="fd-a", address="127.0.0.1:9"
                )
            ],
            settings=[SettingsNode(path="/", version=1, overrides=self._root)],
        )
