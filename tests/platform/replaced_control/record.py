"""What the operator and the callers of a day saw, and what is wrong with it."""

import bisect
import threading
import time
from dataclasses import dataclass, field

from .const import (
    CONFIG_APPLY_SECONDS,
    ROLLBACK_SLACK_SECONDS,
    STABLE_SECONDS,
    UNSTABLE_APPLY_SECONDS,
)

# Answers that tell whether the proxy knows the database.
TELLING = ("READY", "NODB")


@dataclass
class Version:
    """One configuration that the operator sent.

    Attributes:
        databases: databases that it has.
        acknowledged_at: when it was acknowledged first; None before.
        by: host of the process that acknowledged it.
    """

    number: int
    databases: frozenset[str]
    sent_at: float
    acknowledged_at: float | None = None
    by: str = ""


@dataclass(frozen=True)
class Answer:
    """Answer of a proxy to a caller that connects to a database.

    Attributes:
        life: number of the proxy's process, of all that ran there.
        word: ``READY`` or the error code.
        way: what was sent, the start of a session or a statement on an open one.
    """

    edge: str
    life: int
    database: str
    word: str
    sent_at: float
    answered_at: float
    way: str = "start"

    @property
    def is_use(self) -> bool:
        """Whether a statement has run on a server of the database."""
        starts = ("start", "BEGIN", "BEGIN READ")
        return self.word == "READY" and not self.way.endswith(starts)


@dataclass(frozen=True)
class Finding:
    """An answer that only an older version than allowed explains.

    Attributes:
        age: seconds since the last start of the proxy or event of a control process.
        lateness: seconds since the version that it lacks was acknowledged.
        edge_age: seconds since the proxy's process was started.
        since_power_loss: seconds since all lost their power; negative before.
        database: that the caller connected to.
        control_age: seconds since a control process last answered the operator.
    """

    kind: str
    host: str
    at: float
    age: float
    what: str
    lateness: float = 0.0
    edge_age: float = 0.0
    since_power_loss: float = -1.0
    database: str = ""
    control_age: float = 0.0

    @property
    def counts(self) -> bool:
        """Whether the rules excuse it by no event shortly before."""
        is_excused = self.age <= STABLE_SECONDS
        is_within = self.lateness <= UNSTABLE_APPLY_SECONDS
        return self.kind != "late" or not is_excused or not is_within

    @property
    def group(self) -> str:
        """What happened shortly before."""
        if self.kind != "late":
            return self.kind
        if self.age > STABLE_SECONDS:
            return "without an event"
        if self.lateness > UNSTABLE_APPLY_SECONDS:
            return "beyond 15 s"
        if 0 <= self.since_power_loss <= STABLE_SECONDS:
            return "after the loss of all power"
        return "within 15 s"


