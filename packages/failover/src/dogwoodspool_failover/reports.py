"""What proxies report of backend servers that give them trouble."""

import threading
from collections.abc import Iterable
from dataclasses import dataclass

from dogwoodspool_api import ServerReport, ServerReports
from dogwoodspool_common import Clock
from dogwoodspool_common.const import MILLISECONDS

from .const import (
    REFUSING_SECONDS,
    REPORT_LIFETIME,
    SILENT_SECONDS,
    STALLED_SECONDS,
)


@dataclass(frozen=True, slots=True)
class Reporter:
    """One proxy's fresh report of one server."""

    proxy: str
    failure_domain: str
    report: ServerReport

    @property
    def calls_unreachable(self) -> bool:
        """Whether the proxy has had no answer for long enough."""
        refusing = self.report.refusing_ms / MILLISECONDS
        failing = self.report.failing_ms / MILLISECONDS
        return refusing >= REFUSING_SECONDS or failing >= SILENT_SECONDS

    @property
    def calls_stalled(self) -> bool:
        """Whether the proxy had no answer to writes for long enough."""
        return self.report.stalled_ms / MILLISECONDS >= STALLED_SECONDS


class ReportBook:
    """Hold each proxy's latest reports for a moment."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._latest: dict[str, tuple[float, ServerReports]] = {}

    def start_over(self) -> None:
        """Forget everything, as at the beginning of a leadership."""
        with self._lock:
            self._latest.clear()

    def take(self, reports: ServerReports) -> None:
        """Take in one proxy's reports; they replace its earlier ones."""
        with self._lock:
            self._latest[reports.proxy] = self._clock.now(), reports

    def reporters(self, server: str) -> list[Reporter]:
        """Return the proxies to which a server gives trouble at this time."""
        oldest = self._clock.now() - REPORT_LIFETIME
        with self._lock:
            self._latest = {
                proxy: held for proxy, held in self._latest.items() if held[0] >= oldest
            }
            fresh = [reports for _, reports in self._latest.values()]
        return list(_reporters_of(server, fresh))


def _reporters_of(server: str, fresh: Iterable[ServerReports]) -> Iterable[Reporter]:
    for reports in fresh:
        for report in reports.reports:
            if report.server == server:
                yield Reporter(reports.proxy, reports.failure_domain, report)
