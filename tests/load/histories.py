"""Build small histories for tests of the checker."""

from dogwoodspool_common import Position
from dogwoodspool_load.models import (
    Answer,
    Event,
    FinalRow,
    GroupFinal,
    Invocation,
    Outcome,
    RequestKind,
    RowSeen,
    Table,
)
from dogwoodspool_load.rows import body_of, checksum_of

GROUP = "chat1"
ROOM = "room-1"


def row(tag: str, marker: str, total: int, part: int = 1) -> RowSeen:
    body = body_of(tag, part)
    return RowSeen(marker, tag, part, body, checksum_of(tag, part, body), total)


def stored(tag: str, table: Table = Table.LINES, part: int = 1) -> FinalRow:
    body = body_of(tag, part)
    return FinalRow(table, ROOM, tag, part, body, checksum_of(tag, part, body))


def final(*rows: FinalRow, term_starts: tuple[Position, ...] = ()) -> GroupFinal:
    return GroupFinal(GROUP, 1, rows, term_starts)


def write(
    tag: str,
    at: float,
    outcome: Outcome = Outcome.OK,
    *,
    attempt: int = 1,
    session: str = "s1",
    table: Table = Table.LINES,
    rows_written: int = 1,
    position: Position | None = None,
) -> list[Event]:
    """Return the two events of one attempt that takes a tenth of a second."""
    invocation = Invocation(
        at=at,
        caller="c1",
        session=session,
        request=tag,
        attempt=attempt,
        kind=RequestKind.CHAT_LINE,
        group=GROUP,
        proxy="proxy-1",
        table=table,
        room=ROOM,
        rows_written=rows_written,
    )
    return [invocation, Answer(at + 0.1, tag, attempt, outcome, position=position)]


def read(
    name: str,
    at: float,
    rows: tuple[RowSeen, ...],
    *,
    session: str = "s1",
    table: Table = Table.LINES,
    max_age_ms: int | None = None,
) -> list[Event]:
    invocation = Invocation(
        at=at,
        caller="c1",
        session=session,
        request=name,
        attempt=1,
        kind=RequestKind.INBOX,
        group=GROUP,
        proxy="proxy-2",
        table=table,
        room=ROOM,
        max_age_ms=max_age_ms,
    )
    return [invocation, Answer(at + 0.1, name, 1, Outcome.OK, rows=rows)]
