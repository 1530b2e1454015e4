"""Measure the maximum throughput of one proxy and its cost of idle callers."""

import time
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from dataclasses import asdict
from multiprocessing import get_context
from typing import Any, Final

import pymysql
from dogwoodspool_common import Address
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_testbed import Deployment, DeploymentShape, StandinShape
from dogwoodspool_testbed.const import CALLER_PASSWORD, CALLER_USER

from .const import SLOPE_SETTLE_SECONDS as SETTLE_SECONDS
from .process_usage import cpu_seconds, measure_usage

SATURATION_CALLERS: Final = (1, 4, 16)
SATURATION_PROCESSES: Final = 4
SATURATION_SECONDS: Final = 5.0
IDLE_CALLERS: Final = (50, 200, 400)


def measure_saturation() -> dict[str, Any]:
    """Measure statements per second and processor time per statement of one proxy."""
    shape = DeploymentShape(
        failure_domains=("fd-a",),
        controls=1,
        proxies=1,
        standin=StandinShape(slots=64, connections=200),
        root_settings={"max_proxies": 1, "base_connections": 60},
    )
    points = []
    with Deployment(shape) as deployment:
        proxy = deployment.proxies[0]
        with (
            deployment.connect(proxy, "orders") as connection,
            connection.cursor() as cursor,
        ):
            cursor.execute("CREATE TABLE seen (id INT PRIMARY KEY)")
            cursor.execute("INSERT INTO seen VALUES (1)")
        time.sleep(SETTLE_SECONDS)
        pid = deployment.processes.pid(proxy.name)
        idle = measure_usage(pid, SETTLE_SECONDS, lambda: 0)
        for callers in SATURATION_CALLERS:
            points.append(_measure_throughput(proxy.address, pid, callers))
        connections = [_measure_idle_callers(deployment, one) for one in IDLE_CALLERS]
    return {
        "idle_cpu_percent": idle.cpu_percent,
        "points": points,
        "connections": connections,
    }


def _measure_idle_callers(deployment: Deployment, callers: int) -> dict[str, Any]:
    """Measure with idle connections open that have each run one statement."""
    proxy = deployment.proxies[0]
    pid = deployment.processes.pid(proxy.name)
    held = []
    try:
        for _number in range(callers):
            connection = deployment.connect(proxy, "orders")
            held.append(connection)
            with connection.cursor() as cursor:
                cursor.execute("/*session='new'*/ SELECT id FROM seen")
                cursor.fetchall()
        usage = measure_usage(pid, SETTLE_SECONDS, lambda: 0)
    finally:
        for connection in held:
            connection.close()
    point = {"callers": callers, **asdict(usage)}
    print(f"proxy with idle callers: {point}", flush=True)
    return point


def _measure_throughput(address: Address, pid: int, callers: int) -> dict[str, Any]:
    processes = min(SATURATION_PROCESSES, callers)
    shares = [len(range(n, callers, processes)) for n in range(processes)]
    cpu, began_at = cpu_seconds(pid), time.monotonic()
    context = get_context("spawn")
    with ProcessPoolExecutor(processes, mp_context=context) as executor:
        futures = [
            executor.submit(read_in_threads, address.host, address.port, share)
            for share in shares
        ]
        figures = [future.result() for future in futures]
    elapsed = time.monotonic() - began_at
    used = cpu_seconds(pid) - cpu
    statements = sum(count for count, _ in figures)
    rate = sum(count / seconds for count, seconds in figures)
    point = {
        "callers": callers,
        "client_processes": processes,
        "statements": statements,
        "statements_per_second": round(rate, 1),
        "cpu_ms_per_statement": round(used * MILLISECONDS / statements, 3),
        "window_seconds": round(elapsed, 1),
    }
    print(f"proxy at saturation: {point}", flush=True)
    return point


def read_in_threads(host: str, port: int, callers: int) -> tuple[int, float]:
    """Read one row repeatedly in one thread per caller; return count and seconds."""
    began_at = time.monotonic()
    with ThreadPoolExecutor(callers) as executor:
        futures = [
            executor.submit(_read_until_deadline, host, port) for _ in range(callers)
        ]
        count = sum(future.result() for future in futures)
    return count, time.monotonic() - began_at


def _read_until_deadline(host: str, port: int) -> int:
    connection = pymysql.connect(
        host=host,
        port=port,
        user=CALLER_USER,
        password=CALLER_PASSWORD,
        database="orders",
        autocommit=True,
    )
    count = 0
    ends_at = time.monotonic() + SATURATION_SECONDS
    with connection, connection.cursor() as cursor:
        cursor.execute("/*session='new'*/ SELECT id FROM seen")
        while time.monotonic() < ends_at:
            cursor.execute("SELECT id FROM seen")
            count += 1
    return count
