"""Record events of concurrent callers as JSON lines, and read them back."""

import json
import threading
from dataclasses import asdict
from pathlib import Path
from typing import Any

from dogwoodspool_common import Position

from .errors import HistoryError
from .models import Answer, Event, Invocation, Outcome, RequestKind, RowSeen, Table


class HistoryRecorder:
    """Append events to a file.

    All callers of a run are threads of one process, so that their times come from
    one monotonic clock. An invocation is recorded before its statement is sent
    and an answer after it was received: the recorded interval contains the real
    one.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()

    def record(self, event: Event) -> None:
        """Append one event."""
        line = encode_event(event)
        with self._lock:
            self._file.write(line)

    def close(self) -> None:
        """Flush buffered events and close the file."""
        self._file.close()


def encode_event(event: Event) -> str:
    """Return an event as one JSON line."""
    name = "invocation" if isinstance(event, Invocation) else "answer"
    return json.dumps({"event": name, **asdict(event)}, separators=(",", ":")) + "\n"


def read_history(path: Path) -> list[Event]:
    """Read a recorded history.

    Raises:
        HistoryError: a line is not an event; the message has its line number.
    """
    events = []
    with path.open(encoding="utf-8") as lines:
        for number, line in enumerate(lines, start=1):
            try:
                events.append(_decode(json.loads(line)))
            except (ValueError, KeyError, TypeError) as error:
                raise HistoryError(f"{path.name} line {number}: {error}") from error
    return events


def _decode(content: dict[str, Any]) -> Event:
    if content.pop("event") == "invocation":
        kind = RequestKind(content.pop("kind"))
        return Invocation(kind=kind, table=Table(content.pop("table")), **content)
    rows = tuple(RowSeen(**row) for row in content.pop("rows"))
    position = content.pop("position")
    return Answer(
        outcome=Outcome(content.pop("outcome")),
        rows=rows,
        position=Position(**position) if position else None,
        **content,
    )
