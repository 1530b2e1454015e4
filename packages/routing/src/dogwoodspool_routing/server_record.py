"""The record of one backend server in the proxy's table."""

import math
from dataclasses import dataclass

from dogwoodspool_common import BackendServer, ServerStatus
from dogwoodspool_common.const import NEVER

from .const import (
    LATENCY_HALF_LIFE,
    LATENCY_WEIGHT,
    LOAD_SECONDS,
    MAX_UNREACHABLE_STEP,
)


@dataclass(slots=True)
class ServerRecord:
    """What is known of one backend server; guarded by the table's lock.

    Attributes:
        committed: the server's description as committed by control.
        announced: the description that the server announced to this proxy.
        announced_at: when that announcement was received.
        status: the last status.
        asked_at: when the last status was requested.
        is_failing: whether the last attempt to reach the server failed.
        leaving_since: when it first became known that the server is leaving; None if
            it is not.
        answered_at: when it last answered.
    """

    known_at: float
    committed: BackendServer | None = None
    announced: BackendServer | None = None
    announced_at: float = 0.0
    status: ServerStatus | None = None
    asked_at: float = 0.0
    is_failing: bool = False
    leaving_since: float | None = None
    answered_at: float = NEVER
    _unreachable: float = 0.0
    _down: float | None = None
    _outcome_at: float | None = None
    _latency: float | None = None
    _latency_at: float = 0.0
    _in_flight: int = 0
    _load: float = 0.0
    _load_at: float = 0.0

    @property
    def server(self) -> BackendServer:
        """The newest description.

        A server that restarts at another address announces it before control has
        committed it, so the announcement takes precedence.
        """
        newest = self.announced or self.committed
        if newest is None:
            raise LookupError("server record is neither committed nor announced")
        return newest

    @property
    def in_flight(self) -> int:
        """Number of this process's statements on the server."""
        return self._in_flight

    @property
    def is_leaving(self) -> bool:
        """Return whether any source reports that the server is leaving."""
        sources = (self.committed, self.announced, self.status)
        return any(source is not None and source.is_leaving for source in sources)

    def leaving_for(self, now: float) -> float | None:
        """Return the seconds since it was first heard of the server's leaving.

        None if it is not leaving.
        """
        return None if self.leaving_since is None else now - self.leaving_since

    def is_past_grace(self, now: float, grace: float) -> bool:
        """Return whether the server has been leaving for longer than a grace period.

        A process that has started since, or that was suspended, heard of it late, so
        that control's word counts as well.
        """
        leaving_for = self.leaving_for(now)
        if leaving_for is None:
            return False
        is_retired = self.committed is not None and self.committed.is_retired
        return leaving_for >= grace or is_retired

    def record_description(self, now: float) -> None:
        """Update the leaving time after a change of a description or the status."""
        if not self.is_leaving:
            self.leaving_since = None
        elif self.leaving_since is None:
            self.leaving_since = now

    def unreachable(self, now: float) -> float:
        """Return the seconds without an answer, 0 while the server answers.

        The time between the outcomes of two attempts counts only up to a bound. In a
        process that was suspended for a minute all attempts have timed out when it
        resumes; without the bound it would report servers as unreachable for a minute
        in which it did not contact them.
        """
        if not self.is_failing:
            return 0.0
        return self._unreachable + self._step(now)

    def down(self, now: float) -> float:
        """Return the seconds for which the machine refused every connection.

        The time between two attempts counts up to the same bound.
        """
        if self._down is None:
            return 0.0
        return self._down + self._step(now)

    def record_answer(self, at: float) -> None:
        """Record that the server answered."""
        self.is_failing = False
        self._down = None
        self._unreachable = 0.0
        self._outcome_at = at
        self.answered_at = at

    def record_failure(self, at: float, *, is_down: bool) -> None:
        """Record that an attempt to reach the server failed.

        Args:
            at: clock seconds.
            is_down: whether its machine refused the connection.
        """
        if not is_down:
            self._down = None
        elif self._down is None:
            self._down = 0.0
        else:
            self._down += self._step(at)
        self._unreachable += self._step(at)
        self.is_failing = True
        self._outcome_at = at

    def record_latency(self, latency: float, untried: float, now: float) -> float:
        """Add a statement's latency to the moving average and return it.

        Args:
            latency: seconds that the statement took.
            untried: see ``latency``.
            now: clock seconds.
        """
        average = self.latency(untried, now)
        self._latency = average + LATENCY_WEIGHT * (latency - average)
        self._latency_at = now
        return self._latency

    def latency(self, untried: float, now: float) -> float:
        """Return the moving average of latencies in seconds.

        Without new samples it decays to the latency of an untried server. Otherwise a
        server that was slow once would get no statement that could show that it is fast
        again.

        Args:
            untried: latency that is assumed of a server without samples.
            now: clock seconds.
        """
        if self._latency is None:
            return untried
        age = max(0.0, now - self._latency_at)
        weight = 0.5 ** (age / LATENCY_HALF_LIFE)
        return float(untried + (self._latency - untried) * weight)

    def set_in_flight(self, count: int, now: float) -> None:
        """Set the number of statements in flight from now on."""
        self._load = self.load(now)
        self._load_at = now
        self._in_flight = max(0, count)

    def load(self, now: float) -> float:
        """Return the moving average of the number of statements in flight."""
        age = max(0.0, now - self._load_at)
        weight = math.exp(-age / LOAD_SECONDS)
        return self._in_flight + (self._load - self._in_flight) * weight

    def _step(self, now: float) -> float:
        since = self.known_at if self._outcome_at is None else self._outcome_at
        return min(max(0.0, now - since), MAX_UNREACHABLE_STEP)
