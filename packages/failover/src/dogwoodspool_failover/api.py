"""Endpoints for the proxies' reports and for this voter's status and metrics."""

from collections.abc import Callable

from dogwoodspool_api import MemberMessage, ServerReports
from dogwoodspool_api.const import (
    PATH_LIVE,
    PATH_METRICS,
    PATH_REPORTS,
    PATH_STATUS,
)
from dogwoodspool_common import JsonRequest, JsonResponse, Route
from dogwoodspool_consensus import ConsensusNode
from dogwoodspool_control.http.support import with_error_responses
from dogwoodspool_control.node import ControlNode

from .diagnostics import FailoverDiagnostics
from .reports import ReportTracker


class FailoverApi:
    """Accept server reports and serve status, metrics and liveness."""

    def __init__(
        self,
        node: ControlNode,
        reports: ReportTracker,
        diagnostics: FailoverDiagnostics,
        wake: Callable[[], None],
    ) -> None:
        self._node = node
        self._reports = reports
        self._diagnostics = diagnostics
        self._wake = wake

    def routes(self) -> list[Route]:
        """Return the endpoints."""
        return [
            Route("POST", PATH_REPORTS, with_error_responses(self._report)),
            Route("GET", PATH_STATUS, with_error_responses(self._status)),
            Route("GET", PATH_METRICS, self._metrics, is_open=True),
            Route("GET", PATH_LIVE, self._live, is_open=True),
        ]

    def _report(self, request: JsonRequest) -> JsonResponse:
        message = ServerReports.model_validate(request.body)
        self._node.require_leadership()
        self._reports.record(message)
        self._wake()
        return JsonResponse()

    def _status(self, _request: JsonRequest) -> JsonResponse:
        return JsonResponse(self._diagnostics.status())

    def _metrics(self, _request: JsonRequest) -> JsonResponse:
        return JsonResponse(text=self._diagnostics.metrics())

    def _live(self, _request: JsonRequest) -> JsonResponse:
        return JsonResponse({"status": "live"})


def members_of(consensus: ConsensusNode) -> list[MemberMessage]:
    """Return the members of the control group in the form sent to proxies.

    A process without contact to the leader returns none: those that it knows may have
    been replaced, and a proxy that adopted them would lose the present ones.
    """
    if not consensus.is_following:
        return []
    return [
        MemberMessage(
            address=one.address,
            failure_domain=one.failure_domain,
            is_voter=one.is_voter,
        )
        for one in consensus.diagnostics().members
    ]
