"""Proxies' reports of backend servers that fail for them."""

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
    def reports_unreachable(self) -> bool:
        """Whether the proxy got no answer for the failure detection time."""
        refusing = self.report.refusing_ms / MILLISECONDS
        failing = self.report.failing_ms / MILLISECONDS
        return refusing >= REFUSING_SECONDS or failing >= SILENT_SECONDS

    @property
    def reports_stalled(self) -> bool:
        """Whether the proxy's writes got no answer for ``STALLED_SECONDS``."""
        return self.report.stalled_ms / MILLISECONDS >= STALLED_SECONDS


class ReportTracker:
    """Keep each proxy's latest reports for ``REPORT_LIFETIME`` seconds."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._latest: dict[str, tuple[float, ServerReports]] = {}

    def reset(self) -> None:
        """Discard all reports at the start of a leadership."""
        with self._lock:
            self._latest.clear()

    def record(self, reports: ServerReports) -> None:
        """Record one proxy's reports, replacing its earlier ones."""
        with self._lock:
            self._latest[reports.proxy] = self._clock.now(), reports

    def reporters(self, server: str) -> list[Reporter]:
        """Return the proxies that currently report a server."""
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
