"""What the logs say around a finding."""

from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Final

from .record import Finding, Record

AROUND_SECONDS: Final = 0.4
LINES: Final = 12
EVENTS: Final = (
    "view_in_force",
    "view_late",
    "first_view",
    "newer_view_found",
    "database",
    "removed_database_used",
    "served_unconfirmed",
    "view_not_confirmed",
    "control_",
    "watch_",
    "presence_failed",
    "edge_started",
    "drain_started",
)


def trace(record: Record, finding: Finding, folder: Path) -> list[str]:
    """Return the lines of a proxy's log around a finding, and its last view before."""
    at = datetime.fromtimestamp(record.clock_at_start + finding.at, UTC)
    begin = stamp(at - timedelta(seconds=AROUND_SECONDS))
    end = stamp(at + timedelta(seconds=AROUND_SECONDS))
    last_view, around = "", []
    log = folder / f"{finding.host}.log"
    if not log.exists():
        return []
    for line in log.read_text(errors="replace").splitlines():
        moment = line.partition(" ")[0].removeprefix("time=")
        if moment < begin and ("view_in_force" in line or "first_view" in line):
            last_view = line
        named = any(f"event={one}" in line for one in EVENTS)
        about = finding.database and finding.database in line
        if begin <= moment <= end and (named or about):
            around.append(line)
    return [f"at {stamp(at)}", f"before: {last_view}", *around[:LINES]]


def stamp(at: datetime) -> str:
    """Return a time as logs have it."""
    return at.strftime("%Y-%m-%dT%H:%M:%S.") + f"{at.microsecond // 1000:03d}+00:00"
