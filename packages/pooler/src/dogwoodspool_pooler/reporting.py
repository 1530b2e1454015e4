"""Report failing and stalled servers to control."""

from dogwoodspool_api import ServerReport, ServerReports
from dogwoodspool_api.const import PATH_REPORTS
from dogwoodspool_common import (
    Clock,
    HttpError,
    JsonClient,
    PeerRefusedError,
    log_rate_limited,
)
from dogwoodspool_common.const import MILLISECONDS, NEVER
from dogwoodspool_following import ControlPeers, Coordinator
from dogwoodspool_routing import ServerTable

from .const import (
    REPORT_ATTEMPTS,
    REPORT_CHECK_SECONDS,
    REPORT_RETRY_SECONDS,
    REPORT_SECONDS,
    REPORT_TIMEOUT,
)
from .stalls import StallTracker


class ReportCoordinator(Coordinator):
    """Report servers while they fail or stall, and once more when they recovered.

    Nothing is sent while all servers work: with thousands of proxies, periodic reports
    would be most of the leader's load.

    A server that is only suspected makes this process call the leader as well: if
    neither of them answers, this process itself may be cut off and must detect it.
    """

    def __init__(
        self,
        proxy: str,
        failure_domain: str,
        table: ServerTable,
        stalls: StallTracker,
        peers: ControlPeers,
        client: JsonClient,
        clock: Clock,
    ) -> None:
        super().__init__("control-report", clock)
        self._proxy = proxy
        self._failure_domain = failure_domain
        self._table = table
        self._stalls = stalls
        self._peers = peers
        self._client = client
        self._has_reported = False
        self._must_ask = False
        self._answered_at = NEVER
        self._asked_at = NEVER

    def ask_control(self, *, at_most_every: float = 0.0) -> None:
        """Call the control leader soon, even if there is nothing to report.

        There is one call at a time, and no more often than reports are sent: a server
        that is slow for all its callers becomes suspected with each of their requests.

        Args:
            at_most_every: least time in seconds from one call to the next.
        """
        now = self._clock.now()
        if self._must_ask or now - self._asked_at < at_most_every:
            return
        self._asked_at = now
        self._must_ask = True
        if now - self._answered_at >= REPORT_SECONDS:
            self.wake()

    def step(self) -> float:
        """Send one report if there is something to report or a call was requested."""
        reports = self._reports()
        if not reports and not self._has_reported and not self._must_ask:
            return REPORT_CHECK_SECONDS
        self._has_reported = bool(reports)
        message = ServerReports(
            proxy=self._proxy, failure_domain=self._failure_domain, reports=reports
        )
        if not self._send(message):
            return REPORT_RETRY_SECONDS
        self._must_ask = False
        self._answered_at = self._clock.now()
        return REPORT_SECONDS

    def _reports(self) -> list[ServerReport]:
        stalled = self._stalls.stalled_seconds()
        failing = {
            seen.server: seen
            for seen in self._table.observations()
            if seen.unreachable_ms > 0
        }
        reports = []
        for name in sorted({*stalled, *failing}):
            seen = failing.get(name)
            reports.append(
                ServerReport(
                    server=name,
                    failing_ms=seen.unreachable_ms if seen else 0.0,
                    refusing_ms=seen.down_ms if seen else 0.0,
                    stalled_ms=stalled.get(name, 0.0) * MILLISECONDS,
                )
            )
        return reports

    def _send(self, message: ServerReports) -> bool:
        """Send a report to the leader, and on a refusal to one more process.

        Returns:
            False if a process did not answer within the timeout, so that the next one
            is to be tried without a full pause.
        """
        for _attempt in range(REPORT_ATTEMPTS):
            address = self._peers.leader_or_next()
            try:
                self._client.post(
                    address,
                    PATH_REPORTS,
                    message.model_dump(mode="json"),
                    REPORT_TIMEOUT,
                )
            except PeerRefusedError as error:
                self._peers.record_refusal(address, error)
            except HttpError as error:
                log_rate_limited("report_failed", address=address, reason=error)
                self._peers.record_failure(address)
                return False
            else:
                self._peers.record_leader_answer(address)
                return True
        return True
