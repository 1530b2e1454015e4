"""Read the key=value lines that the system's processes log."""

import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from datetime import datetime
from typing import Final, Self

# A log collector may have put a prefix before the line, such as a host name.
_FIRST_KEY: Final = re.compile(r"(?:^|\s)time=")
_PAIR: Final = re.compile(r'([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPED: Final = re.compile(r"\\(.)")
_UNESCAPED: Final = {"n": "\n", "r": "\r"}


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event of one process.

    Attributes:
        time: when it was logged.
        event: name of the event.
        instance: instance name of the process.
        count: number of events that it represents: lines that many requests cause
            are rate limited, and the next one says how many were left out.
        fields: all key=value pairs of the line.
    """

    time: datetime
    event: str
    instance: str
    count: int
    fields: Mapping[str, str]

    @classmethod
    def parse(cls, text: str) -> Self | None:
        """Parse a line; return None if it is not a log line of the system."""
        begin = _FIRST_KEY.search(text)
        if begin is None:
            return None
        fields = {key: _unquote(raw) for key, raw in _PAIR.findall(text, begin.start())}
        if "event" not in fields:
            return None
        try:
            time = datetime.fromisoformat(fields["time"])
            count = 1 + int(fields.get("left_out", "0"))
        except ValueError:
            return None
        return cls(time, fields["event"], fields.get("instance", "-"), count, fields)


def parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines of the system, parsed; skip all other lines."""
    for text in texts:
        line = LogLine.parse(text)
        if line is not None:
            yield line


def _unquote(raw: str) -> str:
    if not raw.startswith('"'):
        return raw
    return _ESCAPED.sub(lambda found: _UNESCAPED.get(found[1], found[1]), raw[1:-1])
