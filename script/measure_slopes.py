"""Measure what control costs at several sizes, and what one proxy serves.

Usage:
  measure_slopes.py [--only PARTS]

Options:
  --only PARTS  Only these parts, separated by commas: proxy, control, saturation.
"""

import json
import os
import sys
import tempfile
import threading
import time
import uuid
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import asdict, dataclass
from multiprocessing import get_context
from pathlib import Path
from typing import Any, Final

import pymysql
from docopt import docopt
from dogwoodspool_api import ServerMessage
from dogwoodspool_api.const import PATH_SETTINGS_CHANGE, PATH_WATCH
from dogwoodspool_common import Address, JsonClient, RequestSigner
from dogwoodspool_load.const import SHARED_MACHINE_NOTE
from dogwoodspool_load.fake_control import FakeControl
from dogwoodspool_load.fake_proxies import FakeProxy, announcements_of
from dogwoodspool_load.process_usage import cpu_seconds, measure_usage
from dogwoodspool_load.relay import CountingRelay
from dogwoodspool_testbed import Deployment, DeploymentShape, StandinShape
from dogwoodspool_testbed.const import (
    BACKEND_PASSWORD,
    BACKEND_USER,
    CALLER_PASSWORD,
    CALLER_USER,
    SHARED_KEY,
    TOKEN_KEY,
)
from dogwoodspool_testbed.processes import ProcessTable

ROOT: Final = Path(__file__).resolve().parent.parent
RESULTS: Final = ROOT / "measurements" / "slopes.json"

DOMAINS: Final = ("fd-a", "fd-b", "fd-c")
PROXY_GROUPS: Final = (1, 3, 9)
SERVERS_PER_GROUP: Final = 3
CONTROL_PROXIES: Final = (4, 8, 16, 24)
CONTROL_GROUPS: Final = (3, 12, 36)
FIXED_PROXIES: Final = 8
FIXED_GROUPS: Final = 3
CHANGES: Final = 20
NOWHERE: Final = Address("127.0.0.1", 9)
IDLE_CALLERS: Final = (50, 200, 400)
SATURATION_CALLERS: Final = (1, 4, 16)
SATURATION_PROCESSES: Final = 4
SETTLE_SECONDS: Final = 4.0
WINDOW_SECONDS: Final = 8.0
SATURATION_SECONDS: Final = 5.0
READY_SECONDS: Final = 30.0


def say(line: str) -> None:
    """Print a line of progress."""
    print(line, flush=True)


# The proxy alone, against a control that gives everything.


def measure_proxy() -> list[dict[str, Any]]:
    """Measure an idle proxy against the number of groups and servers."""
    return [_proxy_at(groups) for groups in PROXY_GROUPS]


def _proxy_at(groups: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="dogwoodspool-slopes-") as folder:
        processes = ProcessTable(Path(folder))
        relays: list[CountingRelay] = []
        control: FakeControl | None = None
        try:
            proxy_http: list[Address] = []
            announced = CountingRelay(lambda: proxy_http[0] if proxy_http else NOWHERE)
            announced.set_up()
            messages = _start_standins(
                processes, Path(folder), groups, relays, announced.address
            )
            control = FakeControl(
                SHARED_KEY,
                messages,
                {
                    "token_key": TOKEN_KEY,
                    "backend_user": BACKEND_USER,
                    "backend_password": BACKEND_PASSWORD,
                },
            )
            to_control = CountingRelay(lambda: control.address)
            to_control.set_up()
            control.set_up(to_control.address)
            proxy_http.append(_start_proxy(processes, to_control.address))
            time.sleep(SETTLE_SECONDS)
            probes_before = sum(relay.count for relay in relays)
            announced_before = announced.count
            usage = measure_usage(
                processes.pid("proxy-1"), WINDOW_SECONDS, lambda: to_control.count
            )
            probes = sum(relay.count for relay in relays) - probes_before
            announcements = announced.count - announced_before
        finally:
            processes.stop_all()
            if control is not None:
                control.unload()
            for relay in relays:
                relay.unload()
    point = {
        "groups": groups,
        "servers": groups * SERVERS_PER_GROUP,
        **asdict(usage),
        "probe_bytes_per_second": round(probes / usage.seconds, 1),
        "announcement_bytes_per_second": round(announcements / usage.seconds, 1),
    }
    say(f"idle proxy: {point}")
    return point


