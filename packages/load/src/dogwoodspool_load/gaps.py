"""Work out failover gaps from acknowledgements of writes."""

import statistics
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any, Final

from dogwoodspool_common.const import MILLISECONDS

ANY_PROXY: Final = "any"


@dataclass(frozen=True, slots=True)
class FailoverGap:
    """One change of primary.

    A killed primary acknowledges nothing more, so its gap runs from its end to
    the first acknowledgement of a write sent after that. A planned change lets the
    old primary go on until it is released, so its gap is the longest pause between
    two acknowledgements.

    Attributes:
        gap_ms: at whichever proxy acknowledged first.
        slowest_proxy_ms: at the proxy whose own gap was longest.
        phases_ms: ends of control's phases, from its detection on; a phase that
            control did not log is missing.
        primary: the new primary.
    """

    action: str
    gap_ms: float
    slowest_proxy_ms: float
    phases_ms: dict[str, float]
    primary: str


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """One acknowledged write, in monotonic seconds."""

    proxy: str
    sent_at: float
    answered_at: float


def summary_of(gaps: Sequence[FailoverGap]) -> dict[str, Any]:
    """Return median and worst of repeated changes of primary, with each one."""
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


def first_after(
    acknowledged: Sequence[Acknowledged], struck_at: float
) -> dict[str, float]:
    """Return seconds to the first acknowledgement, per proxy and at any."""
    first: dict[str, float] = {}
    for one in acknowledged:
        if one.sent_at <= struck_at:
            continue
        for name in (one.proxy, ANY_PROXY):
            gap = one.answered_at - struck_at
            first[name] = min(first.get(name, gap), gap)
    return first


def longest_pauses(
    acknowledged: Sequence[Acknowledged], struck_at: float
) -> dict[str, float]:
    """Return the longest pause since the strike in seconds, per proxy and at any."""
    times = defaultdict(list)
    for one in acknowledged:
        for name in (one.proxy, ANY_PROXY):
            times[name].append(one.answered_at)
    pauses = {}
    for name, each in times.items():
        each.sort()
        pairs = zip(each, each[1:], strict=False)
        pauses[name] = max(
            (later - earlier for earlier, later in pairs if later > struck_at),
            default=0.0,
        )
    return pauses


def milliseconds(seconds: float) -> float:
    """Return seconds as milliseconds, to a tenth."""
    return round(seconds * MILLISECONDS, 1)
