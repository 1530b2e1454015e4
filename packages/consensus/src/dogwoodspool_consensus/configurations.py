"""The configurations that the log holds."""

import json
from collections.abc import Iterable
from dataclasses import dataclass

from .models import Configuration, Entry, EntryKind


@dataclass(frozen=True, slots=True)
class ConfigurationAt:
    """A configuration and the index of the entry that holds it."""

    index: int
    configuration: Configuration


class ConfigurationHistory:
    """Follow the newest configuration in the log, committed or not.

    A configuration counts from when it is appended, and an entry that is
    truncated gives way to the configuration before it.
    """

    def __init__(self, base: ConfigurationAt, entries: Iterable[Entry]) -> None:
        self._known = [base]
        self.add(entries)

    @property
    def current(self) -> Configuration:
        """The newest configuration."""
        return self._known[-1].configuration

    @property
    def current_index(self) -> int:
        """Index of the entry that holds the newest configuration."""
        return self._known[-1].index

    def add(self, entries: Iterable[Entry]) -> None:
        """Take in appended entries."""
        for entry in entries:
            if entry.kind is EntryKind.CONFIGURATION:
                content = Configuration.from_json(json.loads(entry.data))
                self._known.append(ConfigurationAt(entry.index, content))

    def truncate(self, index: int) -> None:
        """Forget the configurations of entries from ``index`` on."""
        while len(self._known) > 1 and self._known[-1].index >= index:
            self._known.pop()

    def at(self, index: int) -> Configuration:
        """Return the configuration in force after the entry ``index``."""
        known = [item for item in self._known if item.index <= index]
        return (known[-1] if known else self._known[0]).configuration

    def install(self, base: ConfigurationAt, entries: Iterable[Entry]) -> None:
        """Begin again behind a snapshot with the entries that follow it."""
        self._known = [base]
        self.add(entries)
