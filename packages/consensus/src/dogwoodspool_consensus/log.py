"""The in-memory log, kept in sync with its storage."""

from collections.abc import Sequence

from .const import ENTRY_OVERHEAD_BYTES
from .models import Entry, EntryKind, LogBase
from .storage import LogStorage


class ReplicatedLog:
    """Hold the entries after the base.

    The caller holds the node's lock.
    """

    def __init__(
        self, storage: LogStorage, base: LogBase, entries: Sequence[Entry]
    ) -> None:
        self._storage = storage
        self._base = base
        self._entries = list(entries)
        self.durable_index = self.last_index

    @property
    def base(self) -> LogBase:
        """Index and term of the entry right before the first one held."""
        return self._base

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._base.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base.term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; None if the log does not hold it."""
        if index == self._base.index:
            return self._base.term
        if not self._base.index < index <= self.last_index:
            return None
        return self._entries[index - self._base.index - 1].term

    def entries_from(
        self, index: int, max_entries: int, max_bytes: int
    ) -> tuple[Entry, ...]:
        """Return entries from ``index`` on within both limits.

        At least one entry is returned if there is one, even above ``max_bytes``.
        """
        start = index - self._base.index - 1
        chosen: list[Entry] = []
        size = 0
        for entry in self._entries[start : start + max_entries]:
            size += len(entry.data) + ENTRY_OVERHEAD_BYTES
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def all_entries(self) -> tuple[Entry, ...]:
        """Return every entry held."""
        return tuple(self._entries)

    def last_noop(self) -> Entry | None:
        """Return the newest no-op entry, which begins a leader's term; None if none."""
        for entry in reversed(self._entries):
            if entry.kind is EntryKind.NOOP:
                return entry
        return None

    def append(self, entries: Sequence[Entry]) -> None:
        """Add entries; they are durable only after a sync."""
        self._entries.extend(entries)
        self._storage.append(entries)

    def sync(self) -> None:
        """Make all entries durable."""
        self._storage.sync()
        self.durable_index = self.last_index

    def first_index_of_term(self, index: int) -> int:
        """Return the first held index with the same term as the entry at ``index``."""
        term = self.term_at(index)
        while index - 1 > self._base.index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def truncate(self, index: int) -> None:
        """Drop the entries from ``index`` on."""
        del self._entries[index - self._base.index - 1 :]
        self._storage.truncate(index)
        self.durable_index = min(self.durable_index, self.last_index)

    def compact(self, index: int) -> None:
        """Drop the entries up to ``index``, which a snapshot covers."""
        term = self.term_at(index)
        if term is None or index <= self._base.index:
            return
        kept = self._entries[index - self._base.index :]
        self._replace(LogBase(index, term), kept)

    def install(self, base: LogBase) -> None:
        """Continue after a snapshot.

        Later entries are kept only if the log holds the snapshot's last entry, which
        proves that they follow it.
        """
        if self.term_at(base.index) == base.term:
            self.compact(base.index)
        else:
            self._replace(base, [])

    def _replace(self, base: LogBase, entries: list[Entry]) -> None:
        self._storage.rewrite(base, entries)
        self._base = base
        self._entries = entries
        self.durable_index = self.last_index
