"""Counters and latency histograms of a proxy, for its metrics page."""

import threading
from collections import Counter
from collections.abc import Mapping

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 99.0, 99.9)
MICROSECONDS = 1_000_000


class Counters:
    """Event counters and latency histograms."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._latencies: dict[str, HdrHistogram] = {}

    def read_served(self, group: str, by_primary: bool) -> None:
        """Count a read by the role of the server that served it."""
        served_by = "primary" if by_primary else "replica"
        self.add(f'reads_total{{group="{group}",served_by="{served_by}"}}')

    def rate_limited(self, account: str) -> None:
        """Count an operation that exceeded the rate limit of its account."""
        self.add(f'rate_limited_total{{account="{account}"}}')

    def add(self, name: str) -> None:
        """Count one event."""
        with self._lock:
            self._counts[name] += 1

    def answered(self, kind: str, outcome: str, seconds: float) -> None:
        """Count one answered statement and record its latency in seconds."""
        microseconds = min(HIGHEST_US, max(LOWEST_US, int(seconds * MICROSECONDS)))
        with self._lock:
            self._counts[f'statements_total{{kind="{kind}",outcome="{outcome}"}}'] += 1
            histogram = self._latencies.get(kind)
            if histogram is None:
                histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
                self._latencies[kind] = histogram
            histogram.record_value(microseconds)

    def counts(self) -> Mapping[str, int]:
        """Return all counts."""
        with self._lock:
            return dict(self._counts)

    def page(self) -> str:
        """Return the metrics page, one ``name value`` a line."""
        with self._lock:
            lines = [f"dogwoodspool_{name} {n}" for name, n in self._counts.items()]
            for kind, histogram in self._latencies.items():
                for percentile in PERCENTILES:
                    value = histogram.get_value_at_percentile(percentile) / MICROSECONDS
                    lines.append(
                        f'dogwoodspool_statement_seconds{{kind="{kind}",'
                        f'quantile="{percentile / 100}"}} {value}'
                    )
        return "\n".join(sorted(lines)) + "\n"
