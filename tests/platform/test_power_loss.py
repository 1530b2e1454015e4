"""Tests of recovery after a power loss of all instances, with many proxies.

All instances restart, two of five control processes with empty disks, and all proxies
poll the control processes at once. Two faults then kept proxies without a view and the
configuration unreadable. The polls occupied all HTTP threads of the three control
processes needed for a majority, so votes were not answered in time: 194 proxies caused
763 elections in 40 s without a leader. The HTTP server also accepted no more than 100
connections: with only the threads fixed, 97 proxies never received a view. It logged:

    reason="total open connections reached the connection limit, ..."
"""

import os
import shutil
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, Final

from dogwoodspool_api.const import PATH_STATUS
from dogwoodspool_common import Address, HttpError, JsonClient, SystemClock
from dogwoodspool_following import ControlPeers, ViewStore, WatchCoordinator
from dogwoodspool_testbed import PortReservations

from .standin import call
from .system import eventually
from .test_messages import config

ROOT: Final = Path(__file__).resolve().parents[2]
HOSTS: Final = tuple(f"127.0.4.{number}" for number in range(1, 6))
SEEDS: Final = HOSTS[:3]
LOST_DISKS: Final = HOSTS[3:]
PROXIES: Final = 194
WAIT_MS: Final = 1_000
SHOWN_LOG_LINES: Final = 40
BOOT: Final = """
node = "{host}"
ip = "{host}"
zone = "{host}"
internalPorts = [{internal}, {internal}]
seeds = [{seeds}]
bootstrap = {bootstrap}
dataDir = "{data}"
[listen]
control = "{host}:{control}"
[cloud]
addr = "127.0.0.1:9"
[faultTolerance]
machines = 2
"""


class PowerLossTests(unittest.TestCase):
    """Five control processes, two of which restart with empty disks."""

    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="dogwoodspool-"))
        self.keeps_folder = False
        self.addCleanup(self.remove_folder)
        reservations = PortReservations()
        self.addCleanup(reservations.release)
        self.internal, self.control = reservations.reserve(2)
        self.client = JsonClient(None)
        self.addCleanup(self.client.close)
        self.processes: list[subprocess.Popen[bytes]] = []
        self.addCleanup(self.kill_all)

    def start(self, host: str, *, bootstrap: bool) -> None:
        data = self.folder / host
        data.mkdir(exist_ok=True)
        boot = self.folder / f"{host}.toml"
        text = BOOT.format(
            host=host,
            internal=self.internal,
            control=self.control,
            seeds=", ".join(f'"{one}:{self.control}"' for one in SEEDS),
            bootstrap=str(bootstrap).lower(),
            data=data,
        )
        boot.write_text(text)
        with self.log_of(host).open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "platform/launch.py", "core"],
                cwd=ROOT,
                env={**os.environ, "DOGWOODSPOOL_BOOT": str(boot)},
                stdout=log,
                stderr=log,
            )
        self.processes.append(process)

    def log_of(self, host: str) -> Path:
        return self.folder / f"{host}.log"

    def remove_folder(self) -> None:
        if not self.keeps_folder:
            shutil.rmtree(self.folder)

    def eventually(self, check: Callable[[], bool], what: str) -> None:
        """Wait as ``eventually``; on failure keep the logs and show their ends."""
        try:
            eventually(check, what)
        except AssertionError as error:
            self.keeps_folder = True
            raise AssertionError(f"{error}\n{self.describe_processes()}") from error

    def describe_processes(self) -> str:
        exits = [process.poll() for process in self.processes]
        parts = [f"exit statuses: {exits}, folder: {self.folder}"]
        for host in HOSTS:
            lines = self.log_of(host).read_text(errors="replace").splitlines()
            parts += [f"--- {host}", *lines[-SHOWN_LOG_LINES:]]
        return "\n".join(parts)

    def kill_all(self) -> None:
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
        self.processes.clear()

    def voters(self) -> int:
        try:
            status = self.client.get(Address(HOSTS[0], self.internal), PATH_STATUS)
        except HttpError:
            return 0
        members: list[dict[str, Any]] = status["voters"]
        return sum(bool(one["is_voter"]) for one in members)

    def put(self, version: int) -> None:
        def is_acknowledged() -> bool:
            urls = (f"http://{one}:{self.control}/dogwoodspool/config" for one in HOSTS)
            return any(
                call("PUT", url, config(version=version))[0] == 200 for url in urls
            )

        self.eventually(is_acknowledged, f"configuration {version} is acknowledged")

    def follow(self, number: int) -> ViewStore:
        """Start the components with which a proxy follows control."""
        clock = SystemClock()
        domain = HOSTS[number % len(HOSTS)]
        views = ViewStore(domain, clock)
        known = tuple(Address(one, self.internal) for one in SEEDS)
        peers = ControlPeers(known, domain, f"edge-{number}")
        client = JsonClient(None)
        watch = WatchCoordinator(views, peers, client, clock, WAIT_MS)
        watch.set_up()
        self.addCleanup(client.close)
        self.addCleanup(watch.unload)
        return views

    def all_versions(
        self, proxies: list[ViewStore], test: Callable[[int], bool]
    ) -> bool:
        return all(test(views.view.version) for views in proxies)

    def test_all_proxies_receive_a_view_and_the_next_change(self) -> None:
        """Guard against polling proxies that prevent the recovery of control."""
        for host in HOSTS:
            self.start(host, bootstrap=host in SEEDS)
        self.eventually(lambda: self.voters() == len(HOSTS), "all five are voters")
        self.put(7)
        self.kill_all()
        for host in LOST_DISKS:
            shutil.rmtree(self.folder / host)
        for host in HOSTS:
            self.start(host, bootstrap=False)
        proxies = [self.follow(number) for number in range(PROXIES)]
        # Registered last, to run before the proxies stop: none waits for its poll.
        self.addCleanup(self.kill_all)
        has_view = partial(self.all_versions, proxies, lambda version: version > 0)
        self.eventually(has_view, "every proxy has a view")
        newest = max(views.view.version for views in proxies)
        self.put(8)
        has_change = partial(
            self.all_versions, proxies, lambda version: version > newest
        )
        self.eventually(has_change, "every proxy has the next change")
