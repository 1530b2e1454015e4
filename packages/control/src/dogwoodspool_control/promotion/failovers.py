"""Durations of the phases of the latest failovers."""

import threading
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from dogwoodspool_common import Clock, log_event
from dogwoodspool_common.const import MILLISECONDS

from ..const import MAX_FAILOVERS_KEPT
from ..models import Promotion


class FailoverPhase(StrEnum):
    """Ends of the phases of a promotion, in order."""

    DETECTED = "detected"
    BEGUN = "begun"
    RELEASED = "released"
    CHOSEN = "chosen"
    PROMOTED = "promoted"
    ENDED = "ended"


@dataclass(slots=True)
class _Failover:
    group: str
    reason: str
    began_at: float
    phases_ms: dict[str, float] = field(default_factory=dict)


class FailoverTimeline:
    """Record and log when each phase of a promotion ended.

    Times are measured from the detection, or from when this voter took over the
    promotion from an earlier leader.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._running: dict[str, _Failover] = {}
        self._ended: deque[_Failover] = deque(maxlen=MAX_FAILOVERS_KEPT)

    def begin(self, group: str, reason: str) -> None:
        """Start measuring unless the group's promotion is being measured already."""
        with self._lock:
            if group in self._running:
                return
            self._running[group] = _Failover(group, reason, self._clock.now())
        self.mark(group, FailoverPhase.DETECTED)

    def mark(self, group: str, phase: FailoverPhase, **fields: Any) -> None:
        """Record the end of a phase; only the first one counts."""
        with self._lock:
            failover = self._running.get(group)
            if failover is None or phase in failover.phases_ms:
                return
            elapsed = (self._clock.now() - failover.began_at) * MILLISECONDS
            failover.phases_ms[phase] = round(elapsed, 1)
            if phase is FailoverPhase.ENDED:
                self._ended.append(self._running.pop(group))
        log_event(
            "failover_phase",
            group=group,
            reason=failover.reason,
            phase=phase,
            elapsed_ms=round(elapsed, 1),
            **fields,
        )

    def keep_only(self, groups: Collection[str]) -> None:
        """Discard promotions that did not begin or that another leader completes."""
        with self._lock:
            for group in [name for name in self._running if name not in groups]:
                del self._running[group]

    def describe(self) -> list[dict[str, Any]]:
        """Return the latest failovers with the time at which each phase ended."""
        with self._lock:
            return [
                {
                    "group": one.group,
                    "reason": one.reason,
                    "phases_ms": dict(one.phases_ms),
                }
                for one in [*self._ended, *self._running.values()]
            ]


def track_promotion(timeline: FailoverTimeline, promotion: Promotion) -> None:
    """Start measuring a promotion that is in progress."""
    timeline.begin(promotion.group, promotion.reason)
    timeline.mark(promotion.group, FailoverPhase.BEGUN, term=promotion.term)
