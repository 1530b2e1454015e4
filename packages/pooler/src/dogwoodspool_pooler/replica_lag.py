"""Estimate the lag of replicas from positions in replies."""

import threading
from bisect import bisect_left, bisect_right
from collections import deque
from dataclasses import dataclass
from operator import attrgetter

from dogwoodspool_common import BackendServer, Clock, Position

from .const import (
    LAG_DEVIATIONS,
    LAG_EXPIRY_SECONDS,
    LAG_WEIGHT,
    MAX_LAG_UNCERTAINTY,
    POSITION_RETENTION_SECONDS,
    POSITION_SPACING_SECONDS,
)


@dataclass(frozen=True, slots=True)
class _PrimaryPosition:
    """A position that a primary had at a time between two clock times."""

    position: Position
    asked_at: float
    answered_at: float


_BY_POSITION = attrgetter("position")


@dataclass(slots=True)
class _Lag:
    mean: float
    deviation: float
    recorded_at: float


class ReplicaLag:
    """Estimate how far replicas are behind and when they will reach a position.

    The positions in replies of a group's primary show when it had which position. The
    position in a reply of a replica is looked up among them: its lag is the time since
    the primary had that position. No server is queried for it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._positions: dict[str, deque[_PrimaryPosition]] = {}
        self._lags: dict[str, _Lag] = {}

    def record_primary(
        self, group: str, position: Position | None, asked_at: float
    ) -> None:
        """Record the position in a reply of a server that was certainly the primary."""
        if position is None:
            return
        now = self._clock.now()
        with self._lock:
            known = self._positions.setdefault(group, deque())
            if known:
                last = known[-1]
                is_new = now - last.answered_at >= POSITION_SPACING_SECONDS
                if not is_new or position < last.position or asked_at < last.asked_at:
                    return
            known.append(_PrimaryPosition(position, asked_at, now))
            while known[0].answered_at < now - POSITION_RETENTION_SECONDS:
                known.popleft()

    def record_replica(self, server: BackendServer, position: Position | None) -> None:
        """Record the position in a reply of a server that was asked as a replica."""
        if position is None:
            return
        now = self._clock.now()
        with self._lock:
            bounds = self._lag_bounds(server.group, position, now)
            if bounds is not None:
                self._update(server.name, *bounds, now)

    def lag(self, server: str) -> float | None:
        """Return the lag in seconds that a replica rarely exceeds; None if unknown."""
        with self._lock:
            known = self._lags.get(server)
            if known is None:
                return None
            if self._clock.now() - known.recorded_at > LAG_EXPIRY_SECONDS:
                return None
            return known.mean + LAG_DEVIATIONS * known.deviation

    def seconds_until(self, server: BackendServer, position: Position) -> float | None:
        """Return the seconds until a replica is expected to have reached a position.

        Returns:
            0 if it is expected to have reached it; None if its lag is unknown.
        """
        lag = self.lag(server.name)
        if lag is None:
            return None
        now = self._clock.now()
        return max(0.0, self._reached_at(server.group, position, now) + lag - now)

    def _reached_at(self, group: str, position: Position, now: float) -> float:
        """Return a time at which the primary had certainly reached a position.

        A position that callers ask for was in an answer of the primary, so it is at the
        latest now.
        """
        with self._lock:
            known = self._positions.get(group, deque())
            index = bisect_left(known, position, key=_BY_POSITION)
            return known[index].answered_at if index < len(known) else now

    def _lag_bounds(
        self, group: str, position: Position, now: float
    ) -> tuple[float, float] | None:
        """Return the least and the greatest lag of a server with a position now."""
        known = self._positions.get(group)
        if not known:
            return None
        index = bisect_right(known, position, key=_BY_POSITION)
        lowest = 0.0 if index == len(known) else now - known[index].answered_at
        if index == 0:
            return lowest, max(lowest, POSITION_RETENTION_SECONDS)
        return lowest, now - known[index - 1].asked_at

    def _update(self, server: str, lowest: float, highest: float, now: float) -> None:
        """Move a server's average towards the interval in which its lag is."""
        known = self._lags.get(server)
        if known is None or now - known.recorded_at > LAG_EXPIRY_SECONDS:
            if highest - lowest <= MAX_LAG_UNCERTAINTY:
                half = (highest - lowest) / 2
                self._lags[server] = _Lag(lowest + half, half, now)
            return
        lag = min(max(known.mean, lowest), highest)
        change = lag - known.mean
        known.mean += LAG_WEIGHT * change
        known.deviation += LAG_WEIGHT * (abs(change) - known.deviation)
        known.recorded_at = now
