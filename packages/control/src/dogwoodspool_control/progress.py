"""Progress of promotions, as shown to operators."""

import threading
from dataclasses import dataclass

from dogwoodspool_common import Clock, log_event

from .const import WAITING_LOG_SECONDS


@dataclass(frozen=True, slots=True)
class ProgressReport:
    """The progress of one promotion.

    Attributes:
        step: the current step.
        waiting_for: proxies or servers that have not answered.
    """

    group: str
    step: str
    waiting_for: tuple[str, ...]


class PromotionProgress:
    """Hold the current step and log what it waits for once per second."""

    def __init__(self, group: str, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._report = ProgressReport(group, "begun", ())
        self._logged_at = clock.now()

    @property
    def report(self) -> ProgressReport:
        """The current step."""
        with self._lock:
            return self._report

    def record_step(
        self, step: str, waiting_for: tuple[str, ...] = (), reason: str = ""
    ) -> None:
        """Record the current step and what it waits for."""
        now = self._clock.now()
        with self._lock:
            if step != self._report.step:
                self._logged_at = now
            self._report = ProgressReport(self._report.group, step, waiting_for)
            if not waiting_for or now - self._logged_at < WAITING_LOG_SECONDS:
                return
            self._logged_at = now
        log_event(
            "promotion_waits",
            level="WARNING",
            group=self._report.group,
            step=step,
            waiting_for=",".join(waiting_for),
            reason=reason,
        )
