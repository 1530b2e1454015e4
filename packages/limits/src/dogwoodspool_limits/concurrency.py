"""Adapt the number of statements in flight on a backend server to its latency."""

from math import inf
from statistics import median
from typing import Final

from dogwoodspool_common import Clock

from .const import (
    BASE_LATENCY_SPAN,
    BASE_PROBE_FACTOR,
    DECREASE_FACTOR,
    LATENCY_TOLERANCE,
    OVERLOAD_FACTOR,
    OVERLOAD_STEP_SECONDS,
    WINDOW_SAMPLES,
)

MIN_LIMIT: Final = 1


class AdaptiveConcurrency:
    """Adapt the limit of statements in flight to the observed latency.

    Several proxies share a server's slots and do not see each other's load, but
    each sees that answers take longer when statements wait inside the server.
    Answers are evaluated in windows. When the window's median latency is far above
    the lowest of the last half minute, or a statement got no answer, the limit falls
    by a fifth; otherwise it grows by one if it was reached. When the server refuses
    statements because of its load, the limit is halved at once.

    A queue that decides by estimates which statements run does not follow the
    latency: where other processes fill the server, the limit would fall until the
    most urgent statements waited, and where statements of long kinds follow those of
    short ones, it would leave slots idle. It is bounded by the slots instead, and
    falls only when the server refuses statements because of its load.

    Args:
        start: initial limit, the server's slots.
        ceiling: upper bound of the limit, the pool's share of connections.
    """

    def __init__(self, clock: Clock, start: int, ceiling: int) -> None:
        self._clock = clock
        self._base = _LowestLatency(clock, BASE_LATENCY_SPAN)
        self._ceiling = max(MIN_LIMIT, ceiling)
        # Not clamped to the present ceiling: shares grow with demand, and a clamped
        # limit would stay low until it had been reached for a whole window.
        self._limit = float(max(MIN_LIMIT, start))
        self._slots = max(MIN_LIMIT, start)
        self._follows_latency = True
        self._latencies: list[float] = []
        self._unanswered = 0
        self._was_reached = False
        self._overloaded_at = -inf

    @property
    def limit(self) -> int:
        """Statements that may be in flight."""
        return max(MIN_LIMIT, min(int(self._limit), self._highest))

    @property
    def ceiling(self) -> int:
        """Upper bound of the limit."""
        return self._ceiling

    @property
    def _highest(self) -> int:
        if self._follows_latency:
            return self._ceiling
        return min(self._ceiling, self._slots)

    def set_ceiling(self, ceiling: int) -> None:
        """Set the upper bound of the limit."""
        self._ceiling = max(MIN_LIMIT, ceiling)

    def set_slots(self, slots: int) -> None:
        """Set the slots that bound a limit which does not follow the latency."""
        if slots == self._slots:
            return
        self._slots = max(MIN_LIMIT, slots)
        if not self._follows_latency:
            self._limit = float(self._slots)

    def set_follows_latency(self, follows_latency: bool) -> None:
        """Set whether the limit follows the latency or only the slots.

        A limit that was set by the latency is replaced by the slots.
        """
        if self._follows_latency and not follows_latency:
            self._limit = float(self._slots)
        self._follows_latency = follows_latency

    def record_answer(self, latency: float, in_flight: int) -> None:
        """Record a statement that the server ran.

        Args:
            latency: seconds on the server.
            in_flight: statements in flight when it ended, itself included.
        """
        self._was_reached = self._was_reached or in_flight >= self.limit
        self._latencies.append(latency)
        self._evaluate_full_window()

    def record_unanswered(self) -> None:
        """Record a statement that got no complete answer.

        Statements lost within one window have one cause, so they lower the limit
        only once. A limit that does not follow the latency is not lowered.
        """
        if not self._unanswered and self._follows_latency:
            self._scale(DECREASE_FACTOR)
        self._unanswered += 1
        self._evaluate_full_window()

    def record_overload(self) -> None:
        """Record that the server refused a statement because of its load.

        Refusals of statements that were sent together have one cause, so they lower
        the limit once. Only later refusals show the effect of the lower limit.
        """
        now = self._clock.now()
        if now - self._overloaded_at >= OVERLOAD_STEP_SECONDS:
            self._overloaded_at = now
            self._scale(OVERLOAD_FACTOR)
        self._latencies.clear()
        self._was_reached = False

    def _evaluate_full_window(self) -> None:
        if len(self._latencies) + self._unanswered >= WINDOW_SAMPLES:
            self._evaluate_window()

    def _evaluate_window(self) -> None:
        if not self._unanswered:
            self._adjust_to_latency(median(self._latencies))
        self._latencies.clear()
        self._unanswered = 0
        self._was_reached = False

    def _adjust_to_latency(self, latency: float) -> None:
        span_ended = self._base.record(latency)
        if span_ended and self._was_reached and self._follows_latency:
            # Under a lasting overload the lowest latency of the last half minute
            # includes the overload itself. Lowering the limit for a short time shows
            # the latency without it.
            self._scale(BASE_PROBE_FACTOR)
        elif self._is_slow(latency):
            self._scale(DECREASE_FACTOR)
        elif self._was_reached:
            self._limit = min(self._limit, float(self._highest)) + 1

    def _is_slow(self, latency: float) -> bool:
        is_far_above = latency > LATENCY_TOLERANCE * self._base.value
        return self._follows_latency and is_far_above

    def _scale(self, factor: float) -> None:
        effective_limit = min(self._limit, float(self._highest))
        self._limit = max(float(MIN_LIMIT), effective_limit * factor)


class _LowestLatency:
    """Sliding minimum of latencies over the last one to two spans of time."""

    def __init__(self, clock: Clock, span: float) -> None:
        self._clock = clock
        self._span = span
        self._span_began = clock.now()
        self._current = inf
        self._previous = inf

    @property
    def value(self) -> float:
        """The lowest latency of the current and the previous span."""
        return min(self._current, self._previous)

    def record(self, latency: float) -> bool:
        """Record a latency; return whether a new span began with it."""
        span_ended = self._clock.now() - self._span_began >= self._span
        if span_ended:
            self._previous, self._current = self._current, inf
            self._span_began = self._clock.now()
        self._current = min(self._current, latency)
        return span_ended
