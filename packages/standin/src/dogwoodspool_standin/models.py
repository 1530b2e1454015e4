"""Data classes of the stand-in."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any, Self

from dogwoodspool_common import Address, Role


@dataclass(frozen=True, slots=True)
class LoggedStatement:
    """One write statement with the values it depends on besides the rows.

    Attributes:
        sql: text that SQLite executed.
        now: wall-clock time that ``NOW()`` returned, in seconds since the epoch,
            so that a replica writes the same value later.
        last_insert_id: value that ``LAST_INSERT_ID()`` returned.
    """

    sql: str
    now: float
    last_insert_id: int


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One committed write transaction."""

    offset: int
    term: int
    statements: tuple[LoggedStatement, ...]

    def statements_json(self) -> str:
        """Return the statements as JSON text."""
        return json.dumps(
            [[item.sql, item.now, item.last_insert_id] for item in self.statements],
            separators=(",", ":"),
        )

    @classmethod
    def from_json(cls, offset: int, term: int, text: str) -> Self:
        """Build the entry from its stored or received fields."""
        statements = tuple(LoggedStatement(*item) for item in json.loads(text))
        return cls(offset, term, statements)


@dataclass(frozen=True, slots=True)
class LogBatch:
    """Answer to one pull of the log.

    Attributes:
        source_term: term of the answering server's log.
        last_offset: offset of its last entry when it answered.
        is_match: whether the replica's last entry is part of its log.
        waited_ms: time in milliseconds that it waited for a new entry.
        failure_domain: failure domain of the answering server.
        entries: entries after the replica's last one, empty without a match.
    """

    source_term: int
    last_offset: int
    is_match: bool
    waited_ms: float
    failure_domain: str
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class Link:
    """The server and term that a replica was told to follow.

    Attributes:
        generation: incremented with each change of role or followed server, so
            that work begun under an earlier one is recognised and discarded.
    """

    address: Address
    term: int
    generation: int


@dataclass(frozen=True, slots=True)
class DurableState:
    """State of a server that survives a restart.

    Attributes:
        term: term of the log that its rows belong to.
        fenced_term: writes under an older term are rejected.
        follow: the server that it follows, None on a primary or on a replica that
            follows none.
        follow_term: term under which it was told to follow.
    """

    role: Role
    term: int
    fenced_term: int
    follow: Address | None
    follow_term: int


@dataclass(frozen=True, slots=True)
class OkResult:
    """Result of a statement without rows."""

    affected_rows: int = 0
    last_insert_id: int = 0


@dataclass(frozen=True, slots=True)
class Rows:
    """First chunk of a result; the rest is fetched chunk by chunk.

    Attributes:
        is_complete: whether the first chunk is the complete result.
    """

    columns: tuple[str, ...]
    first_chunk: Sequence[Sequence[Any]]
    is_complete: bool


Outcome = OkResult | Rows


class StatementKind(Enum):
    """Kind of a statement, which determines how it is executed."""

    READ = auto()
    WRITE = auto()
    SCHEMA = auto()
    BEGIN = auto()
    COMMIT = auto()
    ROLLBACK = auto()
    SAVEPOINT = auto()
    SET = auto()
    VARIABLES = auto()
    SHOW = auto()
    USE = auto()
    COMMAND = auto()


@dataclass(frozen=True, slots=True)
class Statement:
    """A classified statement of a caller.

    Attributes:
        sql: text for SQLite.
        original: text as received, translated if SQLite rejects ``sql``.
        is_locking: whether a read takes the write lock, such as ``FOR UPDATE``.
        insert_table: table of an insert, None for other statements.
    """

    kind: StatementKind
    sql: str
    original: str
    is_locking: bool = False
    insert_table: str | None = None
