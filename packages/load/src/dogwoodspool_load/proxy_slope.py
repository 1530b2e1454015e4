"""Measure one idle proxy against the number of groups and servers."""

import tempfile
import time
from dataclasses import asdict
from pathlib import Path
from typing import Any, Final

from dogwoodspool_api import ServerMessage
from dogwoodspool_common import Address
from dogwoodspool_testbed.const import (
    BACKEND_PASSWORD,
    BACKEND_USER,
    SHARED_KEY,
    TOKEN_KEY,
)
from dogwoodspool_testbed.processes import ProcessTable

from .const import SLOPE_DOMAINS as DOMAINS
from .const import SLOPE_SERVERS_PER_GROUP as SERVERS_PER_GROUP
from .const import SLOPE_SETTLE_SECONDS as SETTLE_SECONDS
from .const import SLOPE_WINDOW_SECONDS as WINDOW_SECONDS
from .fake_control import FakeControl
from .process_usage import measure_usage
from .relay import CountingRelay

PROXY_GROUPS: Final = (1, 3, 9)
UNUSED_ADDRESS: Final = Address("127.0.0.1", 9)


def measure_proxy() -> list[dict[str, Any]]:
    """Measure an idle proxy against the number of groups and servers."""
    return [_measure_at(groups) for groups in PROXY_GROUPS]


def _measure_at(groups: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="dogwoodspool-slopes-") as folder:
        processes = ProcessTable(Path(folder))
        relays: list[CountingRelay] = []
        control: FakeControl | None = None
        try:
            proxy_http: list[Address] = []
            announced = CountingRelay(
                lambda: proxy_http[0] if proxy_http else UNUSED_ADDRESS
            )
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
    print(f"idle proxy: {point}", flush=True)
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
