"""The record of one backend server in the proxy's table."""

from dataclasses import dataclass

from dogwoodspool_common import BackendServer, ServerStatus
from dogwoodspool_common.const import NEVER

from .const import (
    DEFAULT_LATENCY,
    LATENCY_HALF_LIFE,
    LATENCY_WEIGHT,
    MAX_UNREACHABLE_STEP,
)


@dataclass(slots=True)
class ServerRecord:
    """What is known of one backend server; the table's lock guards it.

    Attributes:
        committed: the server as control has committed it.
        announced: the server as it announced itself here.
        announced_at: when that announcement came.
        status: the last status.
        asked_at: when the last status was asked for.
        is_failing: the last attempt to reach the server failed.
        leaving_since: when its leaving was first known, None if it stays.
        answered_at: when it last gave an answer.
    """

    known_at: float
    committed: BackendServer | None = None
    announced: BackendServer | None = None
    announced_at: float = 0.0
    status: ServerStatus | None = None
    asked_at: float = 0.0
    is_failing: bool = False
    leaving_since: float | None = None
    in_flight: int = 0
    answered_at: float = NEVER
    _unreachable: float = 0.0
    _down: float | None = None
    _outcome_at: float | None = None
    _latency: float = DEFAULT_LATENCY
    _latency_at: float = 0.0

    @property
    def server(self) -> BackendServer:
        """The newest description: a server that restarted elsewhere says so first."""
        newest = self.announced or self.committed
        if newest is None:
            raise LookupError("the record has no description")
        return newest

    @property
    def is_leaving(self) -> bool:
        """Tell whether any source says that the server leaves."""
        described = (self.committed, self.announced, self.status)
        return any(one is not None and one.is_leaving for one in described)

    def record_description(self, now: float) -> None:
        """Note that a description or the status has changed."""
        if not self.is_leaving:
            self.leaving_since = None
        elif self.leaving_since is None:
            self.leaving_since = now

    def unreachable(self, now: float) -> float:
        """Return seconds without a good answer, 0 while the server answers.

        Only the time between outcomes of attempts counts, and each step only up to
        a bound. A process that was frozen for a minute wakes up with attempts that
        all timed out; without the bound it would report a minute of silence of
        servers that it has not asked.
        """
        if not self.is_failing:
            return 0.0
        return self._unreachable + self._step(now)

    def down(self, now: float) -> float:
        """Return seconds for which every attempt was refused; bounded likewise."""
        if self._down is None:
            return 0.0
        return self._down + self._step(now)

    def record_answer(self, at: float) -> None:
        """Note that the server gave an answer."""
        self.is_failing = False
        self._down = None
        self._unreachable = 0.0
        self._outcome_at = at
        self.answered_at = at

    def record_failure(self, at: float, *, is_down: bool) -> None:
        """Note that an attempt to reach the server failed.

        Args:
            at: clock seconds.
            is_down: its machine refused the connection.
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

    def record_latency(self, latency: float, now: float) -> None:
        """Take a statement's latency into the moving average."""
        average = self.latency(now)
        self._latency = average + LATENCY_WEIGHT * (latency - average)
        self._latency_at = now

    def latency(self, now: float) -> float:
        """Return the moving average of latencies.

        Without new samples it returns to the default: a server that answered
        slowly once would else get no statement that could show it is fast again.
        """
        age = max(0.0, now - self._latency_at)
        weight = 0.5 ** (age / LATENCY_HALF_LIFE)
        return float(DEFAULT_LATENCY + (self._latency - DEFAULT_LATENCY) * weight)

    def _step(self, now: float) -> float:
        since = self.known_at if self._outcome_at is None else self._outcome_at
        return min(max(0.0, now - since), MAX_UNREACHABLE_STEP)
