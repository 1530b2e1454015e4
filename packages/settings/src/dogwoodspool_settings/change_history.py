"""The latest accepted changes, for operators and for rollbacks."""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any

from .models import HistoryEntry
from .redaction import redact


class ChangeHistory:
    """Hold accepted changes with their secrets, the oldest dropped first."""

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
        # A copy first: an operator's look at the history would fail when a change is
        # applied meanwhile. The copy is one step of the interpreter.
        newest_first = reversed(list(self._entries))
        entries = [entry for entry in newest_first if path in (None, entry.path)]
        return [_redacted(entry) for entry in entries[:limit]]

    def overrides_of(self, path: str, version: int) -> Mapping[str, Any] | None:
        """Return what a node overrode at one version, if that is still held."""
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
