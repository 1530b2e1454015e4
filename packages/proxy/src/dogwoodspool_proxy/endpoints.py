"""HTTP endpoints for backend servers, control, the load balancer and operators."""

from collections.abc import Callable

from dogwoodspool_api import Announcement, PositionMessage, ReleaseRequest
from dogwoodspool_api import ReleaseResponse as Released
from dogwoodspool_api.const import (
    PATH_ANNOUNCE,
    PATH_DRAIN,
    PATH_LIVE,
    PATH_METRICS,
    PATH_READY,
    PATH_RELEASE,
    PATH_STATUS,
)
from dogwoodspool_common import (
    JsonRequest,
    JsonResponse,
    Route,
    error_response,
    log_event,
)
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_common.counters import Counters
from dogwoodspool_routing import ServerTable

from .diagnostics import ProxyDiagnostics
from .grants import GrantTracker


class ProxyEndpoints:
    """Handle the proxy's HTTP requests."""

    def __init__(
        self,
        incarnation: str,
        failure_domain: str,
        grants: GrantTracker,
        table: ServerTable,
        counters: Counters,
        diagnostics: ProxyDiagnostics,
        renew_now: Callable[[], None],
        drain: Callable[[], None],
    ) -> None:
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._grants = grants
        self._table = table
        self._counters = counters
        self._diagnostics = diagnostics
        self._renew_now = renew_now
        self._drain = drain

    def routes(self) -> list[Route]:
        """Return the routes of all endpoints."""
        return [
            Route("POST", PATH_ANNOUNCE, self._announce),
            Route("POST", PATH_RELEASE, self._release),
            Route("POST", PATH_DRAIN, self._start_drain),
            Route("GET", PATH_READY, self._ready, is_open=True),
            Route("GET", PATH_LIVE, self._live, is_open=True),
            Route("GET", PATH_METRICS, self._metrics, is_open=True),
            Route("GET", PATH_STATUS, self._status),
        ]

    def _announce(self, request: JsonRequest) -> JsonResponse:
        announcement = Announcement.model_validate(request.body)
        if announcement.failure_domain != self._failure_domain:
            detail = f"this instance is in {self._failure_domain}"
            return error_response(421, "other_failure_domain", detail)
        known = self._table.get(announcement.server)
        self._table.record_announcement(announcement)
        if known is None or known.server != announcement.backend_server():
            self._renew_now()
        return JsonResponse()

    def _release(self, request: JsonRequest) -> JsonResponse:
        release = ReleaseRequest.model_validate(request.body)
        acked = self._grants.release(
            release.group, release.term, release.drain_ms / MILLISECONDS
        )
        log_event("grant_released", group=release.group, term=release.term)
        message = Released(
            incarnation=self._incarnation,
            acked=PositionMessage.of(acked) if acked else None,
        )
        return JsonResponse(message.model_dump(mode="json"))

    def _start_drain(self, _request: JsonRequest) -> JsonResponse:
        self._drain()
        return JsonResponse()

    def _ready(self, _request: JsonRequest) -> JsonResponse:
        reason = self._diagnostics.not_ready_reason()
        if reason is not None:
            return JsonResponse(text=f"not ready: {reason}\n", status=503)
        return JsonResponse(text="ready\n")

    def _live(self, _request: JsonRequest) -> JsonResponse:
        return JsonResponse(text="live\n")

    def _metrics(self, _request: JsonRequest) -> JsonResponse:
        return JsonResponse(text=self._counters.page() + self._diagnostics.gauges())

    def _status(self, _request: JsonRequest) -> JsonResponse:
        return JsonResponse(self._diagnostics.status())
