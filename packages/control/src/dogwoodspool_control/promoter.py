"""Carry promotions in progress to their end, one thread for each group."""

import threading

from dogwoodspool_common import log_event

from .choose_step import ChooseStep
from .const import OUTCOME_RETRY_SECONDS
from .errors import CommandRejectedError, LeadershipLostError, OutcomeUnknownError
from .failovers import take_over
from .progress import ProgressReport, PromotionProgress
from .promote_step import PromoteStep
from .promotion_parts import PromotionParts


class Promoter:
    """Work on one group's promotion until it has ended or leadership is lost."""

    def __init__(self, group: str, parts: PromotionParts) -> None:
        self._group = group
        self._parts = parts
        self._progress = PromotionProgress(group, parts.clock)

    @property
    def report(self) -> ProgressReport:
        """The present step."""
        return self._progress.report

    def run(self) -> None:
        """Read the committed step and do what follows it, again and again."""
        try:
            term = self._parts.node.require_leadership().term
            while self._step():
                if self._parts.node.require_leadership().term != term:
                    return
        except LeadershipLostError:
            log_event("promotion_left", group=self._group)

    def _step(self) -> bool:
        promotion = self._parts.state.promotion(self._group)
        if promotion is None:
            return False
        take_over(self._parts.timeline, promotion)
        try:
            if promotion.chosen is None:
                ChooseStep(promotion, self._parts, self._progress).run()
            else:
                PromoteStep(promotion, self._parts, self._progress).run()
        except OutcomeUnknownError:
            self._parts.clock.sleep(OUTCOME_RETRY_SECONDS)
        except CommandRejectedError as error:
            log_event("promotion_changed", group=self._group, reason=error)
        return True


class Promotions:
    """Run a promoter for each promotion in progress."""

    def __init__(self, parts: PromotionParts) -> None:
        self._parts = parts
        self._lock = threading.Lock()
        self._running: dict[str, tuple[Promoter, threading.Thread]] = {}

    @property
    def reports(self) -> list[ProgressReport]:
        """The present steps of the promoters that run here."""
        with self._lock:
            return [promoter.report for promoter, _ in self._running.values()]

    @property
    def groups(self) -> list[str]:
        """Groups whose promoter has not returned."""
        with self._lock:
            return [
                group
                for group, (_, thread) in self._running.items()
                if thread.is_alive()
            ]

    def run_missing(self) -> None:
        """Start a promoter for each promotion that has none here."""
        in_progress = self._parts.state.promotions
        with self._lock:
            for group, (_, thread) in list(self._running.items()):
                if not thread.is_alive():
                    del self._running[group]
            for group in in_progress:
                if group not in self._running:
                    self._start(group)

    def join(self, timeout: float) -> None:
        """Wait for promoters to notice that they no longer lead."""
        with self._lock:
            threads = [thread for _, thread in self._running.values()]
        for thread in threads:
            thread.join(timeout)

    def _start(self, group: str) -> None:
        promoter = Promoter(group, self._parts)
        thread = threading.Thread(
            target=promoter.run, name=f"promote-{group}", daemon=True
        )
        self._running[group] = (promoter, thread)
        thread.start()
