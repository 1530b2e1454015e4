"""Turns of processes that may hold a connection only for a part of the time."""

import random
import threading

from dogwoodspool_common import Clock
from dogwoodspool_common.const import NEVER

from .const import MAX_REFUSED_TURN_FACTOR, TURN_SECONDS


class ConnectionTurns:
    """Decide when this process may open connections to one server.

    Proxies that serve their own callers while no owner answers may be thousands, and
    none knows which of the others do so. Each has a turn at random times, so that on
    average few of them have one at the same time. A turn begins whether there are
    requests or not: otherwise all of them would begin one together when the owners are
    lost. A refusal by the server doubles the time between the turns.

    Args:
        share: fraction of the time in which this process has a turn; 1.0 for always.
    """

    def __init__(
        self, clock: Clock, share: float, rng: random.Random | None = None
    ) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._share = share
        self._rng = rng or random.Random()
        self._factor = 1.0
        self._begins_at = NEVER
        self._ends_at = NEVER
        self._used_at = NEVER
        if share < 1:
            self._schedule_first()

    @property
    def is_always(self) -> bool:
        """Return whether this process needs no turn."""
        return self._share >= 1

    def set_share(self, share: float) -> None:
        """Change the fraction of the time."""
        with self._lock:
            if share == self._share:
                return
            self._share = share
            if not self.is_always:
                self._schedule_first()

    def wait(self) -> float:
        """Return the seconds until this process may open a connection; 0 if it may.

        If the last turn has ended, the next one is determined.
        """
        with self._lock:
            if self.is_always:
                return 0.0
            now = self._clock.now()
            while self._ends_at <= now:
                pause = self._rng.expovariate(1 / self._mean_pause())
                self._begins_at = max(self._ends_at, self._used_at) + pause
                self._ends_at = self._begins_at + TURN_SECONDS
            return max(0.0, self._begins_at - now)

    def record_use(self) -> None:
        """Record that a connection was in use until now."""
        self._used_at = self._clock.now()

    def record_connection_opened(self) -> None:
        """Record that the server accepted a connection."""
        self._factor = 1.0

    def record_connection_refused(self) -> None:
        """Record that the server refused a connection, which ends the turn."""
        with self._lock:
            self._factor = min(MAX_REFUSED_TURN_FACTOR, 2 * self._factor)
            self._ends_at = min(self._ends_at, self._clock.now())

    def _mean_pause(self) -> float:
        return TURN_SECONDS * (1 / self._share - 1) * self._factor

    def _schedule_first(self) -> None:
        now = self._clock.now()
        pause = self._rng.expovariate(1 / self._mean_pause())
        self._begins_at = now + pause
        self._ends_at = self._begins_at + TURN_SECONDS
