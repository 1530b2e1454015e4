"""Track log positions that include every commit up to a known time."""

import threading
from collections import deque

from dogwoodspool_common import Clock, Position

from .const import FRESHNESS_MARK_RETENTION_SECONDS, FRESHNESS_MARK_SPACING_SECONDS


class FreshnessTracker:
    """Keep freshness marks: primary positions and the times they were requested.

    A server that answers a write or a statement of a read-write transaction is the
    primary at that moment, so its log contains every commit acknowledged before the
    request was sent. Any server that has reached this position can therefore serve
    reads that accept data as old as the time since then. The positions come with
    replies to regular requests, so that no server is queried for them.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._marks: dict[str, deque[tuple[float, Position]]] = {}
        self._wanted_at: dict[str, float] = {}

    def record(self, group: str, position: Position | None, asked_at: float) -> None:
        """Record the position in a reply of a server that was certainly the primary.

        Args:
            group: the server's database group.
            position: position of its log; None if the reply has none.
            asked_at: clock seconds before the request was sent.
        """
        if position is None:
            return
        with self._lock:
            marks = self._marks.setdefault(group, deque())
            if marks and asked_at - marks[-1][0] < FRESHNESS_MARK_SPACING_SECONDS:
                return
            marks.append((asked_at, position))
            oldest = self._clock.now() - FRESHNESS_MARK_RETENTION_SECONDS
            while marks[0][0] < oldest:
                marks.popleft()

    def newest(self, group: str) -> tuple[float, Position] | None:
        """Return the newest mark of a group: clock time and position."""
        with self._lock:
            marks = self._marks.get(group)
            return marks[-1] if marks else None

    def outdated(self, wanted_since: float, newest_before: float) -> list[str]:
        """Return the groups that reads use and whose newest mark is old.

        Args:
            wanted_since: clock time since which a read has needed a position.
            newest_before: clock time before which a mark is old.
        """
        with self._lock:
            return [
                group
                for group, wanted_at in sorted(self._wanted_at.items())
                if wanted_at >= wanted_since
                and not self._has_mark(group, newest_before)
            ]

    def min_position(self, group: str, max_age: float) -> Position | None:
        """Return the lowest known position that includes all commits older than an age.

        The lowest is the one that most replicas have reached. None means that no recent
        enough position is known, so that the primary must serve the read.

        Args:
            group: the database group.
            max_age: greatest age of the data in seconds.
        """
        now = self._clock.now()
        oldest = now - max_age
        with self._lock:
            self._wanted_at[group] = now
            for asked_at, position in self._marks.get(group, ()):
                if asked_at >= oldest:
                    return position
        return None

    def _has_mark(self, group: str, since: float) -> bool:
        marks = self._marks.get(group)
        return marks is not None and marks[-1][0] >= since
