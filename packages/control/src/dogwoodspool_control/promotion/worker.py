"""Carry promotions in progress to their end, one thread for each group."""

import threading
from abc import ABC, abstractmethod
from collections.abc import Callable

from dogwoodspool_common import Clock, log_event

from ..const import OUTCOME_RETRY_SECONDS
from ..errors import CommandRejectedError, LeadershipLostError, OutcomeUnknownError
from ..models import Promotion
from ..node import ControlNode
from ..progress import ProgressReport, PromotionProgress
from ..state import ControlState
from .failovers import FailoverTimeline, take_over


class PromotionWorker(ABC):
    """Work on one group's promotion until it has ended or leadership is lost.

    Each step begins with what is committed, so that the next leader goes on where
    this one stopped.
    """

    def __init__(
        self,
        group: str,
        clock: Clock,
        node: ControlNode,
        state: ControlState,
        timeline: FailoverTimeline,
    ) -> None:
        self._group = group
        self._clock = clock
        self._node = node
        self._state = state
        self._timeline = timeline
        self._progress = PromotionProgress(group, clock)

    @property
    def report(self) -> ProgressReport:
        """The present step."""
        return self._progress.report

    def run(self) -> None:
        """Read the committed step and do what follows it, again and again."""
        try:
            term = self._node.require_leadership().term
            while self._step():
                if self._node.require_leadership().term != term:
                    return
        except LeadershipLostError:
            log_event("promotion_left", group=self._group)

    @abstractmethod
    def advance(self, promotion: Promotion) -> None:
        """Do what follows the committed step.

        Raises:
            LeadershipLostError: the next leader goes on.
            OutcomeUnknownError: look at the state again.
            CommandRejectedError: another step was committed.
        """

    def _step(self) -> bool:
        promotion = self._state.promotion(self._group)
        if promotion is None:
            return False
        take_over(self._timeline, promotion)
        try:
            self.advance(promotion)
        except OutcomeUnknownError:
            self._clock.sleep(OUTCOME_RETRY_SECONDS)
        except CommandRejectedError as error:
            log_event("promotion_changed", group=self._group, reason=error)
        return True


class PromotionRunner:
    """Run a worker for each promotion in progress.

    Args:
        build: makes the worker of a group.
        after: called with the group when its worker has returned.
    """

    def __init__(
        self,
        state: ControlState,
        build: Callable[[str], PromotionWorker],
        after: Callable[[str], None] = lambda _group: None,
    ) -> None:
        self._state = state
        self._build = build
        self._after = after
        self._lock = threading.Lock()
        self._running: dict[str, tuple[PromotionWorker, threading.Thread]] = {}

    @property
    def reports(self) -> list[ProgressReport]:
        """The present steps of the workers that run here."""
        with self._lock:
            return [worker.report for worker, _ in self._running.values()]

    @property
    def groups(self) -> list[str]:
        """Groups whose worker has not returned."""
        with self._lock:
            return [
                group
                for group, (_, thread) in self._running.items()
                if thread.is_alive()
            ]

    def run_missing(self) -> None:
        """Start a worker for each promotion that has none here."""
        in_progress = self._state.promotions
        with self._lock:
            for group, (_, thread) in list(self._running.items()):
                if not thread.is_alive():
                    del self._running[group]
            for group in in_progress:
                if group not in self._running:
                    self._start(group)

    def join(self, timeout: float) -> None:
        """Wait for workers to notice that this voter leads no more."""
        with self._lock:
            threads = [thread for _, thread in self._running.values()]
        for thread in threads:
            thread.join(timeout)

    def _start(self, group: str) -> None:
        worker = self._build(group)
        thread = threading.Thread(
            target=self._run, args=(group, worker), name=f"promote-{group}", daemon=True
        )
        self._running[group] = (worker, thread)
        thread.start()

    def _run(self, group: str, worker: PromotionWorker) -> None:
        worker.run()
        self._after(group)
