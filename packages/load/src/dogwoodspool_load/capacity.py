"""Cost of each role, derived from the slopes of ``script/measure-slopes``."""

from collections.abc import Mapping
from typing import Any, Final

from .slopes import Line, fit_line

# Scale and budgets that the users' requirements state.
DAEMONS: Final = 4_100
DATABASES: Final = 5_100
CONNECTIONS: Final = 33_000_000
STATEMENTS_PER_SECOND: Final = 12_000_000
CHANGES_PER_DAY: Final = 3_800
FAILOVERS_PER_DAY: Final = 7
FAILURE_DOMAINS: Final = 6
INSTANCES: Final = 7
BUDGET_CPU_PERCENT: Final = 1.2
BUDGET_BYTES: Final = 256_000_000
BUDGET_TRAFFIC: Final = 17_000.0
BUDGET_FAILOVER_MS: Final = 9_000.0
SECONDS_PER_DAY: Final = 86_400
SERVERS_PER_GROUP: Final = 3
RENEWALS_PER_SECOND: Final = 1 / 0.3

# Upper bound of the setting ``max_proxies``.
MAX_PROXIES: Final = 1_000
RESTARTS_PER_DAY: Final = 1_600

MEGABYTE: Final = 1e6
KILOBYTE: Final = 1e3
PERCENT: Final = 100.0
MILLISECONDS: Final = 1_000.0


class Capacity:
    """Cost figures as functions of the size of a deployment.

    Args:
        slopes: content of ``measurements/slopes.json``.
    """

    def __init__(self, slopes: Mapping[str, Any]) -> None:
        self.slopes = slopes
        proxy = slopes["proxy"]
        self.idle_cpu = fit_line(proxy, "servers", "cpu_percent")
        self.idle_rss = fit_line(proxy, "servers", "rss_bytes")
        self.renew_traffic = fit_line(proxy, "servers", "bytes_per_second")
        self.probe_traffic = fit_line(proxy, "servers", "probe_bytes_per_second")
        self.announcement_traffic = fit_line(
            proxy, "servers", "announcement_bytes_per_second"
        )
        points = slopes["control"]["points"]
        fewest = min(point["groups"] for point in points)
        self.points_by_proxies = [one for one in points if one["groups"] == fewest]
        shared = self._proxies_of_group_points(points, fewest)
        self.points_by_groups = [one for one in points if one["proxies"] == shared]
        self.leader_cpu = fit_line(self.points_by_proxies, "proxies", "cpu_percent")
        self.leader_rss = fit_line(self.points_by_proxies, "proxies", "rss_bytes")
        self.leader_traffic = fit_line(
            self.points_by_proxies, "proxies", "bytes_per_second"
        )
        self.in_force_delay = fit_line(
            self.points_by_proxies, "proxies", "in_force_ms_worst"
        )
        self.change_cpu = fit_line(
            self.points_by_proxies, "proxies", "leader_cpu_ms_per_change"
        )
        self.leader_cpu_by_servers = fit_line(
            self.points_by_groups, "servers", "cpu_percent"
        )
        self.leader_rss_by_servers = fit_line(
            self.points_by_groups, "servers", "rss_bytes"
        )
        self.view_bytes = fit_line(self.points_by_groups, "servers", "view_bytes")
        self.log_bytes = max(point["log_bytes_per_change"] for point in points)
        saturation = slopes["saturation"]
        self.peak_throughput = max(
            saturation["points"], key=lambda one: float(one["statements_per_second"])
        )
        self.caller_rss = fit_line(saturation["connections"], "callers", "rss_bytes")

    def _proxies_of_group_points(
        self, points: list[dict[str, Any]], fewest: int
    ) -> int:
        return next(int(one["proxies"]) for one in points if one["groups"] != fewest)

    @property
    def traffic(self) -> Line:
        """A proxy's renewals, watch, probes and announcements in bytes per second."""
        lines = (self.renew_traffic, self.probe_traffic, self.announcement_traffic)
        return Line(
            sum(line.base for line in lines),
            sum(line.slope for line in lines),
            self.renew_traffic.largest,
        )
