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
    """One statement, from a caller or of the pooler's own.

    Attributes:
        request_id: the caller's name for the request; ``OWN_REQUEST`` for the
            pooler's own statements.
        text: the caller's words, which reach the server as they are.
        name: of the value that is set, or of the prepared statement.
        argument: the value, the shape of a prepared statement, or what it is
            executed with.
        access: of a statement that is prepared.
        wait_for: position that a server must have before it reads or begins.
    """

    kind: StatementKind
    request_id: str = OWN_REQUEST
    text: str = ""
    name: str = ""
    argument: str = ""
    access: Access | None = None
    wait_for: Position | None = None


class TransactionState(StrEnum):
    """Where a session or connection stands."""

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

    @property
    def is_not_run(self) -> bool:
        """Whether the server that says so has not run the statement."""
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
    """Why a statement has no result, in words.

    Attributes:
        retry_after_ms: when to come back; 0 where that is not known.
    """

    code: ErrorCode
    message: str
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class Reply:
    """A server's complete answer to one statement.

    Attributes:
        rows: the rows, as the server sent them.
        proof: the server's proof that it ran the statement.
        error: why there is no result.
        state: where the connection stands now.
        position: how far the server's log is.
    """

    rows: tuple[str, ...]
    proof: str
    error: StatementError | None
    state: TransactionState
    position: Position | None


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller is told.

    Attributes:
        state: where its session stands now.
    """

    state: TransactionState
    rows: tuple[str, ...] = ()
    proof: str = NO_PROOF
    error: StatementError | None = None


@dataclass(frozen=True, slots=True)
class Prepared:
    """What a prepared statement does, whatever a session calls it."""

    access: Access
    shape: str
