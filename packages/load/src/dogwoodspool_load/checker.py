"""Decide from a history and the final tables whether every rule held.

No library of the registry checks such histories in Python (the known checkers are
programs for other runtimes and check linearizability, which asynchronous replicas
do not promise), so these rules are the project's own. Each is one function.
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
    """Operations of a history: reads, and writes by request.

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
                raise HistoryError(f"an answer without its invocation: {key}")

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
    """Return every violation of every rule.

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
        yield from _whole_answer(read.invocation, rows)
        yield from _both_or_none(read.invocation, rows)
        yield from _read_your_writes(history, read.invocation, rows)
        yield from _stated_age(history, read.invocation, rows)


def _check_final(history: History, final: GroupFinal) -> Iterator[Violation]:
    held = Counter((row.tag, row.part) for row in final.rows)
    writes = {
        tag: write
        for tag, write in history.writes.items()
        if write.first.group == final.group
    }
    for tag, write in writes.items():
        parts = [held[tag, part] for part in range(1, write.first.rows_written + 1)]
        yield from _acknowledged_write(final, write, parts)
        yield from _at_most_once(final, write, parts)
        yield from _not_run(final, write, parts)
        yield from _promotion_safety(final, write)
    yield from _final_rows(final, writes)


def _whole_answer(read: Invocation, rows: Sequence[RowSeen]) -> Iterator[Violation]:
    def violation(detail: str) -> Violation:
        return Violation(Rule.WHOLE_ANSWER, read.group, read.request, detail)

    for row in rows:
        if row.marker != read.request:
            yield violation(f"a row of the answer to {row.marker}")
        if row.checksum != checksum_of(row.tag, row.part, row.body):
            yield violation(f"the row of {row.tag} has a wrong checksum")
        if row.total != len(rows):
            yield violation(f"{len(rows)} rows of {row.total}")
            return


def _both_or_none(read: Invocation, rows: Sequence[RowSeen]) -> Iterator[Violation]:
    if read.table is not Table.PAIRS:
        return
    seen = defaultdict(list)
    for row in rows:
        seen[row.tag].append(row.part)
    for tag, parts in seen.items():
        if sorted(parts) != [1, 2]:
            detail = f"the transaction {tag} shows parts {sorted(parts)}"
            yield Violation(Rule.TRANSACTIONS, read.group, read.request, detail)


def _read_your_writes(
    history: History, read: Invocation, rows: Sequence[RowSeen]
) -> Iterator[Violation]:
    seen = {row.tag for row in rows}
    for write in _writes_read(history, read):
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
                f"not read through {read.proxy}, "
                f"{(read.at - done.answer.at) * MILLISECONDS:.1f} ms later"
            )
            yield Violation(Rule.READ_YOUR_WRITES, read.group, read.request, detail)


def _stated_age(
    history: History, read: Invocation, rows: Sequence[RowSeen]
) -> Iterator[Violation]:
    if read.max_age_ms is None:
        return
    seen = {row.tag for row in rows}
    oldest = read.at - read.max_age_ms / MILLISECONDS
    for write in _writes_read(history, read):
        done = write.acknowledged
        if done is None or done.answer is None or done.answer.at >= oldest:
            continue
        if write.first.request not in seen:
            age = (read.at - done.answer.at) * MILLISECONDS
            detail = (
                f"{write.first.request}, acknowledged {age:.0f} ms before, is missing "
                f"from a read of at most {read.max_age_ms} ms age at {read.proxy}"
            )
            yield Violation(Rule.STATED_AGE, read.group, read.request, detail)


def _writes_read(history: History, read: Invocation) -> Iterator[WriteRequest]:
    for write in history.writes_by_room.get(read.room, ()):
        if write.first.table is read.table and write.first.group == read.group:
            yield write


def _acknowledged_write(
    final: GroupFinal, write: WriteRequest, parts: Sequence[int]
) -> Iterator[Violation]:
    done = write.acknowledged
    if done is not None and 0 in parts:
        position = done.answer.position if done.answer else None
        detail = (
            f"acknowledged through {done.invocation.proxy} at {position}, "
            f"rows in the end: {list(parts)}"
        )
        yield Violation(
            Rule.ACKNOWLEDGED_WRITE, final.group, write.first.request, detail
        )


def _at_most_once(
    final: GroupFinal, write: WriteRequest, parts: Sequence[int]
) -> Iterator[Violation]:
    if any(count > 1 for count in parts):
        outcomes = [str(attempt.outcome) for attempt in write.attempts]
        detail = f"rows in the end: {list(parts)}; its attempts ended {outcomes}"
        yield Violation(Rule.AT_MOST_ONCE, final.group, write.first.request, detail)


def _not_run(
    final: GroupFinal, write: WriteRequest, parts: Sequence[int]
) -> Iterator[Violation]:
    if write.must_be_absent and any(parts):
        outcomes = [str(attempt.outcome) for attempt in write.attempts]
        detail = f"rows in the end: {list(parts)}; its attempts ended {outcomes}"
        yield Violation(Rule.NOT_RUN, final.group, write.first.request, detail)


def _promotion_safety(final: GroupFinal, write: WriteRequest) -> Iterator[Violation]:
    done = write.acknowledged
    if done is None or done.answer is None or done.answer.position is None:
        return
    position = done.answer.position
    start = _branch_before(position, final.term_starts)
    if start is not None:
        detail = f"acknowledged at {position}, past the branch {start}"
        yield Violation(Rule.PROMOTION_SAFETY, final.group, write.first.request, detail)


def _branch_before(
    position: Position, term_starts: Sequence[Position]
) -> Position | None:
    for start in term_starts:
        if start.term > position.term and start.offset < position.offset:
            return start
    return None


def _final_rows(
    final: GroupFinal, writes: dict[str, WriteRequest]
) -> Iterator[Violation]:
    pairs: dict[str, list[int]] = defaultdict(list)
    for row in final.rows:
        if row.checksum != checksum_of(row.tag, row.part, row.body):
            detail = "a stored row has a wrong checksum"
            yield Violation(Rule.WHOLE_ANSWER, final.group, row.tag, detail)
        write = writes.get(row.tag)
        if write is None or not _is_its_own(row, write):
            detail = f"a row of no request in {row.table} {row.room}"
            yield Violation(Rule.TRANSACTIONS, final.group, row.tag, detail)
        if row.table is Table.PAIRS:
            pairs[row.tag].append(row.part)
    for tag, parts in pairs.items():
        if set(parts) != {1, 2}:
            detail = f"only parts {sorted(parts)} of the transaction are stored"
            yield Violation(Rule.TRANSACTIONS, final.group, tag, detail)


def _is_its_own(row: FinalRow, write: WriteRequest) -> bool:
    return row.table is write.first.table and row.room == write.first.room
