"""Check from a history and the final tables whether every rule held.

No Python library of the package registry checks such histories: the known checkers
are programs for other runtimes and check linearizability, which asynchronous replicas
do not guarantee. The rules are therefore implemented here, one function each.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence

from dogwoodspool_common import Position
from dogwoodspool_common.const import MILLISECONDS

from .errors import HistoryError
from .models import (
    Event,
    FinalRow,
    GroupFinal,
    Invocation,
    Operation,
    Outcome,
    RowSeen,
    Rule,
    Table,
    Violation,
    WriteRequest,
)
from .rows import checksum_of


class History:
    """Operations of a history: reads, and writes grouped by request.

    Raises:
        HistoryError: an answer has no invocation.
    """

    def __init__(self, events: Iterable[Event]) -> None:
        self.reads: list[Operation] = []
        self.writes: dict[str, WriteRequest] = {}
        self.writes_by_room: dict[str, list[WriteRequest]] = defaultdict(list)
        operations: dict[tuple[str, int], Operation] = {}
        for event in events:
            key = (event.request, event.attempt)
            if isinstance(event, Invocation):
                operations[key] = Operation(event)
                self._add(operations[key])
            elif key in operations:
                operations[key].answer = event
            else:
                raise HistoryError(
                    f"answer without invocation: (request, attempt) {key}"
                )

    def _add(self, operation: Operation) -> None:
        invocation = operation.invocation
        if not invocation.rows_written:
            self.reads.append(operation)
            return
        write = self.writes.get(invocation.request)
        if write is None:
            write = self.writes[invocation.request] = WriteRequest()
            self.writes_by_room[invocation.room].append(write)
        write.attempts.append(operation)


def check_history(
    events: Iterable[Event], finals: Sequence[GroupFinal]
) -> list[Violation]:
    """Return the violations of all rules.

    Example:
        >>> check_history(read_history(path), finals)
        []
    """
    history = History(events)
    violations = [*_check_reads(history)]
    for final in finals:
        violations += _check_final(history, final)
    return violations


def _check_reads(history: History) -> Iterator[Violation]:
    for read in history.reads:
        if read.outcome is not Outcome.OK or read.answer is None:
            continue
        rows = read.answer.rows
        yield from _check_whole_answer(read.invocation, rows)
        yield from _check_atomic_reads(read.invocation, rows)
        yield from _check_read_your_writes(history, read.invocation, rows)
        yield from _check_max_age(history, read.invocation, rows)


def _check_final(history: History, final: GroupFinal) -> Iterator[Violation]:
    stored = Counter((row.tag, row.part) for row in final.rows)
    writes = {
        tag: write
        for tag, write in history.writes.items()
        if write.first.group == final.group
    }
    for tag, write in writes.items():
        parts = [stored[tag, part] for part in range(1, write.first.rows_written + 1)]
        yield from _check_acknowledged_write(final, write, parts)
        yield from _check_at_most_once(final, write, parts)
        yield from _check_not_run(final, write, parts)
        yield from _check_promotion_safety(final, write)
    yield from _check_final_rows(final, writes)


def _check_whole_answer(
    read: Invocation, rows: Sequence[RowSeen]
) -> Iterator[Violation]:
    def violation(detail: str) -> Violation:
        return Violation(Rule.WHOLE_ANSWER, read.group, read.request, detail)

    for row in rows:
        if row.marker != read.request:
            yield violation(f"a row belongs to the answer to {row.marker}")
        if row.checksum != checksum_of(row.tag, row.part, row.body):
            yield violation(f"row {row.tag} has a wrong checksum")
        if row.total != len(rows):
            yield violation(f"received {len(rows)} of {row.total} rows")
            return


def _check_atomic_reads(
    read: Invocation, rows: Sequence[RowSeen]
) -> Iterator[Violation]:
    if read.table is not Table.PAIRS:
        return
    seen = defaultdict(list)
    for row in rows:
        seen[row.tag].append(row.part)
    for tag, parts in seen.items():
        if sorted(parts) != [1, 2]:
            detail = f"transaction {tag} is visible only with parts {sorted(parts)}"
            yield Violation(Rule.TRANSACTIONS, read.group, read.request, detail)


def _check_read_your_writes(
    history: History, read: Invocation, rows: Sequence[RowSeen]
) -> Iterator[Violation]:
    seen = {row.tag for row in rows}
    for write in _writes_to_room(history, read):
        done = write.acknowledged
        if (
            done is None
            or done.answer is None
            or done.invocation.session != read.session
            or done.answer.at > read.at
            or read.session == ""
        ):
            continue
        if write.first.request not in seen:
            detail = (
                f"own write {write.first.request} through {done.invocation.proxy} is "
                f"missing from a read through {read.proxy} "
                f"{(read.at - done.answer.at) * MILLISECONDS:.1f} ms later"
            )
            yield Violation(Rule.READ_YOUR_WRITES, read.group, read.request, detail)


def _check_max_age(
    history: History, read: Invocation, rows: Sequence[RowSeen]
) -> Iterator[Violation]:
    if read.max_age_ms is None:
        return
    seen = {row.tag for row in rows}
    oldest = read.at - read.max_age_ms / MILLISECONDS
    for write in _writes_to_room(history, read):
        done = write.acknowledged
        if done is None or done.answer is None or done.answer.at >= oldest:
            continue
        if write.first.request not in seen:
            age = (read.at - done.answer.at) * MILLISECONDS
            detail = (
                f"write {write.first.request}, acknowledged {age:.0f} ms before, is "
                f"missing from a read with max_age_ms={read.max_age_ms} through "
                f"{read.proxy}"
            )
            yield Violation(Rule.STATED_AGE, read.group, read.request, detail)


def _writes_to_room(history: History, read: Invocation) -> Iterator[WriteRequest]:
    for write in history.writes_by_room.get(read.room, ()):
        if write.first.table is read.table and write.first.group == read.group:
            yield write


def _check_acknowledged_write(
    final: GroupFinal, write: WriteRequest, parts: Sequence[int]
) -> Iterator[Violation]:
    done = write.acknowledged
    if done is not None and 0 in parts:
        position = done.answer.position if done.answer else None
        detail = (
            f"acknowledged through {done.invocation.proxy} at {position}, "
            f"rows per part after the run: {list(parts)}"
        )
        yield Violation(
            Rule.ACKNOWLEDGED_WRITE, final.group, write.first.request, detail
        )


def _check_at_most_once(
    final: GroupFinal, write: WriteRequest, parts: Sequence[int]
) -> Iterator[Violation]:
    if any(count > 1 for count in parts):
        outcomes = [str(attempt.outcome) for attempt in write.attempts]
        detail = f"rows per part after the run: {list(parts)}; outcomes {outcomes}"
        yield Violation(Rule.AT_MOST_ONCE, final.group, write.first.request, detail)


def _check_not_run(
    final: GroupFinal, write: WriteRequest, parts: Sequence[int]
) -> Iterator[Violation]:
    if write.must_be_absent and any(parts):
        outcomes = [str(attempt.outcome) for attempt in write.attempts]
        detail = f"rows per part after the run: {list(parts)}; outcomes {outcomes}"
        yield Violation(Rule.NOT_RUN, final.group, write.first.request, detail)


def _check_promotion_safety(
    final: GroupFinal, write: WriteRequest
) -> Iterator[Violation]:
    done = write.acknowledged
    if done is None or done.answer is None or done.answer.position is None:
        return
    position = done.answer.position
    start = _excluding_term_start(position, final.term_starts)
    if start is not None:
        detail = f"acknowledged at {position}, after the start {start} of a later term"
        yield Violation(Rule.PROMOTION_SAFETY, final.group, write.first.request, detail)


def _excluding_term_start(
    position: Position, term_starts: Sequence[Position]
) -> Position | None:
    for start in term_starts:
        if start.term > position.term and start.offset < position.offset:
            return start
    return None


def _check_final_rows(
    final: GroupFinal, writes: dict[str, WriteRequest]
) -> Iterator[Violation]:
    pairs: dict[str, list[int]] = defaultdict(list)
    for row in final.rows:
        if row.checksum != checksum_of(row.tag, row.part, row.body):
            detail = "the stored row has a wrong checksum"
            yield Violation(Rule.WHOLE_ANSWER, final.group, row.tag, detail)
        write = writes.get(row.tag)
        if write is None or not _is_written_by(row, write):
            detail = f"no request wrote this row to {row.table}, room {row.room}"
            yield Violation(Rule.TRANSACTIONS, final.group, row.tag, detail)
        if row.table is Table.PAIRS:
            pairs[row.tag].append(row.part)
    for tag, parts in pairs.items():
        if set(parts) != {1, 2}:
            detail = f"parts {sorted(parts)} of the transaction are stored"
            yield Violation(Rule.TRANSACTIONS, final.group, tag, detail)


def _is_written_by(row: FinalRow, write: WriteRequest) -> bool:
    return row.table is write.first.table and row.room == write.first.room
