"""Track the requests of callers that this process accepted and must answer."""

import threading
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum

from dogwoodspool_common import Clock, log_event
from dogwoodspool_common.const import MILLISECONDS

from .models import Statement


class Outcome(StrEnum):
    """How a request ended.

    Attributes:
        FINISHED: its answer was handed to the caller's connection.
        REFUSED: it was answered that it did not run, because the process shuts down.
        IN_DOUBT: it was answered, before a server did, that it may have run.
        CALLER_LOST: the caller's connection failed first.
    """

    FINISHED = "finished"
    REFUSED = "refused"
    IN_DOUBT = "in_doubt"
    CALLER_LOST = "caller_lost"


@dataclass(frozen=True, slots=True, eq=False)
class AcceptedRequest:
    """One request that has been read and not been answered.

    Attributes:
        statement: the caller's statement.
        database: database that it is for.
        accepted_at: clock seconds at which it was read.
        is_refused: whether it came too late to begin before the process ends.
    """

    statement: Statement
    database: str
    accepted_at: float
    is_refused: bool = False


class AcceptedWork:
    """Count requests from when they are read until their answer was handed over."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._requests: set[AcceptedRequest] = set()
        self._draining_since: float | None = None
        self._is_refusing = False
        self._arrived = 0
        self._turned_away = 0
        self._ended: Counter[Outcome] = Counter()

    @property
    def in_progress(self) -> int:
        """Number of requests without an answer."""
        with self._lock:
            return len(self._requests)

    @property
    def is_draining(self) -> bool:
        """Whether the process is shutting down."""
        return self._draining_since is not None

    @property
    def is_refusing(self) -> bool:
        """Whether no new work begins any more."""
        return self._is_refusing

    def start_drain(self) -> None:
        """Count arrivals and outcomes from now on, for ``log_drain``."""
        with self._lock:
            self._draining_since = self._clock.now()

    def refuse_new(self) -> None:
        """Mark all requests that are accepted from now on as refused."""
        with self._lock:
            self._is_refusing = True

    def record_turned_away(self) -> None:
        """Record that a caller was refused a session because of the drain."""
        with self._lock:
            self._turned_away += 1

    def record_arrival(self) -> None:
        """Record that a caller has connected."""
        with self._lock:
            if self._draining_since is not None:
                self._arrived += 1

    def accept(self, statement: Statement, database: str) -> AcceptedRequest:
        """Record a request that was read."""
        now = self._clock.now()
        with self._lock:
            request = AcceptedRequest(statement, database, now, self._is_refusing)
            self._requests.add(request)
        return request

    def end(self, request: AcceptedRequest, outcome: Outcome) -> None:
        """Record how a request ended; only its first outcome counts."""
        with self._lock:
            if request not in self._requests:
                return
            self._requests.remove(request)
            if self._draining_since is not None:
                self._ended[outcome] += 1

    def log_drain(self, neighbour_requests: int = 0) -> None:
        """Log what the drain did, and each request that ends without an answer.

        Args:
            neighbour_requests: requests of other proxies that end without an answer.
        """
        now = self._clock.now()
        with self._lock:
            cut, ended = list(self._requests), dict(self._ended)
            since = now if self._draining_since is None else self._draining_since
        for request in cut:
            log_event(
                "request_cut_off",
                level="WARNING",
                request=request.statement.request_id,
                kind=request.statement.kind,
                database=request.database,
                in_progress_ms=_milliseconds(now - request.accepted_at),
                since_stop_ms=_milliseconds(now - since),
            )
        log_event(
            "drain_finished",
            callers_arrived=self._arrived,
            callers_refused=self._turned_away,
            finished=ended.get(Outcome.FINISHED, 0),
            refused=ended.get(Outcome.REFUSED, 0),
            in_doubt=ended.get(Outcome.IN_DOUBT, 0),
            caller_lost=ended.get(Outcome.CALLER_LOST, 0),
            cut_off=len(cut),
            neighbour_requests_cut_off=neighbour_requests,
            elapsed_ms=_milliseconds(now - since),
        )


def _milliseconds(seconds: float) -> float:
    return round(seconds * MILLISECONDS, 1)
