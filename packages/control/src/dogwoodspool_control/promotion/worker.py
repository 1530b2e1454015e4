"""Run promotions in progress to their end, with one thread per group."""

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
from .failovers import FailoverTimeline, track_promotion


class PromotionWorker(ABC):
    """Run one group's promotion until it has ended or leadership is lost.

    Each step starts from the committed state, so that the next leader continues where
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
        """The current step."""
        return self._progress.report

    def run(self) -> None:
        """Read the committed step and carry out the next one until none is left."""
        try:
            term = self._node.require_leadership().term
            while self._step():
                if self._node.require_leadership().term != term:
                    return
        except LeadershipLostError:
            log_event("promotion_left", group=self._group)

    @abstractmethod
    def advance(self, promotion: Promotion) -> None:
        """Carry out the step after the committed one.

        Raises:
            LeadershipLostError: the next leader continues.
            OutcomeUnknownError: read the committed state again.
            CommandRejectedError: another step was committed.
        """

    def servers_changed(self) -> None:  # noqa: B027
        """React to servers that join the group or restart; must not block.

        It is called by the leader's loop, at each tick.
        """

    def _step(self) -> bool:
        promotion = self._state.promotion(self._group)
        if promotion is None:
            return False
        track_promotion(self._timeline, promotion)
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
        build: creates the worker of a group.
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
        """The current steps of the workers of this process."""
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
        """Start a worker for each promotion that has none in this process."""
        in_progress = self._state.promotions
        with self._lock:
            for group, (_, thread) in list(self._running.items()):
                if not thread.is_alive():
                    del self._running[group]
            for group in in_progress:
                if group not in self._running:
                    self._start(group)

    def notify_servers(self) -> None:
        """Let each worker react to servers that have joined; does not block."""
        with self._lock:
            workers = [
                worker for worker, thread in self._running.values() if thread.is_alive()
            ]
        for worker in workers:
            worker.servers_changed()

    def join(self, timeout: float) -> None:
        """Wait at most ``timeout`` seconds for each worker to return.

        Workers return once they notice that this voter is no longer the leader.
        """
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