@dataclass
class Record:
    """What the operator and the callers saw."""

    versions: list[Version] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    findings: list[Finding] = field(default_factory=list)
    # Starts and ends of control processes.
    core_events: list[float] = field(default_factory=list)
    edge_starts: dict[str, list[float]] = field(default_factory=dict)
    # When proxies were stopped and continued, by host.
    edge_pauses: dict[str, list[float]] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)
    # All databases of all versions, valid or not, in the order they came.
    ever: list[str] = field(default_factory=list)
    power_lost_at: float = float("inf")
    # When control processes answered the operator with a success.
    control_answers: list[float] = field(default_factory=list)
    started_at: float = field(default_factory=time.monotonic)
    clock_at_start: float = field(default_factory=time.time)
    lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def edge_clock_starts(self) -> dict[str, list[float]]:
        """Times of day at which proxies were started, by host."""
        offset = self.clock_at_start - self.started_at
        return {
            host: [offset + one for one in starts]
            for host, starts in self.edge_starts.items()
        }

    def add(self, version: Version) -> None:
        """Add a version that is about to be sent."""
        seen = set(self.ever)
        self.versions.append(version)
        self.ever += sorted(version.databases - seen)

    def note(self, text: str) -> None:
        """Write down what happened, with its time."""
        elapsed = time.monotonic() - self.started_at
        clock = time.strftime("%H:%M:%S", time.gmtime())
        millis = int(time.time() * 1000) % 1000
        with self.lock:
            self.notes.append(f"{elapsed:8.3f} {clock}.{millis:03d} {text}")

    def age(self, host: str, at: float) -> float:
        """Return the seconds since the last event that concerns a host."""
        events = [
            *self.core_events,
            *self.edge_starts.get(host, []),
            *self.edge_pauses.get(host, []),
        ]
        return min((at - one for one in events if one <= at), default=1e9)

    def _control_age(self, at: float) -> float:
        before = [one for one in self.control_answers if one <= at]
        return at - max(before, default=self.started_at)

    def _life_began(self, host: str, at: float) -> float:
        return max(
            (one for one in self.edge_starts.get(host, []) if one <= at), default=0.0
        )

    def required(self, sent_at: float) -> int:
        """Return the number of versions up to the one that must be in force."""
        due = [
            index
            for index, one in enumerate(self.versions)
            if one.acknowledged_at is not None
            and one.acknowledged_at + CONFIG_APPLY_SECONDS < sent_at
        ]
        return due[-1] if due else -1

    def check(self) -> None:
        """Judge all answers of proxies."""
        self.answers.sort(key=lambda one: one.answered_at)
        for edge, life in sorted({(one.edge, one.life) for one in self.answers}):
            answers = [
                one for one in self.answers if (one.edge, one.life) == (edge, life)
            ]
            self._check_life(answers)

    def _check_life(self, answers: list[Answer]) -> None:
        shown_at: list[float] = []
        shown: list[int] = []
        for one in answers:
            if one.word not in TELLING:
                continue
            fitting = self._fitting(one)
            required = self.required(one.sent_at)
            if required >= 0 and not any(index >= required for index in fitting):
                self._judge("late", one, required)
            position = bisect.bisect_left(
                shown_at, one.sent_at - ROLLBACK_SLACK_SECONDS
            )
            floor = shown[position - 1] if position else -1
            if not any(index >= floor for index in fitting):
                self._judge("regression", one, floor)
            newest = shown[-1] if shown else -1
            implied = min((index for index in fitting if index >= newest), default=-1)
            if implied > newest:
                shown_at.append(one.answered_at)
                shown.append(implied)

    def find(self, kind: str, host: str, what: str) -> None:
        """Add a finding of now."""
        now = time.monotonic()
        at = now - self.started_at
        self.findings.append(Finding(kind, host, at, self.age(host, now), what))

    def lateness(self, one: Answer) -> float:
        """Return for how long a version has been acknowledged that an answer lacks."""
        if one.word not in TELLING:
            return 0.0
        newest = max(self._fitting(one), default=-1)
        acknowledged = [
            version.acknowledged_at
            for version in self.versions[newest + 1 :]
            if version.acknowledged_at is not None
        ]
        return one.sent_at - min(acknowledged, default=one.sent_at)

    def _fitting(self, one: Answer) -> list[int]:
        """Return the versions that explain an answer."""
        return [
            index
            for index, version in enumerate(self.versions)
            if version.sent_at < one.answered_at
            and (one.database in version.databases) == (one.word == "READY")
        ]

    def _judge(self, kind: str, one: Answer, index: int) -> None:
        version = self.versions[index]
        acknowledged = version.acknowledged_at
        since = "" if acknowledged is None else f"{one.sent_at - acknowledged:.3f}"
        self.findings.append(
            Finding(
                kind,
                one.edge,
                one.sent_at - self.started_at,
                self.age(one.edge, one.sent_at),
                f"{one.edge} life {one.life} answers {one.word} to {one.way} of "
                f"{one.database}; version {version.number} was acknowledged by "
                f"{version.by} {since} s before",
                self.lateness(one),
                one.sent_at - self._life_began(one.edge, one.sent_at),
                one.sent_at - self.power_lost_at,
                one.database,
                self._control_age(one.sent_at),
            )
        )
