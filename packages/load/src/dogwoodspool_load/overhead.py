"""Measure the latency that a proxy adds to statements sent directly to a server."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_testbed import CallerConnection, Deployment
from hdrh.histogram import HdrHistogram

from .const import MICROSECONDS
from .models import Table
from .rows import read_statement, with_properties, write_statement
from .statistics import new_histogram, percentiles_ms

ROOM: Final = "overhead"
MAX_AGE_MS: Final = 60_000


@dataclass(frozen=True, slots=True)
class _Case:
    name: str
    connection: CallerConnection
    statement: Callable[[int], str]


def measure_overhead(deployment: Deployment, count: int) -> dict[str, Any]:
    """Return one caller's statement latencies per case, in milliseconds.

    The cases are interleaved, so that other load on the machine affects all of
    them equally.
    """
    group = deployment.shape.groups[0]
    primary = deployment.primary(group)
    proxy = next(
        one
        for one in deployment.proxies
        if one.failure_domain == primary.failure_domain
    )
    through = deployment.connect(proxy, group)
    direct = deployment.connect_directly(primary)
    cases = (
        _Case("read, straight to the primary", direct, _read),
        _Case("read with max_age_ms, through a proxy", through, _read_with_max_age),
        _Case("read in its session, through a proxy", through, _read),
        _Case("write, straight to the primary", direct, _write),
        _Case("write, through a proxy", through, _write),
        _Case(
            "write with a request id, through a proxy", through, _write_with_request_id
        ),
    )
    histograms = {case.name: new_histogram() for case in cases}
    for number in range(count):
        for case in cases:
            _record_latency(case, number, histograms[case.name])
    through.close()
    direct.close()
    return {name: percentiles_ms(one) for name, one in histograms.items()}


def added_latency_ms(latencies: dict[str, Any]) -> dict[str, float]:
    """Return the differences of the medians from those without a proxy, in ms."""
    added = {}
    for name, figures in latencies.items():
        if "through" in name:
            direct_case = f"{name.split()[0].rstrip(',')}, straight to the primary"
            base = latencies[direct_case]["p50_ms"]
            added[name] = round(figures["p50_ms"] - base, 2)
    return added


def _record_latency(case: _Case, number: int, histogram: HdrHistogram) -> None:
    began_at = time.monotonic()
    with case.connection.cursor() as cursor:
        cursor.execute(case.statement(number))
        cursor.fetchall()
    elapsed = time.monotonic() - began_at
    histogram.record_value(max(1, int(elapsed * MICROSECONDS)))
    time.sleep(1 / MILLISECONDS)


def _read(number: int) -> str:
    return read_statement(Table.LINES, ROOM, f"overhead.{number}")


def _read_with_max_age(number: int) -> str:
    return with_properties(_read(number), max_age_ms=MAX_AGE_MS)


def _write(number: int) -> str:
    tag = f"overhead.{number}.{time.monotonic_ns()}"
    return write_statement(Table.REPORTS, f"{ROOM}-writes", tag)


def _write_with_request_id(number: int) -> str:
    sql = _write(number)
    return with_properties(sql, request_id=f"overhead-{time.monotonic_ns()}")
