"""Latencies and outcomes of a run, per kind of request."""

import threading
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from dogwoodspool_common.const import MILLISECONDS
from hdrh.histogram import HdrHistogram
from hdrh.log import HistogramLogWriter

from .const import (
    FILE_HDR,
    MAX_LATENCY_US,
    MICROSECONDS,
    MIN_LATENCY_US,
    PERCENTILE_EXTREME_TAIL,
    PERCENTILE_MEDIAN,
    PERCENTILE_TAIL,
    SIGNIFICANT_DIGITS,
)
from .models import Outcome, RequestKind


@dataclass(frozen=True, slots=True)
class Sample:
    """One finished request, for the plot and for goodput.

    Attributes:
        at: monotonic seconds at its end.
        seconds: latency from the time at which the request was due, even if its
            caller sent it later, so that a stall counts for each request that it
            delayed (avoids coordinated omission).
    """

    at: float
    seconds: float
    kind: RequestKind
    group: str
    outcome: Outcome


class RunStatistics:
    """Collect the samples of all callers."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._samples: list[Sample] = []
        self._histograms: dict[RequestKind, HdrHistogram] = defaultdict(new_histogram)

    @property
    def samples(self) -> Sequence[Sample]:
        """All samples so far."""
        with self._lock:
            return list(self._samples)

    def record(self, sample: Sample) -> None:
        """Add one finished request."""
        with self._lock:
            self._samples.append(sample)
            if sample.outcome is Outcome.OK:
                histogram = self._histograms[sample.kind]
                histogram.record_value(_microseconds(sample.seconds))

    def summary(self) -> dict[str, Any]:
        """Return outcome counts and latency percentiles in milliseconds per kind."""
        with self._lock:
            samples = list(self._samples)
            histograms = dict(self._histograms)
        outcomes: dict[RequestKind, Counter[str]] = defaultdict(Counter)
        for sample in samples:
            outcomes[sample.kind][str(sample.outcome)] += 1
        return {
            str(kind): {
                "outcomes": dict(counts),
                **percentiles_ms(histograms.get(kind)),
            }
            for kind, counts in sorted(outcomes.items())
        }

    def write_logs(self, folder: Path, seconds: float) -> None:
        """Write a log in HdrHistogram's format for each kind of request."""
        with self._lock:
            histograms = dict(self._histograms)
        for kind, histogram in histograms.items():
            histogram.set_start_time_stamp(0)
            histogram.set_end_time_stamp(seconds * MILLISECONDS)
            path = folder / FILE_HDR.format(kind=kind)
            with path.open("w", encoding="utf-8") as log:
                writer = HistogramLogWriter(log)
                writer.output_log_format_version()
                writer.output_legend()
                writer.output_interval_histogram(
                    histogram, max_value_unit_ratio=MILLISECONDS
                )


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def percentiles_ms(histogram: HdrHistogram | None) -> dict[str, float]:
    """Return a histogram's percentiles in milliseconds."""
    if histogram is None:
        return {}
    wanted = {
        "p50_ms": PERCENTILE_MEDIAN,
        "p99_ms": PERCENTILE_TAIL,
        "p999_ms": PERCENTILE_EXTREME_TAIL,
    }
    return {
        name: round(histogram.get_value_at_percentile(percentile) / MILLISECONDS, 2)
        for name, percentile in wanted.items()
    }


def _microseconds(seconds: float) -> int:
    return min(MAX_LATENCY_US, max(MIN_LATENCY_US, int(seconds * MICROSECONDS)))
