"""Detect servers that answer reads but leave writes unanswered."""

import itertools
import threading
from dataclasses import dataclass, field

from dogwoodspool_common import Clock

from .const import STALL_REPORT_SECONDS


@dataclass(slots=True)
class _Writes:
    outstanding: dict[int, float] = field(default_factory=dict)
    unanswered_since: float | None = None


class StallTracker:
    """Measure how long each server has left writes unanswered.

    A primary that is cut off from its replicas gets no acknowledgements from them and
    so answers no writes, while it still answers reads.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._ids = itertools.count()
        self._servers: dict[str, _Writes] = {}

    def begin(self, server: str) -> int:
        """Record that a write was sent and return its number for ``end``."""
        number = next(self._ids)
        with self._lock:
            writes = self._servers.setdefault(server, _Writes())
            writes.outstanding[number] = self._clock.now()
        return number

    def end(self, server: str, number: int, *, is_answered: bool) -> None:
        """Record that a write was answered or abandoned."""
        with self._lock:
            writes = self._servers[server]
            sent_at = writes.outstanding.pop(number)
            if is_answered:
                writes.unanswered_since = None
            elif writes.unanswered_since is None:
                writes.unanswered_since = sent_at

    def stalled_seconds(self) -> dict[str, float]:
        """Return the servers with stalled writes and the length of each stall."""
        now = self._clock.now()
        stalled = {}
        with self._lock:
            for name, writes in self._servers.items():
                times = list(writes.outstanding.values())
                if writes.unanswered_since is not None:
                    times.append(writes.unanswered_since)
                elapsed = now - min(times, default=now)
                if elapsed >= STALL_REPORT_SECONDS:
                    stalled[name] = elapsed
        return stalled
