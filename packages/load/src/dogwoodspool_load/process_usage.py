"""Processor time and memory of a process, from /proc."""

import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Final

KIBIBYTE: Final = 1024
TICKS_PER_SECOND: Final = os.sysconf("SC_CLK_TCK")
# Fields of /proc/PID/stat after the program's name, see proc(5).
FIELD_UTIME: Final = 11
FIELD_STIME: Final = 12
PERCENT: Final = 100.0


@dataclass(frozen=True, slots=True)
class Usage:
    """Resources that a process used over a period.

    Attributes:
        cpu_percent: processor time in percent of one core.
        rss_bytes: resident memory at the end of the period.
        bytes_per_second: traffic; 0 if it was not counted.
    """

    seconds: float
    cpu_percent: float
    rss_bytes: int
    bytes_per_second: float


def measure_usage(pid: int, seconds: float, count_bytes: Callable[[], int]) -> Usage:
    """Measure the resources that a process uses over a period.

    Args:
        pid: the process.
        seconds: length of the period.
        count_bytes: returns the bytes of traffic so far.
    """
    cpu, traffic, began_at = cpu_seconds(pid), count_bytes(), time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - began_at
    return Usage(
        seconds=round(elapsed, 2),
        cpu_percent=round(PERCENT * (cpu_seconds(pid) - cpu) / elapsed, 2),
        rss_bytes=resident_bytes(pid),
        bytes_per_second=round((count_bytes() - traffic) / elapsed, 1),
    )


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used so far, in seconds."""
    # The program's name may contain spaces and parentheses, so that the fields are
    # counted from the last closing parenthesis.
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[FIELD_UTIME]) + int(fields[FIELD_STIME])) / TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KIBIBYTE
    return 0