def _start_standins(
    processes: ProcessTable,
    folder: Path,
    groups: int,
    relays: list[CountingRelay],
    announce_to: Address,
) -> list[ServerMessage]:
    messages = []
    for group in range(groups):
        primary = ""
        for number in range(1, SERVERS_PER_GROUP + 1):
            name = f"group{group}-{number}"
            role = ["--role", "replica", "--follow", primary]
            if not primary:
                role = ["--role", "primary"]
            arguments = [
                "dogwoodspool-standin",
                *["--name", name, "--group", f"group{group}"],
                *["--failure-domain", DOMAINS[number % len(DOMAINS)]],
                *["--listen", "127.0.0.1:0", "--control-listen", "127.0.0.1:0"],
                *["--data-folder", str(folder / name), "--shared-key", SHARED_KEY],
                *["--user", BACKEND_USER, "--password", BACKEND_PASSWORD],
                *["--announce-to", str(announce_to)],
                *role,
            ]
            processes.start(name, "standin", arguments, True)
            address = Address.parse(processes.ready(name)["address"])
            primary = primary or str(address)
            relay = CountingRelay(lambda target=address: target)  # type: ignore[misc]
            relay.set_up()
            relays.append(relay)
            messages.append(
                ServerMessage(
                    server=name,
                    group=f"group{group}",
                    failure_domain=DOMAINS[number % len(DOMAINS)],
                    address=str(relay.address),
                    slots=3,
                    connections=20,
                    is_leaving=False,
                )
            )
    return messages


def _start_proxy(processes: ProcessTable, control: Address) -> Address:
    arguments = [
        "dogwoodspool-proxy",
        *["--name", "proxy-1", "--failure-domain", "fd-a"],
        *["--listen", "127.0.0.1:0", "--http-listen", "127.0.0.1:0"],
        *["--control", str(control), "--shared-key", SHARED_KEY],
    ]
    processes.start("proxy-1", "proxy", arguments, True)
    return Address.parse(processes.ready("proxy-1")["http_address"])


# The control group, against fake proxies.


@dataclass
class ControlLoad:
    """A real control group under fake proxies."""

    deployment: Deployment
    proxies: list[FakeProxy]
    relay: CountingRelay
    seen: dict[str, tuple[int, float]]

    @property
    def leader_pid(self) -> int:
        """Process id of the leader."""
        leader = self.deployment.leader()
        assert leader is not None
        return self.deployment.processes.pid(leader.name)

    def wait_seen(self, version: int, deadline: float) -> float | None:
        """Return when the last proxy had a version; None past the deadline."""
        while time.monotonic() < deadline:
            seen = list(self.seen.values())
            if len(seen) == len(self.proxies) and all(
                one[0] >= version for one in seen
            ):
                return max(at for _, at in seen)
            time.sleep(0.002)
        return None


@contextmanager
def control_load(proxies: int, groups: int) -> Iterator[ControlLoad]:
    """Run three voters under so many fake proxies and groups."""
    shape = DeploymentShape(
        failure_domains=DOMAINS,
        proxies=0,
        groups=(),
        root_settings={"max_proxies": proxies},
    )
    with Deployment(shape) as deployment:
        leader = deployment.leader()
        assert leader is not None
        relay = CountingRelay(lambda: leader.address)
        relay.set_up()
        servers = announcements_of(groups, SERVERS_PER_GROUP, DOMAINS)
        seen: dict[str, tuple[int, float]] = {}
        lock = threading.Lock()

        def on_version(name: str, version: int) -> None:
            with lock:
                seen[name] = (version, time.monotonic())

        client = JsonClient(RequestSigner(SHARED_KEY.encode()), 4 * proxies)
        fakes = [
            FakeProxy(
                f"proxy-{number}",
                DOMAINS[number % len(DOMAINS)],
                relay.address,
                client,
                servers,
                on_version,
            )
            for number in range(proxies)
        ]
        load = ControlLoad(deployment, fakes, relay, seen)
        try:
            for fake in fakes:
                fake.set_up()
                time.sleep(0.3 / proxies)
            deployment.wait_for(
                "grants at every fake proxy",
                lambda: all(fake.held_groups == groups for fake in fakes),
                READY_SECONDS,
            )
            yield load
        finally:
            for fake in fakes:
                fake.unload()
            relay.unload()


def measure_control() -> dict[str, Any]:
    """Measure the leader against proxies and groups; settings and log on the way."""
    points = []
    for proxies in CONTROL_PROXIES:
        points.append(_control_at(proxies, FIXED_GROUPS))
    for groups in CONTROL_GROUPS:
        if groups != FIXED_GROUPS:
            points.append(_control_at(FIXED_PROXIES, groups))
    return {"points": points}


