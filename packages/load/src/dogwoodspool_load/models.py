"""Events of a recorded history, the final state of a group, and violations."""

from dataclasses import dataclass, field
from enum import StrEnum

from dogwoodspool_common import Position


class RequestKind(StrEnum):
    """Kinds of requests that callers send."""

    CHAT_LINE = "chat-line"
    INBOX = "inbox"
    ORDER = "order"
    ORDER_LOOKUP = "order-lookup"
    TRIAL_RECORD = "trial-record"
    REPORT = "report"
    BROWSE = "browse"
    BROWSE_AGED = "browse-aged"


class Table(StrEnum):
    """Tables that a run writes to in each database group."""

    LINES = "load_lines"
    REPORTS = "load_reports"
    PAIRS = "load_pairs"


class Outcome(StrEnum):
    """Outcome of one attempt as its caller sees it.

    ``NOT_SENT`` is an attempt whose statement was never sent; ``ABORTED`` is a
    transaction that ended without a commit being sent.
    """

    OK = "ok"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    NOT_SENT = "not-sent"
    ABORTED = "aborted"


class Rule(StrEnum):
    """Rules that must hold in every history."""

    READ_YOUR_WRITES = "read-your-writes"
    STATED_AGE = "stated-age"
    ACKNOWLEDGED_WRITE = "acknowledged-write"
    AT_MOST_ONCE = "at-most-once"
    NOT_RUN = "not-run"
    WHOLE_ANSWER = "whole-answer"
    TRANSACTIONS = "transactions"
    PROMOTION_SAFETY = "promotion-safety"


@dataclass(frozen=True, slots=True)
class RowSeen:
    """One row of an answer.

    Attributes:
        marker: marker of the read that the answer belongs to; the statement makes the
            database return it in each row.
        total: rows of the whole answer as the database counted them in the same
            statement.
    """

    marker: str
    tag: str
    part: int
    body: str
    checksum: str
    total: int


@dataclass(frozen=True, slots=True)
class Invocation:
    """Start of one attempt of a request, recorded before it is sent.

    Attributes:
        at: monotonic seconds.
        session: name of the caller's session; a new session begins when the caller
            has lost its token or the proxy refused it.
        request: name of the request, the same for all its attempts; also the
            tag of the rows that it writes and the marker of a read.
        rows_written: rows that the request writes; 0 for a read.
    """

    at: float
    caller: str
    session: str
    request: str
    attempt: int
    kind: RequestKind
    group: str
    proxy: str
    table: Table
    room: str
    rows_written: int = 0
    max_age_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Answer:
    """End of one attempt of a request.

    Attributes:
        position: the group's position in the session's token after a write.
    """

    at: float
    request: str
    attempt: int
    outcome: Outcome
    message: str = ""
    rows: tuple[RowSeen, ...] = ()
    position: Position | None = None


Event = Invocation | Answer


@dataclass(frozen=True, slots=True)
class FinalRow:
    """One row that the primary stores after the run."""

    table: Table
    room: str
    tag: str
    part: int
    body: str
    checksum: str


@dataclass(frozen=True, slots=True)
class GroupFinal:
    """State of a database group after the run.

    Attributes:
        term_starts: start position of each term, as committed by control.
    """

    group: str
    term: int
    rows: tuple[FinalRow, ...]
    term_starts: tuple[Position, ...] = ()


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule by a history."""

    rule: Rule
    group: str
    request: str
    detail: str


@dataclass(slots=True)
class Operation:
    """One attempt with its answer; without an answer its outcome is unknown."""

    invocation: Invocation
    answer: Answer | None = None

    @property
    def outcome(self) -> Outcome:
        """Outcome of the attempt."""
        return self.answer.outcome if self.answer else Outcome.UNKNOWN


@dataclass(slots=True)
class WriteRequest:
    """All attempts of one write in the order of their invocations."""

    attempts: list[Operation] = field(default_factory=list)

    @property
    def first(self) -> Invocation:
        """The first attempt's invocation."""
        return self.attempts[0].invocation

    @property
    def acknowledged(self) -> Operation | None:
        """The first attempt that was acknowledged, if any."""
        for attempt in self.attempts:
            if attempt.outcome is Outcome.OK:
                return attempt
        return None

    @property
    def must_be_absent(self) -> bool:
        """Whether the outcomes exclude that any attempt had an effect."""
        return all(
            attempt.outcome not in (Outcome.OK, Outcome.UNKNOWN)
            for attempt in self.attempts
        )
