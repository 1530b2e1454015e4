"""Entry point of the tool that explains requests from process logs."""

import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Final, TextIO

from docopt import docopt
from dogwoodspool_common import SettingsError, run_program

from .explain import Row, summarize
from .log_lines import LogLine, parse_lines

USAGE: Final = """Sum up from process logs which requests failed or were late, and why.

Usage:
  dogwoodspool-explain [options] [FILE...]
  dogwoodspool-explain -h | --help

Options:
  --seconds=N        Length of one span of time [default: 1].
  --from=TIME        Leave out what is earlier, as 2026-10-14T10:54:26.
  --until=TIME       Leave out what is later.
  --instance=PREFIX  Only instances whose names begin so.
  --least=N          Leave out rows with fewer requests [default: 1].

FILE has the output of one process or of many, in any order; without one the standard
input is read. Rows in brackets are changes of the system's state. Names of servers,
addresses and numbers in reasons are left out (*), so that alike reasons add up; EXAMPLE
is a request's id to look for in the logs.
"""
MAX_INSTANCES_SHOWN: Final = 3


def main() -> int:
    """Write the table for the log files given as arguments."""
    arguments = docopt(USAGE)
    begin = _parse_time(arguments["--from"])
    end = _parse_time(arguments["--until"])
    prefix = arguments["--instance"] or ""
    lines = (
        line
        for line in parse_lines(_read_files(arguments["FILE"]))
        if line.instance.startswith(prefix) and _is_between(line, begin, end)
    )
    rows = summarize(lines, _parse_positive_number(arguments, "--seconds"))
    write_table(rows, _parse_positive_number(arguments, "--least"), sys.stdout)
    return 0


def run() -> None:
    """Run the program."""
    run_program(main)


def write_table(rows: Iterable[Row], min_count: float, output: TextIO) -> None:
    """Write rows as text, with the time of a span only on its first row."""
    shown = None
    for row in rows:
        if row.count < min_count and not row.what.startswith("["):
            continue
        time = row.begin.strftime("%H:%M:%S.%f")[:-3]
        column = time if time != shown else " " * len(time)
        shown = time
        output.write(
            f"{column} {row.count:>6}  {row.what:<28} {row.reason:<46} "
            f"{_format_instances(row.instances)}  {row.example}\n"
        )


def _format_instances(instances: Counter[str]) -> str:
    named = [
        f"{name}:{count}" for name, count in instances.most_common(MAX_INSTANCES_SHOWN)
    ]
    rest = len(instances) - MAX_INSTANCES_SHOWN
    return " ".join(named) + (f" and {rest} more" if rest > 0 else "")


def _read_files(names: list[str]) -> Iterator[str]:
    if not names:
        yield from sys.stdin
    for name in names:
        try:
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            raise SettingsError(f"{name}: {error.strerror}") from error


def _is_between(line: LogLine, begin: datetime | None, end: datetime | None) -> bool:
    if begin is not None and line.time < begin:
        return False
    return end is None or line.time <= end


def _parse_time(text: str | None) -> datetime | None:
    if text is None:
        return None
    try:
        time = datetime.fromisoformat(text)
    except ValueError as error:
        raise SettingsError(
            f"{text}: not an ISO 8601 time such as 2026-10-14T10:54:26"
        ) from error
    # Log times have an offset; an argument without one is taken as UTC, as in logs.
    return time if time.tzinfo else datetime.fromisoformat(f"{text}+00:00")


def _parse_positive_number(arguments: dict[str, str], option: str) -> float:
    try:
        number = float(arguments[option])
    except ValueError:
        number = 0.0
    if number <= 0:
        raise SettingsError(
            f"{option} must be a number above 0, got {arguments[option]!r}"
        )
    return number
