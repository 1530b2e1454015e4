"""Data models and protocols between the gateway and the code that runs statements."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum, auto
from typing import Protocol


class Outcome(StrEnum):
    """Outcome of a request that did not succeed; error messages begin with it."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class StatementKind(StrEnum):
    """Kind of a statement, which determines how the proxy handles it."""

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
class Classification:
    """Classification of a statement.

    Attributes:
        kind: kind of the statement.
        names: variables and functions of a local select, the database of a
            ``USE``, or the unsupported element of an unsupported statement.
    """

    kind: StatementKind
    names: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestProperties:
    """Properties that a caller set for a request; None if not set."""

    session: str | None = None
    request_id: str | None = None
    idempotent: bool | None = None
    max_age_ms: int | None = None
    deadline_ms: int | None = None
    traceparent: str | None = None


@dataclass(frozen=True, slots=True)
class StatementRequest:
    """Statement sent by a caller.

    Attributes:
        sql: the statement without the comment that holds its properties.
        classified: classification of the statement.
        properties: properties set by the caller.
        arrived_at: clock time in seconds at which the request was read.
    """

    sql: str
    classified: Classification
    properties: RequestProperties
    arrived_at: float


@dataclass(frozen=True, slots=True)
class AnswerColumn:
    """Column of an answer, as reported by the backend server."""

    name: str
    type_code: int
    charset: int


@dataclass(frozen=True, slots=True)
class RowsAnswer:
    """Result set whose rows may still be arriving.

    Attributes:
        columns: the columns in order.
        rows: raw values of the text protocol, None for NULL.
        finish: called exactly once, with True after all rows were fetched or with
            False if the result was abandoned or interrupted before that.
    """

    columns: tuple[AnswerColumn, ...]
    rows: Iterator[Sequence[bytes | str | None]]
    finish: Callable[[bool], None]


@dataclass(frozen=True, slots=True)
class DoneAnswer:
    """Successful completion of a statement without a result set."""

    affected_rows: int = 0
    last_insert_id: int = 0


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """Error response to a request.

    Attributes:
        outcome: whether the request ran.
        number: MySQL error number.
        sqlstate: five-character SQLSTATE.
        message: description of the error, without the outcome.
        retry_after_ms: delay in milliseconds before a retry; None if a retry does
            not help.
    """

    outcome: Outcome
    number: int
    sqlstate: str
    message: str
    retry_after_ms: int | None = None

    def text(self) -> str:
        """Return the error message sent to the caller."""
        if self.retry_after_ms is None:
            return f"{self.outcome}: {self.message}"
        return f"{self.outcome}: retry_after_ms={self.retry_after_ms} {self.message}"


Answer = RowsAnswer | DoneAnswer | ErrorAnswer


class CallerSession(Protocol):
    """Run the statements of a caller's connection, one at a time.

    ``run`` may block and is called in a thread of the gateway's worker pool.
    ``reset`` and ``close`` may block and are called in other threads. ``use`` is
    called in the event loop and must not block.
    """

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open."""
        ...

    @property
    def is_autocommit(self) -> bool:
        """Return whether autocommit is on."""
        ...

    def use(self, database: str) -> ErrorAnswer | None:
        """Select the database group."""
        ...

    def run(self, request: StatementRequest) -> Answer:
        """Run a statement."""
        ...

    def reset(self) -> None:
        """Roll back and reset the connection's session state."""
        ...

    def close(self) -> None:
        """Roll back and release all resources."""
        ...


class SessionFactory(Protocol):
    """Create sessions of new caller connections and look up password hashes."""

    def open(self, user: str) -> CallerSession:
        """Return a session for an authenticated caller."""
        ...

    def password_hash(self, user: str) -> str | None:
        """Return the caller's ``mysql_native_password`` hash; None if unknown."""
        ...
