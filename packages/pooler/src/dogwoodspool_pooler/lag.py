"""Which servers lacked a position when they were last asked for it."""

import threading
from dataclasses import dataclass

from dogwoodspool_common import Clock, Position

from .const import BEHIND_LOOK_SECONDS, MAX_BEHIND_LOOK_SECONDS


@dataclass(frozen=True, slots=True)
class _Refusal:
    floor: Position
    pause: float
    ask_at: float


class LagTracker:
    """Remember servers that are behind, so that reads do not ask them in vain.

    The load pattern that it answers: replicas fall behind for seconds, and every read
    would ask each of them first and be refused. One read asks again after a pause,
    which doubles with each refusal.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._refusals: dict[str, _Refusal] = {}

    def record_lagging(self, server: str, floor: Position) -> None:
        """Take in that a server lacked a position."""
        now = self._clock.now()
        with self._lock:
            known = self._refusals.get(server)
            pause = BEHIND_LOOK_SECONDS
            if known is not None and now - known.ask_at < MAX_BEHIND_LOOK_SECONDS:
                # Refusals of reads that were sent together count once.
                is_new = now >= known.ask_at
                pause = known.pause * 2 if is_new else known.pause
                floor = min(floor, known.floor)
            pause = min(pause, MAX_BEHIND_LOOK_SECONDS)
            self._refusals[server] = _Refusal(floor, pause, now + pause)

    def record_caught_up(self, server: str) -> None:
        """Take in that a server had what a read needed."""
        if server in self._refusals:
            with self._lock:
                self._refusals.pop(server, None)

    def lagging(self, floor: Position) -> set[str]:
        """Return the servers that need not be asked for a position now."""
        now = self._clock.now()
        with self._lock:
            return {
                server
                for server, refusal in self._refusals.items()
                if refusal.floor <= floor and now < refusal.ask_at
            }
