"""Data classes of the stand-in."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any, Self

from dogwoodspool_common import Address, Role


@dataclass(frozen=True, slots=True)
class LoggedStatement:
    """One write statement with what its answer depends on besides the rows.

    Attributes:
        sql: text as SQLite ran it.
        now: wall clock that ``NOW()`` gave, seconds since the epoch, so that a
            replica writes the same value later.
        last_insert_id: what ``LAST_INSERT_ID()`` gave.
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
        """Build the entry from its parts as they are stored and sent."""
        statements = tuple(LoggedStatement(*item) for item in json.loads(text))
        return cls(offset, term, statements)


@dataclass(frozen=True, slots=True)
class LogBatch:
    """Answer to one pull of the log.

    Attributes:
        source_term: term of the lineage of the server that answers.
        last_offset: its last entry when it answered.
        is_match: whether the puller's last entry is part of its log.
        waited_ms: time for which it held the pull back.
        failure_domain: where it runs.
        entries: entries after the puller's last one, empty without a match.
    """

    source_term: int
    last_offset: int
    is_match: bool
    waited_ms: float
    failure_domain: str
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class Link:
    """What a replica was told to follow.

    Attributes:
        generation: grows with each change of role or followed server, so that
            work begun under an earlier one is recognised and thrown away.
    """

    address: Address
    term: int
    generation: int


@dataclass(frozen=True, slots=True)
class DurableState:
    """What a server knows about itself again after a restart.

    Attributes:
        term: term of the lineage that its rows belong to.
        fenced_term: writes under an older term are refused.
        follow: the server that it follows, None on a primary or an idle replica.
        follow_term: term under which it was told to follow.
    """

    role: Role
    term: int
    fenced_term: int
    follow: Address | None
    follow_term: int


@dataclass(frozen=True, slots=True)
class Done:
    """Outcome of a statement without rows."""

    affected_rows: int = 0
    last_insert_id: int = 0


@dataclass(frozen=True, slots=True)
class Rows:
    """Head of a result; the rest is fetched chunk by chunk."""

    columns: tuple[str, ...]
    first: Sequence[Sequence[Any]]
    is_whole: bool


Outcome = Done | Rows


class StatementKind(Enum):
    """How a statement is carried out."""

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
    """A caller's statement after its first reading.

    Attributes:
        sql: text for SQLite.
        original: text as it came, for a translation where SQLite refuses ``sql``.
        is_locking: a read that takes the write lock (``FOR UPDATE``).
        insert_table: table of an insert, else None.
    """

    kind: StatementKind
    sql: str
    original: str
    is_locking: bool = False
    insert_table: str | None = None
