"""Track the servers that lacked a required log position."""

import threading
from dataclasses import dataclass

from dogwoodspool_common import Clock, Position

from .const import LAG_RECHECK_SECONDS, MAX_LAG_RECHECK_SECONDS


@dataclass(frozen=True, slots=True)
class _Refusal:
    min_position: Position
    pause: float
    retry_at: float


class LagTracker:
    """Track lagging servers, so that reads skip servers that would refuse them.

    Replicas lag for seconds at a time, and without this every read would first be sent
    to each of them and be refused. After a pause one read tries such a server again;
    the pause doubles with each refusal.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._refusals: dict[str, _Refusal] = {}

    def record_lagging(self, server: str, min_position: Position) -> None:
        """Record that a server had not reached a position."""
        now = self._clock.now()
        with self._lock:
            known = self._refusals.get(server)
            pause = LAG_RECHECK_SECONDS
            if known is not None and now - known.retry_at < MAX_LAG_RECHECK_SECONDS:
                # The refusals of reads that were in flight together count once.
                is_new = now >= known.retry_at
                pause = known.pause * 2 if is_new else known.pause
                min_position = min(min_position, known.min_position)
            pause = min(pause, MAX_LAG_RECHECK_SECONDS)
            self._refusals[server] = _Refusal(min_position, pause, now + pause)

    def record_caught_up(self, server: str) -> None:
        """Record that a server had reached the position that a read required."""
        if server in self._refusals:
            with self._lock:
                self._refusals.pop(server, None)

    def lagging(self, min_position: Position) -> set[str]:
        """Return the servers that are not to be tried for a position at present."""
        return set(self.pauses(min_position))

    def pauses(self, min_position: Position) -> dict[str, float]:
        """Return the seconds until each of these servers is tried again."""
        now = self._clock.now()
        with self._lock:
            return {
                server: refusal.retry_at - now
                for server, refusal in self._refusals.items()
                if refusal.min_position <= min_position and now < refusal.retry_at
            }
