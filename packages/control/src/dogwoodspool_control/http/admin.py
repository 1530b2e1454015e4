"""Endpoints for operators and load balancers."""

from collections.abc import Mapping
from dataclasses import asdict
from typing import Any

from dogwoodspool_api import Name
from dogwoodspool_api.const import (
    PATH_FORGET_PROXY,
    PATH_LIVE,
    PATH_METRICS,
    PATH_READY,
    PATH_SETTINGS_EFFECTIVE,
    PATH_SETTINGS_HISTORY,
    PATH_SETTINGS_TREE,
    PATH_STATUS,
    PATH_VOTERS,
    QUERY_PATH,
)
from dogwoodspool_common import (
    Address,
    JsonRequest,
    JsonResponse,
    Route,
    error_response,
)
from dogwoodspool_consensus import (
    ConsensusNode,
    MembershipChangeError,
    NotLeaderError,
)
from dogwoodspool_settings import SettingsTreeError, redact
from pydantic import BaseModel, ConfigDict

from ..commands import ForgetProxy
from ..const import (
    CODE_CONFLICT,
    CODE_INVALID,
    DEFAULT_HISTORY,
    MAX_HISTORY,
    QUERY_LIMIT,
    VOTER_CHANGE_TIMEOUT,
)
from ..errors import CommandRejectedError, LeadershipLostError
from ..node import ControlNode
from ..readiness import Readiness
from ..state import ControlState
from ..status import StatusReport
from .support import with_error_responses


class VoterChange(BaseModel):
    """Request to add a voter at an address, or to remove it when none is given."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    voter: Name
    address: str | None = None


class ProxyRemoval(BaseModel):
    """Request to remove a proxy whose instance will not return."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    proxy: Name


class AdminApi:
    """Serve settings, status and membership changes of the control group.

    Args:
        secret_key: key of the fingerprints that are shown in place of secrets.
    """

    def __init__(
        self,
        consensus: ConsensusNode,
        node: ControlNode,
        state: ControlState,
        status: StatusReport,
        *,
        readiness: Readiness,
        secret_key: bytes,
    ) -> None:
        self._consensus = consensus
        self._node = node
        self._state = state
        self._status = status
        self._secret_key = secret_key
        self._readiness = readiness

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [
            Route("GET", PATH_SETTINGS_TREE, with_error_responses(self._tree)),
            Route(
                "GET", PATH_SETTINGS_EFFECTIVE, with_error_responses(self._effective)
            ),
            Route("GET", PATH_SETTINGS_HISTORY, with_error_responses(self._history)),
            Route("GET", PATH_STATUS, with_error_responses(self._show_status)),
            Route("GET", PATH_VOTERS, with_error_responses(self._voters)),
            Route("POST", PATH_VOTERS, with_error_responses(self._change_voters)),
            Route("POST", PATH_FORGET_PROXY, with_error_responses(self._forget_proxy)),
            Route("GET", PATH_LIVE, self._live, is_open=True),
            Route("GET", PATH_READY, self._ready, is_open=True),
            Route("GET", PATH_METRICS, self._metrics, is_open=True),
        ]

    def _tree(self, _request: JsonRequest) -> JsonResponse:
        self._node.confirm_read()
        nodes = [
            {
                "path": node.path,
                "version": node.version,
                "overrides": self._redacted(node.overrides),
            }
            for node in self._state.settings_nodes()
        ]
        return JsonResponse({"nodes": nodes, "view_version": self._state.version})

    def _effective(self, request: JsonRequest) -> JsonResponse:
        self._node.confirm_read()
        path = request.query.get(QUERY_PATH, "/")
        try:
            values = self._state.explain_settings(path)
        except SettingsTreeError as error:
            raise CommandRejectedError(CODE_INVALID, str(error)) from error
        return JsonResponse({"path": path, "values": [asdict(one) for one in values]})

    def _history(self, request: JsonRequest) -> JsonResponse:
        self._node.confirm_read()
        text = request.query.get(QUERY_LIMIT, str(DEFAULT_HISTORY))
        if not text.isdecimal():
            raise CommandRejectedError(
                CODE_INVALID, f"{QUERY_LIMIT}={text!r} is not a number"
            )
        limit = min(int(text), MAX_HISTORY)
        path = request.query.get(QUERY_PATH)
        entries = self._state.settings_history(limit, path)
        return JsonResponse({"entries": [asdict(entry) for entry in entries]})

    def _show_status(self, _request: JsonRequest) -> JsonResponse:
        return JsonResponse(self._status.build())

    def _voters(self, _request: JsonRequest) -> JsonResponse:
        return JsonResponse({"voters": self._status.voters()})

    def _change_voters(self, request: JsonRequest) -> JsonResponse:
        change = VoterChange.model_validate(request.body)
        try:
            if change.address is None:
                self._consensus.remove_voter(change.voter, VOTER_CHANGE_TIMEOUT)
            else:
                address = _parse_address(change.address)
                self._consensus.add_voter(change.voter, address, VOTER_CHANGE_TIMEOUT)
        except NotLeaderError as error:
            raise LeadershipLostError(self._node.leader) from error
        except MembershipChangeError as error:
            raise CommandRejectedError(CODE_CONFLICT, str(error)) from error
        return JsonResponse({"voters": self._status.voters()})

    def _forget_proxy(self, request: JsonRequest) -> JsonResponse:
        removal = ProxyRemoval.model_validate(request.body)
        self._node.commit(ForgetProxy(removal.proxy))
        return JsonResponse({"proxy": removal.proxy})

    def _live(self, _request: JsonRequest) -> JsonResponse:
        return JsonResponse({"status": "live"})

    def _ready(self, _request: JsonRequest) -> JsonResponse:
        """Return 200 when a quorum confirms reads, else 503."""
        if not self._readiness.is_ready():
            return error_response(503, "not_ready", "no quorum confirmed a read")
        return JsonResponse({"status": "ready"})

    def _metrics(self, _request: JsonRequest) -> JsonResponse:
        return JsonResponse(text=self._status.metrics())

    def _redacted(self, overrides: Mapping[str, Any]) -> dict[str, Any]:
        return redact(overrides, self._secret_key)


def _parse_address(text: str) -> Address:
    try:
        return Address.parse(text)
    except ValueError as error:
        raise CommandRejectedError(CODE_INVALID, str(error)) from error
