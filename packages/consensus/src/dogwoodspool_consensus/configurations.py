"""History of the configurations in the log."""

import json
from collections.abc import Iterable
from dataclasses import dataclass

from .models import Configuration, Entry, EntryKind


@dataclass(frozen=True, slots=True)
class ConfigurationAt:
    """A configuration and the index of its log entry."""

    index: int
    configuration: Configuration


class ConfigurationHistory:
    """Track the newest configuration in the log, committed or not.

    A configuration takes effect as soon as it is appended. When its entry is
    truncated, the previous configuration takes effect again.
    """

    def __init__(self, base: ConfigurationAt, entries: Iterable[Entry]) -> None:
        self._configurations = [base]
        self.add(entries)

    @property
    def current(self) -> Configuration:
        """The newest configuration."""
        return self._configurations[-1].configuration

    @property
    def current_index(self) -> int:
        """Index of the log entry of the newest configuration."""
        return self._configurations[-1].index

    def add(self, entries: Iterable[Entry]) -> None:
        """Record the configurations in appended entries."""
        for entry in entries:
            if entry.kind is EntryKind.CONFIGURATION:
                content = Configuration.from_json(json.loads(entry.data))
                self._configurations.append(ConfigurationAt(entry.index, content))

    def truncate(self, index: int) -> None:
        """Remove the configurations of entries from ``index`` on."""
        while len(self._configurations) > 1 and self._configurations[-1].index >= index:
            self._configurations.pop()

    def at(self, index: int) -> Configuration:
        """Return the configuration in force after the entry ``index``."""
        known = [item for item in self._configurations if item.index <= index]
        return (known[-1] if known else self._configurations[0]).configuration

    def install(self, base: ConfigurationAt, entries: Iterable[Entry]) -> None:
        """Restart from a snapshot's configuration and the entries that follow it."""
        self._configurations = [base]
        self.add(entries)
