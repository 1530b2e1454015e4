"""Data classes between the gateway and those who run statements."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum, auto
from typing import Protocol


class Outcome(StrEnum):
    """How a request that did not succeed ended; error messages begin with it."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class StatementKind(StrEnum):
    """What a statement means to the proxy."""

    READ = auto()
    WRITE = auto()
    DDL = auto()
    BEGIN = auto()
    BEGIN_READ_ONLY = auto()
    COMMIT = auto()
    ROLLBACK = auto()
    AUTOCOMMIT_ON = auto()
    AUTOCOMMIT_OFF = auto()
    IGNORED = auto()
    LOCAL_SELECT = auto()
    USE = auto()
    UNSUPPORTED = auto()


@dataclass(frozen=True, slots=True)
class Classified:
    """A statement's kind with what the kind needs.

    Attributes:
        kind: what the statement means to the proxy.
        names: variables and functions of a local select, the database of a
            ``USE``, or the reason of an unsupported statement.
    """

    kind: StatementKind
    names: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestProperties:
    """What a caller states about one request; None where it says nothing."""

    session: str | None = None
    request_id: str | None = None
    idempotent: bool | None = None
    max_age_ms: int | None = None
    deadline_ms: int | None = None
    traceparent: str | None = None


@dataclass(frozen=True, slots=True)
class StatementRequest:
    """One statement of a caller.

    Attributes:
        sql: the statement without its properties' comment.
        classified: what it means to the proxy.
        properties: what the caller states about it.
        arrived_at: clock time in seconds at which it was read.
    """

    sql: str
    classified: Classified
    properties: RequestProperties
    arrived_at: float


@dataclass(frozen=True, slots=True)
class AnswerColumn:
    """A column of an answer, as the backend server described it."""

    name: str
    type_code: int
    charset: int


@dataclass(frozen=True, slots=True)
class RowsAnswer:
    """A result set; rows may still be arriving.

    Attributes:
        columns: the columns in order.
        rows: raw values of the text protocol, None for NULL.
        finish: called exactly once when all rows were taken (True) or the
            caller went away before (False).
    """

    columns: tuple[AnswerColumn, ...]
    rows: Iterator[Sequence[bytes | str | None]]
    finish: Callable[[bool], None]


@dataclass(frozen=True, slots=True)
class DoneAnswer:
    """The end of a statement without a result set."""

    affected_rows: int = 0
    last_insert_id: int = 0


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """A request that did not succeed.

    Attributes:
        outcome: whether it ran.
        number: MySQL error number.
        sqlstate: five characters.
        message: reason in words, without the outcome.
        retry_after_ms: when to come back; None where coming back does not help.
    """

    outcome: Outcome
    number: int
    sqlstate: str
    message: str
    retry_after_ms: int | None = None

    def text(self) -> str:
        """Return the message as callers see it."""
        if self.retry_after_ms is None:
            return f"{self.outcome}: {self.message}"
        return f"{self.outcome}: retry_after_ms={self.retry_after_ms} {self.message}"


Answer = RowsAnswer | DoneAnswer | ErrorAnswer


class CallerSession(Protocol):
    """What runs one caller connection's statements, one at a time.

    All methods may block and are called in a thread of the gateway's pool.
    """

    @property
    def in_transaction(self) -> bool:
        """Tell whether a transaction is open."""
        ...

    @property
    def is_autocommit(self) -> bool:
        """Tell whether each statement commits by itself."""
        ...

    def use(self, database: str) -> ErrorAnswer | None:
        """Choose the database group."""
        ...

    def run(self, request: StatementRequest) -> Answer:
        """Run one statement."""
        ...

    def reset(self) -> None:
        """Roll back and forget what the connection has set."""
        ...

    def close(self) -> None:
        """Roll back and give everything back."""
        ...


class SessionFactory(Protocol):
    """Make the session of a new caller connection."""

    def open(self, user: str) -> CallerSession:
        """Return a session for an authenticated caller."""
        ...

    def password_hash(self, user: str) -> str | None:
        """Return the caller's ``mysql_native_password`` hash; None if unknown."""
        ...
