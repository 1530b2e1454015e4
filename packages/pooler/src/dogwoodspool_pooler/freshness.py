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

    def min_position(self, group: str, max_age: float) -> Position | None:
        """Return the lowest known position that includes all commits older than an age.

        The lowest is the one that most replicas have reached. None means that no recent
        enough position is known, so that the primary must serve the read.

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
