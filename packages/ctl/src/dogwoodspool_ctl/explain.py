"""Summarize from process logs which requests failed or were late, and why."""

import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Final

from .log_lines import LogLine

# Events of requests, with the log field that is shown beside the event.
REQUEST_EVENTS: Final = {
    "request_not_served": "code",
    "request_late": "kind",
    "caller_refused": None,
    "database_refused": None,
    "key_refused": None,
}
# Events that report a change of the system's state; they get rows of their own.
STATE_EVENTS: Final = frozenset(
    {
        "became_leader",
        "quorum_lost",
        "failover_phase",
        "rotation_changed",
        "drain_started",
        "edge_started",
        "core_started",
        "proxy_started",
        "control_started",
    }
)
# Names of servers, addresses and numbers, which differ between requests that failed
# for the same reason.
_VARIABLE_PARTS: Final = re.compile(
    r"\b(?:\d+(?:\.\d+){3}(?::\d+)?|i-[0-9a-f]+|(?=[a-z]*\d)[a-z0-9]{6,})\b"
)
MASK: Final = "*"


@dataclass(slots=True)
class Row:
    """Requests of one time span with the same outcome, or a change of state.

    Attributes:
        begin: start of the span.
        what: the event with its code or kind.
        reason: the reason, with the names that differ between requests masked.
        count: number of events.
        instances: number of events by the instance that logged them.
        example: id of one of the requests, to look for in the logs.
    """

    begin: datetime
    what: str
    reason: str
    count: int = 0
    instances: Counter[str] = field(default_factory=Counter)
    example: str = "-"


def summarize(lines: Iterable[LogLine], seconds: float) -> list[Row]:
    """Return the rows of log lines, by time span and then by descending count.

    Args:
        lines: log lines of any processes, in any order.
        seconds: length of one span.
    """
    rows: dict[tuple[datetime, str, str], Row] = {}
    for line in lines:
        row_key = _classify(line)
        if row_key is None:
            continue
        begin = _span_start(line.time, seconds)
        row = rows.setdefault((begin, *row_key), Row(begin, *row_key))
        row.count += line.count
        row.instances[line.instance] += line.count
        if row.example == "-":
            row.example = line.fields.get("request", "-")
    return sorted(rows.values(), key=lambda row: (row.begin, -row.count, row.what))


def _classify(line: LogLine) -> tuple[str, str] | None:
    """Return a line's event and reason for its row; None if it is not reported."""
    if line.event in REQUEST_EVENTS:
        key = REQUEST_EVENTS[line.event]
        kind = f" {line.fields.get(key, '-')}" if key else ""
        reason = _VARIABLE_PARTS.sub(MASK, line.fields.get("reason", "-"))
        return f"{line.event}{kind}", reason
    if line.event in STATE_EVENTS:
        phase = line.fields.get("phase") or line.fields.get("group") or ""
        return f"[{line.event}]", phase
    return None


def _span_start(time: datetime, seconds: float) -> datetime:
    begin = time.timestamp() // seconds * seconds
    return datetime.fromtimestamp(begin, tz=time.tzinfo)
