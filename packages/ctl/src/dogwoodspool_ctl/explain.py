"""Sum up from process logs which requests were not served as they should, and why."""

import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Final

from .log_lines import LogLine

# Events of requests, and what a row of them is named by.
REQUEST_EVENTS: Final = {
    "request_not_served": "code",
    "request_late": "kind",
    "caller_refused": None,
    "no_database": None,
}
# Events that tell of the system's own state; each change has a row of its own.
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
# Names of servers, addresses and numbers: what differs between two requests that
# failed for one reason.
_VARYING: Final = re.compile(
    r"\b(?:\d+(?:\.\d+){3}(?::\d+)?|i-[0-9a-f]+|(?=[a-z]*\d)[a-z0-9]{6,})\b"
)
MASK: Final = "*"


@dataclass(slots=True)
class Row:
    """Requests of one span of time that ended alike, or one change of state.

    Attributes:
        begin: start of the span.
        what: the event with its code or kind.
        reason: why, without the names in which the requests differ.
        count: how many.
        instances: processes that logged it, with their shares of the count.
        example: one request's id, to look for in the logs.
    """

    begin: datetime
    what: str
    reason: str
    count: int = 0
    instances: Counter[str] = field(default_factory=Counter)
    example: str = "-"


def sum_up(lines: Iterable[LogLine], seconds: float) -> list[Row]:
    """Return the rows of some lines, in the order of time, the greatest first.

    Args:
        lines: what the processes logged, in any order.
        seconds: length of one span.
    """
    rows: dict[tuple[datetime, str, str], Row] = {}
    for line in lines:
        named = _name(line)
        if named is None:
            continue
        begin = _span(line.time, seconds)
        row = rows.setdefault((begin, *named), Row(begin, *named))
        row.count += line.count
        row.instances[line.instance] += line.count
        if row.example == "-":
            row.example = line.fields.get("request", "-")
    return sorted(rows.values(), key=lambda row: (row.begin, -row.count, row.what))


def _name(line: LogLine) -> tuple[str, str] | None:
    """Return what a line is about and why; None for a line of no interest here."""
    if line.event in REQUEST_EVENTS:
        key = REQUEST_EVENTS[line.event]
        kind = f" {line.fields.get(key, '-')}" if key else ""
        reason = _VARYING.sub(MASK, line.fields.get("reason", "-"))
        return f"{line.event}{kind}", reason
    if line.event in STATE_EVENTS:
        phase = line.fields.get("phase") or line.fields.get("group") or ""
        return f"[{line.event}]", phase
    return None


def _span(time: datetime, seconds: float) -> datetime:
    begin = time.timestamp() // seconds * seconds
    return datetime.fromtimestamp(begin, tz=time.tzinfo)
