"""Thread that runs the periodic work of a leader."""

import threading
from abc import ABC, abstractmethod

from dogwoodspool_common import Clock, log_event

from .node import ControlNode
from .promotion.failovers import FailoverTimeline
from .state import ControlState


class LeaderTicker(ABC):
    """Base class for the periodic work of a leader, run per tick and when woken.

    No work in a tick waits for a commit or a backend server, so that a gap between
    two ticks means that the process itself was paused.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        node: ControlNode,
        state: ControlState,
        timeline: FailoverTimeline,
        tick_seconds: float,
    ) -> None:
        self._node = node
        self._timeline = timeline
        self._clock = clock
        self._state = state
        self._tick_seconds = tick_seconds
        self._changed = threading.Condition()
        self._is_woken = False
        self._is_closed = False
        self._leadership_term: int | None = None
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def set_up(self) -> None:
        """Start the thread."""
        self._state.add_listener(self.wake)
        self._thread.start()

    def unload(self) -> None:
        """Stop the thread."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()
        self._thread.join()

    def wake(self) -> None:
        """Run the next tick at once, because callers may be waiting."""
        with self._changed:
            self._is_woken = True
            self._changed.notify_all()

    def tick(self) -> None:
        """Run the periodic work if this voter is the leader and has caught up."""
        leadership = self._node.catch_up()
        if leadership is None:
            # Only the leader measures the phases of promotions.
            self._timeline.keep_only(())
            return
        if leadership.term != self._leadership_term:
            self._leadership_term = leadership.term
            log_event(
                "leadership_began",
                term=leadership.term,
                view=self._state.version,
                document=self._state.document.revision,
            )
            self.begin_leadership()
        self.run_as_leader()

    @abstractmethod
    def begin_leadership(self) -> None:
        """Discard earlier observations, as other leaders may have acted since."""

    @abstractmethod
    def run_as_leader(self) -> None:
        """Run the periodic work of the leader once."""

    def _run(self) -> None:
        while True:
            self._tick_safely()
            with self._changed:
                if not self._is_closed and not self._is_woken:
                    self._clock.wait(self._changed, self._tick_seconds)
                if self._is_closed:
                    return
                self._is_woken = False

    def _tick_safely(self) -> None:
        try:
            self.tick()
        except Exception as error:  # noqa: BLE001
            # An error in one tick must not stop failure detection; the next tick
            # evaluates everything again.
            log_event("tick_failed", level="ERROR", error=repr(error))
