"""Backend servers with slots, connections and replicas that lag."""

from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from dogwoodspool_common import BackendServer, Position
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_connections import ConnectionLimitError, OutcomeUnknownError

from .const import REFUSAL_SECONDS
from .models import Servers
from .outcomes import SlotTimes
from .timeline import Timeline


class Answer(Enum):
    """How a server answers a statement."""

    OK = auto()
    BUSY = auto()
    BEHIND = auto()
    NONE = auto()


Done = Callable[[Answer], None]


@dataclass(eq=False)
class Connection:
    """A connection to an emulated server; see ``PooledConnection``."""

    server: "Server"
    answered_at: float
    is_probing: bool = False
    generation: int = 0
    is_open: bool = True
    has_begun: bool = False
    went_silent: bool = False
    in_transaction: bool = False
    needs_reset: bool = False
    has_unread_answer: bool = False

    def has_unexpected_input(self) -> bool:
        """Tell whether the idle connection holds bytes or its end."""
        return not self.is_open

    def ping(self, timeout: float) -> None:
        """Ask for a sign of life."""
        if not self.server.is_up:
            self.close()
            raise OutcomeUnknownError("no answer")

    def reset(self, timeout: float) -> None:
        """Make the connection fit for another caller."""

    def close(self) -> None:
        """Close the connection at once."""
        if self.is_open:
            self.is_open = False
            self.server.connections -= 1


@dataclass(slots=True)
class _Job:
    connection: Connection
    work: float
    floor: Position | None
    done: Done


@dataclass
class GroupLog:
    """The commits of a group, by which replicas lag."""

    times: list[float] = field(default_factory=lambda: [0.0])

    def append(self, at: float) -> None:
        """Note a commit."""
        self.times.append(at)

    def position(self, at: float) -> Position:
        """Return how far the log was at a time."""
        return Position(1, bisect_right(self.times, at))


class Server:
    """One backend server.

    Attributes:
        described: as control's view describes it.
        is_primary: it takes writes, and has the whole log.
        is_up: it answers.
        lag: seconds by which it is behind, where it is a replica.
        connections: those that are open.
    """

    def __init__(
        self,
        described: BackendServer,
        settings: Servers,
        log: GroupLog,
        timeline: Timeline,
        times: SlotTimes,
        *,
        is_primary: bool,
    ) -> None:
        self.described = described
        self.is_primary = is_primary
        self.is_up = True
        self.lag = 0.0 if is_primary else settings.lag_ms / MILLISECONDS
        self.connections = 0
        self._settings = settings
        self._log = log
        self._timeline = timeline
        self._times = times
        self._running = 0
        self._waiting: deque[_Job] = deque()

    @property
    def position(self) -> Position:
        """How far its data is."""
        return self._log.position(self._timeline.now() - self.lag)

    def connect(self) -> Connection:
        """Open a connection; its time is that of its first statement."""
        self._times.connects += 1
        if self.connections >= self._settings.connections:
            self._times.refused_connects += 1
            raise ConnectionLimitError(f"{self.described.name} takes no more")
        self.connections += 1
        return Connection(self, self._timeline.now())

    def run(
        self, connection: Connection, work: float, floor: Position | None, done: Done
    ) -> None:
        """Run a statement, at once or when a slot comes free."""
        self._times.arrivals += 1
        if not self.is_up:
            return  # Its caller finds out by the deadline.
        if self._running < self._settings.slots:
            self._start(_Job(connection, work, floor, done))
        elif len(self._waiting) < self._settings.queue:
            self._waiting.append(_Job(connection, work, floor, done))
        else:
            self._times.refusals += 1
            self._timeline.after(REFUSAL_SECONDS, lambda: done(Answer.BUSY))

    def commit(self) -> None:
        """Note a commit of the group."""
        self._log.append(self._timeline.now())

    def _start(self, job: _Job) -> None:
        self._running += 1
        connecting = 0.0
        if not job.connection.has_begun:
            job.connection.has_begun = True
            connecting = self._settings.connect_ms / MILLISECONDS
        is_behind = job.floor is not None and self.position < job.floor
        work = 0.0 if is_behind else job.work
        self._times.connecting += connecting
        self._times.working += work
        answer = Answer.BEHIND if is_behind else Answer.OK
        if is_behind:
            self._times.behind += 1
        seconds = connecting + max(work, REFUSAL_SECONDS)
        self._timeline.after(seconds, lambda: self._end(job, answer))

    def _end(self, job: _Job, answer: Answer) -> None:
        self._running -= 1
        job.connection.answered_at = self._timeline.now()
        if self._waiting:
            self._start(self._waiting.popleft())
        if self.is_up:
            job.done(answer)
