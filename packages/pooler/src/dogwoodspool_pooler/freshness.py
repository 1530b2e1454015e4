"""Know a position that every commit up to some time is covered by."""

import threading
from collections import deque

from dogwoodspool_common import Clock, Position

from .const import MARK_LIFE_SECONDS, MARK_SPACING_SECONDS


class FreshnessTracker:
    """Remember how far each group's primary was, and when it was asked.

    A primary that answers a write or an open transaction holds its place at that
    moment, so that its log has every commit acknowledged before it was asked. A
    server with that position therefore serves reads that accept data as old as
    the time since. No server is asked for this: the answers come anyway.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._marks: dict[str, deque[tuple[float, Position]]] = {}

    def record(self, group: str, position: Position | None, asked_at: float) -> None:
        """Take in an answer of a primary that surely held its place.

        Args:
            group: its group.
            position: how far its log was; None where it did not say.
            asked_at: clock seconds before the question was sent.
        """
        if position is None:
            return
        with self._lock:
            marks = self._marks.setdefault(group, deque())
            if marks and asked_at - marks[-1][0] < MARK_SPACING_SECONDS:
                return
            marks.append((asked_at, position))
            oldest = self._clock.now() - MARK_LIFE_SECONDS
            while marks[0][0] < oldest:
                marks.popleft()

    def min_position(self, group: str, max_age: float) -> Position | None:
        """Return the lowest position that covers commits older than an age.

        The lowest is what most replicas have. None where nothing recent enough is
        known; the primary must then be asked.

        Args:
            group: the database group.
            max_age: greatest age of the data in seconds.
        """
        oldest = self._clock.now() - max_age
        with self._lock:
            for asked_at, position in self._marks.get(group, ()):
                if asked_at >= oldest:
                    return position
        return None