def _control_at(proxies: int, groups: int) -> dict[str, Any]:
    with control_load(proxies, groups) as load:
        time.sleep(SETTLE_SECONDS)
        renewals = sum(fake.renewals for fake in load.proxies)
        refusals = sum(fake.refusals for fake in load.proxies)
        usage = measure_usage(load.leader_pid, WINDOW_SECONDS, lambda: load.relay.count)
        renewed = sum(fake.renewals for fake in load.proxies) - renewals
        refused = sum(fake.refusals for fake in load.proxies) - refusals
        point = {
            "proxies": proxies,
            "groups": groups,
            "servers": groups * SERVERS_PER_GROUP,
            **asdict(usage),
            "renewals_per_second": round(renewed / usage.seconds, 1),
            "refused_per_second": round(refused / usage.seconds, 1),
            "view_bytes": _view_bytes(load.deployment),
            **_changes(load),
        }
    say(f"control leader: {point}")
    return point


def _view_bytes(deployment: Deployment) -> int:
    leader = deployment.leader()
    assert leader is not None
    answer = deployment.client.get(
        leader.address, PATH_WATCH, {"after": "0", "wait_ms": "0"}
    )
    return len(json.dumps(answer, separators=(",", ":")))


def _changes(load: ControlLoad) -> dict[str, Any]:
    """Change a setting some times; return time to force and log size per change."""
    deployment = load.deployment
    leader = deployment.leader()
    assert leader is not None
    folder = deployment.folder / leader.name
    cpu = cpu_seconds(load.leader_pid)
    before = _folder_bytes(folder)
    times = []
    version = deployment.settings_version("/")
    for number in range(CHANGES):
        body = {
            "change_id": uuid.uuid4().hex,
            "path": "/",
            "expected_version": version + number,
            "overrides": {**deployment.root_settings(), "deadline_ms": 1_000 + number},
            "author": "measure-slopes",
        }
        began_at = time.monotonic()
        answer = deployment.client.post(leader.address, PATH_SETTINGS_CHANGE, body, 5.0)
        in_force_at = load.wait_seen(int(answer["view_version"]), began_at + 13)
        if in_force_at is not None:
            times.append((in_force_at - began_at) * 1_000)
    grown = _folder_bytes(folder) - before
    times.sort()
    return {
        "changes": CHANGES,
        "changes_in_force": len(times),
        "in_force_ms_median": round(times[len(times) // 2], 1) if times else None,
        "in_force_ms_worst": round(times[-1], 1) if times else None,
        "log_bytes_per_change": round(grown / CHANGES, 1),
        "leader_cpu_ms_per_change": round(
            (cpu_seconds(load.leader_pid) - cpu) * 1_000 / CHANGES, 1
        ),
    }


def _folder_bytes(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())


# One proxy at saturation.


def measure_saturation() -> dict[str, Any]:
    """Measure statements a second and processor time per statement of one proxy."""
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
            points.append(_saturate(proxy.address, pid, callers))
        connections = [_with_idle_callers(deployment, one) for one in IDLE_CALLERS]
    return {
        "idle_cpu_percent": idle.cpu_percent,
        "points": points,
        "connections": connections,
    }


def _with_idle_callers(deployment: Deployment, callers: int) -> dict[str, Any]:
    """Hold so many connections that have run one statement each."""
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
    say(f"proxy with idle callers: {point}")
    return point


def _saturate(address: Address, pid: int, callers: int) -> dict[str, Any]:
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
        "cpu_ms_per_statement": round(used * 1_000 / statements, 3),
        "window_seconds": round(elapsed, 1),
    }
    say(f"proxy at saturation: {point}")
    return point


def read_in_threads(host: str, port: int, callers: int) -> tuple[int, float]:
    """Read one row over and over in so many threads; return count and seconds."""
    began_at = time.monotonic()
    with ThreadPoolExecutor(callers) as executor:
        futures = [executor.submit(_read_always, host, port) for _ in range(callers)]
        count = sum(future.result() for future in futures)
    return count, time.monotonic() - began_at


def _read_always(host: str, port: int) -> int:
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


def main() -> int:
    """Measure what the arguments choose and write it."""
    arguments = docopt(__doc__ or "")
    measures: dict[str, Callable[[], Any]] = {
        "saturation": measure_saturation,
        "proxy": measure_proxy,
        "control": measure_control,
    }
    chosen: Sequence[str] = (arguments["--only"] or ",".join(measures)).split(",")
    document = json.loads(RESULTS.read_text()) if RESULTS.exists() else {}
    document["command"] = "script/measure-slopes"
    document["note"] = SHARED_MACHINE_NOTE
    document["cores"] = os.cpu_count()
    for name in chosen:
        document[name] = measures[name]()
        document.setdefault("load_average", {})[name] = [
            round(value, 1) for value in os.getloadavg()
        ]
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(document, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
