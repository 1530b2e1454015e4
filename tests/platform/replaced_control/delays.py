"""How long proxies took to have documents in force, by the logs."""

import bisect
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Final

from .const import EDGE_HOSTS_FROM

COMMITTED: Final = "document_committed"
IN_FORCE: Final = "view_in_force"


@dataclass(frozen=True)
class Line:
    """A line of a log with the fields that matter here."""

    at: float
    event: str
    revision: int


@dataclass(frozen=True)
class Delay:
    """Time from a document's commit until a proxy had it, or one after it, in force.

    Attributes:
        is_open: whether the proxy's process ended without it.
    """

    seconds: float
    host: str
    revision: int
    is_open: bool

    def __str__(self) -> str:
        end = ", not in force at its end" if self.is_open else ""
        return f"{self.seconds:.3f} s at {self.host}, revision {self.revision}{end}"


def delays(folder: Path, starts: dict[str, list[float]]) -> list[Delay]:
    """Return the delays at all proxies, from their first views on.

    Args:
        folder: where the logs are.
        starts: times of day at which each proxy's processes were started, by host.
    """
    cores, edges = [], {}
    for log in sorted(folder.glob("*.log")):
        lines = list(read(log.read_text(errors="replace").splitlines()))
        if int(log.stem.rpartition(".")[2]) < EDGE_HOSTS_FROM:
            cores += lines
        else:
            edges[log.stem] = lines
    committed: dict[int, float] = {}
    for one in sorted(cores, key=lambda line: line.at):
        if one.event == COMMITTED:
            committed.setdefault(one.revision, one.at)
    return [
        delay
        for host, lines in edges.items()
        for life in lives(lines, starts[host])
        for delay in delays_of(host, life, committed)
    ]


def read(lines: Iterable[str]) -> Iterator[Line]:
    """Give the lines that have a time and an event."""
    for line in lines:
        fields = dict(one.partition("=")[::2] for one in line.split())
        if "time" in fields and "event" in fields:
            at = datetime.fromisoformat(fields["time"]).timestamp()
            yield Line(at, fields["event"], int(fields.get("revision", 0)))


def lives(lines: Iterable[Line], starts: list[float]) -> list[list[Line]]:
    """Return the lines of each process that ran at a host and wrote some."""
    found: dict[int, list[Line]] = {}
    for one in lines:
        found.setdefault(bisect.bisect(starts, one.at), []).append(one)
    return list(found.values())


def delays_of(
    host: str, life: list[Line], committed: dict[int, float]
) -> Iterator[Delay]:
    """Give the delays of the documents that came after a process's first view."""
    views = [one for one in life if one.event == IN_FORCE]
    for revision, at in committed.items():
        if not views or not views[0].at < at < life[-1].at:
            continue
        since = [one.at for one in views if one.revision >= revision]
        until = min(since, default=life[-1].at)
        yield Delay(until - at, host, revision, is_open=not since)
