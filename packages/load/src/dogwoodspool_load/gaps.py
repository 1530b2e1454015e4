"""Compute failover gaps from acknowledgements of writes."""

import statistics
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any, Final

from dogwoodspool_common.const import MILLISECONDS

ANY_PROXY: Final = "any"


@dataclass(frozen=True, slots=True)
class FailoverGap:
    """Gap in write availability of one change of primary.

    A killed primary acknowledges no further writes, so that the gap of a failover
    runs from the kill to the first acknowledgement of a write sent after it. In a
    switchover the old primary accepts writes until it is released, so that the gap
    is the longest pause between two acknowledgements.

    Attributes:
        gap_ms: gap over the acknowledgements of all proxies.
        slowest_proxy_ms: gap at the proxy with the longest gap.
        phases_ms: milliseconds from control's detection to the end of each phase;
            a phase that control did not log is missing.
        primary: the new primary.
    """

    action: str
    gap_ms: float
    slowest_proxy_ms: float
    phases_ms: dict[str, float]
    primary: str


@dataclass(frozen=True, slots=True)
class AcknowledgedWrite:
    """One acknowledged write; times are monotonic seconds."""

    proxy: str
    sent_at: float
    answered_at: float


def summarize_gaps(gaps: Sequence[FailoverGap]) -> dict[str, Any]:
    """Return median and worst gap of repeated changes of primary, and every gap."""
    gap = [one.gap_ms for one in gaps]
    slowest = [one.slowest_proxy_ms for one in gaps]
    return {
        "count": len(gaps),
        "gap_ms": {"median": statistics.median(gap), "worst": max(gap)},
        "slowest_proxy_ms": {
            "median": statistics.median(slowest),
            "worst": max(slowest),
        },
        "phases_ms_median": _median_phases(gaps),
        "each": [asdict(one) for one in gaps],
    }


def _median_phases(gaps: Sequence[FailoverGap]) -> dict[str, float]:
    names = list(dict.fromkeys(name for gap in gaps for name in gap.phases_ms))
    return {
        name: statistics.median(
            gap.phases_ms[name] for gap in gaps if name in gap.phases_ms
        )
        for name in names
    }


def first_acknowledgements(
    acknowledged: Sequence[AcknowledgedWrite], fault_at: float
) -> dict[str, float]:
    """Return seconds to the first acknowledgement, per proxy and over all proxies."""
    first: dict[str, float] = {}
    for one in acknowledged:
        if one.sent_at <= fault_at:
            continue
        for name in (one.proxy, ANY_PROXY):
            gap = one.answered_at - fault_at
            first[name] = min(first.get(name, gap), gap)
    return first


def longest_pauses(
    acknowledged: Sequence[AcknowledgedWrite], fault_at: float
) -> dict[str, float]:
    """Return the longest pause that ended after the fault, per proxy and over all.

    Pauses are in seconds.
    """
    times = defaultdict(list)
    for one in acknowledged:
        for name in (one.proxy, ANY_PROXY):
            times[name].append(one.answered_at)
    pauses = {}
    for name, each in times.items():
        each.sort()
        pairs = zip(each, each[1:], strict=False)
        pauses[name] = max(
            (later - earlier for earlier, later in pairs if later > fault_at),
            default=0.0,
        )
    return pauses


def milliseconds(seconds: float) -> float:
    """Convert seconds to milliseconds, rounded to a tenth."""
    return round(seconds * MILLISECONDS, 1)
