"""Data classes of the pooler library."""

from dataclasses import dataclass
from enum import StrEnum

from dogwoodspool_common import Position

from .const import NO_PROOF, OWN_REQUEST


class StatementKind(StrEnum):
    """What a statement does."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin_read_only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"
    RESET = "reset"


class Access(StrEnum):
    """Whether a prepared statement reads or writes."""

    READ = "read"
    WRITE = "write"


@dataclass(frozen=True, slots=True)
class Statement:
    """One statement, from a caller or issued by the pooler itself.

    Attributes:
        request_id: id that the caller gave the request; ``OWN_REQUEST`` for statements
            that the pooler itself issues.
        text: the caller's text, which is sent to the server unchanged.
        name: name of the value to set or of the prepared statement.
        argument: value to set, shape of the statement to prepare, or argument to
            execute a prepared statement with.
        access: whether a statement to prepare reads or writes; else None.
        wait_for: position that a server must have reached before it reads or begins.
    """

    kind: StatementKind
    request_id: str = OWN_REQUEST
    text: str = ""
    name: str = ""
    argument: str = ""
    access: Access | None = None
    wait_for: Position | None = None


class TransactionState(StrEnum):
    """Transaction state of a session or connection."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class ErrorCode(StrEnum):
    """Why a statement has no result."""

    BUSY = "busy"
    BEHIND = "behind"
    READ_ONLY = "read_only"
    WRONG_SERVER = "wrong_server"
    CONNECTION_LIMIT = "connection_limit"
    UNKNOWN_STATEMENT = "unknown_statement"
    ABORTED = "aborted"
    FAILED = "failed"
    TIMEOUT = "timeout"
    IN_DOUBT = "in_doubt"
    NO_DATABASE = "no_database"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    UNKNOWN_KEY = "unknown_key"

    @property
    def is_not_run(self) -> bool:
        """Whether a server that answers with this code did not run the statement."""
        return self in _NOT_RUN


_NOT_RUN = frozenset(
    {
        ErrorCode.BUSY,
        ErrorCode.BEHIND,
        ErrorCode.READ_ONLY,
        ErrorCode.WRONG_SERVER,
        ErrorCode.CONNECTION_LIMIT,
        ErrorCode.UNKNOWN_STATEMENT,
    }
)


@dataclass(frozen=True, slots=True)
class StatementError:
    """Why a statement has no result.

    Attributes:
        message: explanation for the caller.
        retry_after_ms: milliseconds until a retry makes sense; 0 if unknown.
    """

    code: ErrorCode
    message: str
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class Reply:
    """A server's complete reply to one statement.

    Attributes:
        rows: the rows as the server sent them.
        proof: the server's proof that it ran the statement.
        error: why there is no result; None if there is one.
        state: transaction state of the connection after the statement.
        position: position of the server's log; None if not known.
    """

    rows: tuple[str, ...]
    proof: str
    error: StatementError | None
    state: TransactionState
    position: Position | None


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a caller's statement.

    Attributes:
        state: transaction state of its session after the statement.
    """

    state: TransactionState
    rows: tuple[str, ...] = ()
    proof: str = NO_PROOF
    error: StatementError | None = None


@dataclass(frozen=True, slots=True)
class Prepared:
    """Content of a prepared statement, independent of the name in a session."""

    access: Access
    shape: str


def writes(statement: Statement, prepared: Prepared | None) -> bool:
    """Return whether a statement changes data, given what it executes, if anything."""
    if prepared is not None:
        return prepared.access is Access.WRITE
    return statement.kind is StatementKind.WRITE
