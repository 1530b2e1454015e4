"""The latest accepted changes, for operators and for rollbacks."""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any

from .models import HistoryEntry
from .redaction import redact


class ChangeHistory:
    """Store accepted changes with their secrets and drop the oldest first."""

    def __init__(self, retained: int, entries: Iterable[HistoryEntry] = ()) -> None:
        self._entries: deque[HistoryEntry] = deque(entries, maxlen=retained)

    def all(self) -> list[HistoryEntry]:
        """Return the entries with their secrets, the oldest first."""
        return list(self._entries)

    def append(self, entry: HistoryEntry) -> None:
        """Add the newest entry."""
        self._entries.append(entry)

    def latest(self, limit: int, path: str | None) -> list[HistoryEntry]:
        """Return redacted entries of one path or of all, the newest first."""
        # Copy first: an operator's request for the history would fail when a change is
        # applied meanwhile. The copy is one step of the interpreter, which no other
        # thread can interrupt.
        newest_first = reversed(list(self._entries))
        entries = [entry for entry in newest_first if path in (None, entry.path)]
        return [_redacted(entry) for entry in entries[:limit]]

    def overrides_of(self, path: str, version: int) -> Mapping[str, Any] | None:
        """Return a node's overrides at one version, None if no longer retained."""
        for entry in self._entries:
            if entry.path == path and entry.version == version:
                return entry.overrides
        return None


def _redacted(entry: HistoryEntry) -> HistoryEntry:
    overrides = None if entry.overrides is None else redact(entry.overrides)
    return HistoryEntry(
        entry.index,
        entry.change_id,
        entry.author,
        entry.path,
        entry.version,
        overrides,
    )
