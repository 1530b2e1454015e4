"""Emulated backend servers with slots, connections and replication lag."""

import math
import random
from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from dogwoodspool_common import BackendServer, Position
from dogwoodspool_common.const import MILLISECONDS, NEVER
from dogwoodspool_connections import ConnectionLimitError, OutcomeUnknownError

from .const import LAG_STEP_SECONDS, REFUSAL_SECONDS
from .models import Servers
from .outcomes import ServerStats
from .timeline import Timeline


class Answer(Enum):
    """How a server answers a statement."""

    OK = auto()
    BUSY = auto()
    BEHIND = auto()
    NONE = auto()


AnswerCallback = Callable[[Answer], None]


@dataclass(eq=False)
class Connection:
    """A connection to an emulated server; see ``PooledConnection``.

    Attributes:
        has_begun: whether its first statement, which takes the time to connect as
            well, was started.
        is_dead: whether the process that opened it has ended unnoticed.
    """

    server: "Server"
    answered_at: float
    is_probing: bool = False
    generation: int = 0
    account: str = ""
    running_since: float = NEVER
    used_at: float = NEVER
    is_open: bool = True
    is_dead: bool = False
    has_begun: bool = False
    went_silent: bool = False
    in_transaction: bool = False
    needs_reset: bool = False
    has_unread_answer: bool = False

    def has_unexpected_input(self) -> bool:
        """Return whether an idle connection has received bytes or an end of stream."""
        return not self.is_open

    def ping(self, timeout: float) -> None:
        """Check that the server answers."""
        if not self.server.is_up:
            self.close()
            raise OutcomeUnknownError("the server did not answer a ping")

    def reset(self, timeout: float) -> None:
        """Reset the session state, of which an emulated connection has none."""

    def close(self) -> None:
        """Close the connection at once."""
        if self.is_open:
            self.is_open = False
            self.server.dead_connections -= self.is_dead
            self.server.end_connection()

    def mark_dead(self) -> None:
        """Record that the process that opened it has ended."""
        if self.is_open and not self.is_dead:
            self.is_dead = True
            self.server.dead_connections += 1


@dataclass(slots=True)
class _Job:
    connection: Connection
    work: float
    min_position: Position | None
    on_answer: AnswerCallback


@dataclass
class GroupLog:
    """The commit times of a group, from which replicas derive their positions."""

    times: list[float] = field(default_factory=lambda: [0.0])

    def append(self, at: float) -> None:
        """Record a commit."""
        self.times.append(at)

    def position(self, at: float) -> Position:
        """Return the position of the log at a time."""
        return Position(1, bisect_right(self.times, at))


class Server:
    """One backend server.

    Attributes:
        server_info: the server as in control's view.
        is_primary: whether it takes writes and has the whole log.
        is_up: whether it answers.
        lag: replication lag in seconds; 0 for the primary.
        connections: number of open connections.
        dead_connections: those of processes that have ended unnoticed.
    """

    def __init__(
        self,
        server_info: BackendServer,
        settings: Servers,
        log: GroupLog,
        timeline: Timeline,
        stats: ServerStats,
        *,
        is_primary: bool,
        random_source: random.Random | None = None,
    ) -> None:
        self.server_info = server_info
        self.is_primary = is_primary
        self.is_up = True
        self.lag = 0.0 if is_primary else settings.lag_ms / MILLISECONDS
        self.connections = self.dead_connections = 0
        self._settings = settings
        self._log = log
        self._timeline = timeline
        self._stats = stats
        self._random = random_source or random.Random(server_info.name)
        self._drawn_until = 0.0
        self._drawn_lag = self.lag
        self._reached = Position(1, 0)
        if is_primary:
            stats.primaries.add(server_info.name)
        self._running = 0
        self._waiting: deque[_Job] = deque()

    @property
    def position(self) -> Position:
        """Position of its data."""
        now = self._timeline.now()
        reached = self._log.position(now - self._current_lag(now))
        self._reached = max(self._reached, reached)
        return self._reached

    def position_at(self, at: float) -> Position:
        """Return the position of the group's log at a time."""
        return self._log.position(at)

    def connect(self) -> Connection:
        """Open a connection; its first statement takes the time to connect as well."""
        self._stats.connects += 1
        if self.connections >= self._settings.connections:
            self._stats.refused_connects += 1
            living = self.connections - self.dead_connections
            self._stats.refused_by_living += living >= self._settings.connections
            raise ConnectionLimitError(
                f"{self.server_info.name} has reached its limit of "
                f"{self._settings.connections} connections"
            )
        self.connections += 1
        self._stats.most_connections = max(
            self._stats.most_connections, self.connections
        )
        return Connection(self, self._timeline.now())

    def end_connection(self) -> None:
        """Stop counting a connection once its close has been handled."""
        if not self._settings.close_ms:
            self.connections -= 1
            return
        seconds = self._settings.close_ms / MILLISECONDS
        self._timeline.after(seconds, self._uncount_connection)

    def run(
        self,
        connection: Connection,
        work: float,
        min_position: Position | None,
        on_answer: AnswerCallback,
    ) -> None:
        """Run a statement once a slot is free; refuse it if the queue is full."""
        self._stats.arrivals += 1
        if not self.is_up:
            return  # The caller notices when its deadline has passed.
        if self._running < self._settings.slots:
            self._start(_Job(connection, work, min_position, on_answer))
        elif len(self._waiting) < self._settings.queue:
            self._waiting.append(_Job(connection, work, min_position, on_answer))
        else:
            self._stats.refusals += 1
            self._timeline.after(REFUSAL_SECONDS, lambda: on_answer(Answer.BUSY))

    def _current_lag(self, now: float) -> float:
        spread = self._settings.lag_spread
        if not spread or not self.lag or math.isinf(self.lag):
            return self.lag
        if now >= self._drawn_until:
            self._drawn_until = now + LAG_STEP_SECONDS
            factor = self._random.lognormvariate(-(spread**2) / 2, spread)
            self._drawn_lag = self.lag * factor
        return self._drawn_lag

    def commit(self) -> None:
        """Record a commit of the group."""
        self._log.append(self._timeline.now())

    def _uncount_connection(self) -> None:
        self.connections -= 1

    def _start(self, job: _Job) -> None:
        self._running += 1
        connecting = 0.0
        if not job.connection.has_begun:
            job.connection.has_begun = True
            connecting = self._settings.connect_ms / MILLISECONDS
        is_behind = job.min_position is not None and self.position < job.min_position
        work = 0.0 if is_behind else job.work
        self._stats.connecting += connecting
        self._stats.working += work
        answer = Answer.BEHIND if is_behind else Answer.OK
        if is_behind:
            self._stats.behind += 1
        else:
            self._stats.by_server[self.server_info.name] += 1
        seconds = connecting + max(work, REFUSAL_SECONDS)
        self._timeline.after(seconds, lambda: self._end(job, answer))

    def _end(self, job: _Job, answer: Answer) -> None:
        self._running -= 1
        job.connection.answered_at = self._timeline.now()
        if self._waiting:
            self._start(self._waiting.popleft())
        if self.is_up:
            job.on_answer(answer)
