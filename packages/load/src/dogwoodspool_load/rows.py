"""Statements of a run, and rows with a checksum over their own columns."""

import zlib
from collections.abc import Sequence
from typing import Any, Final

from .models import FinalRow, RowSeen, Table

CREATE_TABLES: Final = tuple(
    f"CREATE TABLE IF NOT EXISTS {table} ("
    "id BIGINT PRIMARY KEY AUTO_INCREMENT, room VARCHAR(64) NOT NULL, "
    "tag VARCHAR(64) NOT NULL, part INT NOT NULL, body TEXT NOT NULL, "
    "checksum CHAR(8) NOT NULL)"
    for table in Table
) + (
    f"CREATE INDEX room_of_lines ON {Table.LINES} (room)",
    f"CREATE INDEX room_of_reports ON {Table.REPORTS} (room)",
    f"CREATE INDEX room_of_pairs ON {Table.PAIRS} (room)",
    f"CREATE UNIQUE INDEX tag_of_reports ON {Table.REPORTS} (tag, part)",
)


def body_of(tag: str, part: int) -> str:
    """Return the body of a row."""
    return f"text {part} of {tag}"


def checksum_of(tag: str, part: int, body: str) -> str:
    """Return the checksum of a row over its tag, part and body."""
    return f"{zlib.crc32(f'{tag}/{part}/{body}'.encode()):08x}"


def write_statement(table: Table, room: str, tag: str, part: int = 1) -> str:
    """Return the statement that writes one row.

    A report replaces its own row, so that running it twice has the same effect as
    running it once; in the other tables a second run shows as a second row.
    """
    verb = "REPLACE" if table is Table.REPORTS else "INSERT"
    body = body_of(tag, part)
    return (
        f"{verb} INTO {table} (room, tag, part, body, checksum) VALUES "
        f"('{room}', '{tag}', {part}, '{body}', '{checksum_of(tag, part, body)}')"
    )


def read_statement(table: Table, room: str, marker: str) -> str:
    """Return the statement that reads a room; each row has marker and row count."""
    return (
        f"SELECT '{marker}' AS marker, tag, part, body, checksum, "
        f"(SELECT COUNT(*) FROM {table} WHERE room = '{room}') AS total "
        f"FROM {table} WHERE room = '{room}' ORDER BY id"
    )


def final_statement(table: Table) -> str:
    """Return the statement that reads a whole table."""
    return f"SELECT room, tag, part, body, checksum FROM {table} ORDER BY id"


def with_properties(sql: str, **properties: object) -> str:
    """Prefix a statement with per-request properties; those of value None are omitted.

    Example:
        >>> with_properties("SELECT 1", session="abc", max_age_ms=None)
        "/*session='abc'*/ SELECT 1"
    """
    assignments = [
        f"{name}='{value}'" for name, value in properties.items() if value is not None
    ]
    return f"/*{','.join(assignments)}*/ {sql}" if assignments else sql


def row_seen(row: Sequence[Any]) -> RowSeen:
    """Convert a row of an answer."""
    marker, tag, part, body, checksum, total = row
    return RowSeen(
        str(marker), str(tag), int(part), str(body), str(checksum), int(total)
    )


def final_row(table: Table, row: Sequence[Any]) -> FinalRow:
    """Convert a row of the final read."""
    room, tag, part, body, checksum = row
    return FinalRow(table, str(room), str(tag), int(part), str(body), str(checksum))
