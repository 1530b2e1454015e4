"""Simulated time, in which events run in order."""

import heapq
from collections.abc import Callable
from itertools import count

from dogwoodspool_common import ManualClock

Event = Callable[[], None]


class Timeline:
    """Run events in the order of their times and advance one clock."""

    def __init__(self) -> None:
        self._clock = ManualClock()
        self._events: list[tuple[float, int, Event]] = []
        self._order = count()

    @property
    def clock(self) -> ManualClock:
        """The clock, which advances from event to event."""
        return self._clock

    def now(self) -> float:
        """Return simulated seconds."""
        return self._clock.now()

    def after(self, seconds: float, event: Event) -> None:
        """Schedule an event after a delay in seconds."""
        at = self.now() + max(0.0, seconds)
        heapq.heappush(self._events, (at, next(self._order), event))

    def run(self, until: float) -> None:
        """Run all events up to a time, in simulated seconds."""
        while self._events and self._events[0][0] <= until:
            at, _, event = heapq.heappop(self._events)
            self._clock.advance(at - self.now())
            event()
        self._clock.advance(max(0.0, until - self.now()))
