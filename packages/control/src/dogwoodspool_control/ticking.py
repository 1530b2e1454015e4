"""A thread that looks at everything once per tick."""

import threading
from abc import ABC, abstractmethod

from dogwoodspool_common import Clock, log_event

from .node import ControlNode
from .promotion.failovers import FailoverTimeline
from .state import ControlState


class LeaderTicker(ABC):
    """Base of what a leader does on its own: a look per tick, or when woken.

    Nothing in a look waits for a commit or a backend server, so that a gap between
    two looks means that the process itself stood still.
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
        """Begin to tick."""
        self._state.add_listener(self.wake)
        self._thread.start()

    def unload(self) -> None:
        """Stop ticking."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()
        self._thread.join()

    def wake(self) -> None:
        """Look again without waiting for the next tick, as callers may be waiting."""
        with self._changed:
            self._is_woken = True
            self._changed.notify_all()

    def tick(self) -> None:
        """Look at everything once, where this voter leads and has caught up."""
        leadership = self._node.catch_up()
        if leadership is None:
            # The leader measures changes of primary.
            self._timeline.keep_only(())
            return
        if leadership.term != self._leadership_term:
            self._leadership_term = leadership.term
            log_event("leadership_began", term=leadership.term)
            self.begin_leadership()
        self.look()

    @abstractmethod
    def begin_leadership(self) -> None:
        """Forget what was gathered before: others have led and acted since."""

    @abstractmethod
    def look(self) -> None:
        """Look at everything once as the leader."""

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
            # A fault in one look must not end failure detection for good; the
            # next tick looks at everything afresh.
            log_event("tick_failed", level="ERROR", error=repr(error))
