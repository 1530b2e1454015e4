"""Measure the control leader against the number of proxies and groups."""

import json
import threading
import time
import uuid
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, Final

from dogwoodspool_api.const import PATH_SETTINGS_CHANGE, PATH_WATCH
from dogwoodspool_common import JsonClient, RequestSigner
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_testbed import Deployment, DeploymentShape
from dogwoodspool_testbed.const import SHARED_KEY

from .const import SLOPE_DOMAINS as DOMAINS
from .const import SLOPE_SERVERS_PER_GROUP as SERVERS_PER_GROUP
from .const import SLOPE_SETTLE_SECONDS as SETTLE_SECONDS
from .const import SLOPE_WINDOW_SECONDS as WINDOW_SECONDS
from .fake_proxies import RENEW_SECONDS, FakeProxy, build_announcements
from .process_usage import cpu_seconds, measure_usage
from .relay import CountingRelay

CONTROL_PROXIES: Final = (4, 8, 16, 24)
CONTROL_GROUPS: Final = (3, 12, 36)
BASE_PROXIES: Final = 8
BASE_GROUPS: Final = 3
CHANGES: Final = 20
FIRST_DEADLINE_MS: Final = 1_000
READY_TIMEOUT_SECONDS: Final = 30.0
IN_FORCE_TIMEOUT_SECONDS: Final = 13.0
POLL_SECONDS: Final = 0.002


@dataclass
class ControlLoad:
    """A real control group under the load of fake proxies.

    Attributes:
        seen: latest version of the view at each fake proxy, with the monotonic time
            at which the proxy received it.
    """

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

    def wait_for_version(self, version: int, deadline: float) -> float | None:
        """Return when the last proxy received a version; None past the deadline."""
        while time.monotonic() < deadline:
            seen = list(self.seen.values())
            if len(seen) == len(self.proxies) and all(
                one[0] >= version for one in seen
            ):
                return max(at for _, at in seen)
            time.sleep(POLL_SECONDS)
        return None


@contextmanager
def control_load(proxies: int, groups: int) -> Iterator[ControlLoad]:
    """Run three voters under the given numbers of fake proxies and groups."""
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
        servers = build_announcements(groups, SERVERS_PER_GROUP, DOMAINS)
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
                time.sleep(RENEW_SECONDS / proxies)
            deployment.wait_for(
                "grants at every fake proxy",
                lambda: all(fake.held_groups == groups for fake in fakes),
                READY_TIMEOUT_SECONDS,
            )
            yield load
        finally:
            for fake in fakes:
                fake.unload()
            relay.unload()


def measure_control() -> dict[str, Any]:
    """Measure the leader, changes of settings and log growth at each size."""
    points = []
    for proxies in CONTROL_PROXIES:
        points.append(_measure_at(proxies, BASE_GROUPS))
    for groups in CONTROL_GROUPS:
        if groups != BASE_GROUPS:
            points.append(_measure_at(BASE_PROXIES, groups))
    return {"points": points}


def _measure_at(proxies: int, groups: int) -> dict[str, Any]:
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
            **_measure_changes(load),
        }
    print(f"control leader: {point}", flush=True)
    return point


def _view_bytes(deployment: Deployment) -> int:
    leader = deployment.leader()
    assert leader is not None
    answer = deployment.client.get(
        leader.address, PATH_WATCH, {"after": "0", "wait_ms": "0"}
    )
    return len(json.dumps(answer, separators=(",", ":")))


def _measure_changes(load: ControlLoad) -> dict[str, Any]:
    """Change a setting repeatedly; return delays, log growth and leader CPU time."""
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
            "overrides": {
                **deployment.root_settings(),
                "deadline_ms": FIRST_DEADLINE_MS + number,
            },
            "author": "measure-slopes",
        }
        began_at = time.monotonic()
        answer = deployment.client.post(leader.address, PATH_SETTINGS_CHANGE, body, 5.0)
        in_force_at = load.wait_for_version(
            int(answer["view_version"]), began_at + IN_FORCE_TIMEOUT_SECONDS
        )
        if in_force_at is not None:
            times.append((in_force_at - began_at) * MILLISECONDS)
    log_growth = _folder_bytes(folder) - before
    times.sort()
    return {
        "changes": CHANGES,
        "changes_in_force": len(times),
        "in_force_ms_median": round(times[len(times) // 2], 1) if times else None,
        "in_force_ms_worst": round(times[-1], 1) if times else None,
        "log_bytes_per_change": round(log_growth / CHANGES, 1),
        "leader_cpu_ms_per_change": round(
            (cpu_seconds(load.leader_pid) - cpu) * MILLISECONDS / CHANGES, 1
        ),
    }


def _folder_bytes(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())
