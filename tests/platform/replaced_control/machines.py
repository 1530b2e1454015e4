"""Machines at loopback addresses, with one real process each."""

import contextlib
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

from dogwoodspool_testbed import PortReservations

from .const import EDGE_HOSTS_FROM, GRACE_SECONDS, LIST_LAG_SECONDS, ROOT, ZONES
from .plan import Plan
from .record import Record
from .silence import FullBacklog, ResettingHost, SilentHost


@dataclass
class Machine:
    """One machine with its process.

    Attributes:
        lives: number of processes that have been started on it.
        is_gone: whether it has lost its power for good.
        listed_from: since when the operator knows it.
        listed_until: from when on the operator no longer knows it.
        lock: held while its process is started or ended.
    """

    role: str
    host: str
    zone: str
    process: subprocess.Popen[bytes] | None = None
    lives: int = 0
    is_gone: bool = False
    listed_from: float = 0.0
    listed_until: float = float("inf")
    lock: threading.RLock = field(default_factory=threading.RLock)


class Machines:
    """All machines of a day.

    Args:
        folder: logs, settings and data of the processes.
        net: first three parts of the loopback addresses.
        plan: the proxies.
        source: of the seeds that processes get.
        cloud: address of the promotion service.
    """

    def __init__(
        self,
        folder: Path,
        net: str,
        plan: Plan,
        cloud: str,
        source: random.Random,
        record: Record,
    ) -> None:
        self._random = source
        self._cloud = cloud
        self._folder = folder
        self._net = net
        self._record = record
        self._reservations = PortReservations()
        ports = self._reservations.reserve(5)
        self.internal, self._pools, self.control, self.front, self._ready = ports
        self.cores = [Machine("core", f"{net}.{10 + n}", ZONES[n]) for n in range(3)]
        zones = plan.edge_zones
        self.edges = [
            Machine("edge", f"{net}.{EDGE_HOSTS_FROM + n}", zones[n % len(zones)])
            for n in range(plan.edges)
        ]
        self._is_closed = False
        self._loads: list[subprocess.Popen[bytes]] = []
        self._silent: list[SilentHost | FullBacklog | ResettingHost] = []

    @property
    def alive(self) -> list[Machine]:
        """Control machines that have not lost their power for good."""
        return [core for core in self.cores if not core.is_gone]

    @property
    def known(self) -> list[Machine]:
        """Control machines on the operator's list, which lags behind."""
        now = time.monotonic()
        return [
            core for core in self.cores if core.listed_from <= now < core.listed_until
        ]

    def control_url(self, core: Machine, path: str) -> str:
        """Return the URL of a control process for the operator and the servers."""
        return f"http://{core.host}:{self.control}/dogwoodspool/{path}"

    def add_core(self, zone: str) -> Machine:
        """Add and start an empty control machine at the next address."""
        host = f"{self._net}.{10 + len(self.cores)}"
        new = Machine("core", host, zone)
        new.listed_from = time.monotonic() + LIST_LAG_SECONDS
        self.cores.append(new)
        self.start(new, bootstrap=False)
        return new

    def start(self, machine: Machine, *, bootstrap: bool) -> None:
        """Start a machine's process, unless it runs."""
        with machine.lock:
            if machine.process is None and not self._is_closed:
                self._start(machine, bootstrap=bootstrap)

    def _start(self, machine: Machine, *, bootstrap: bool) -> None:
        log = self._folder / f"{machine.host}.log"
        boot = self._write_settings(machine, bootstrap=bootstrap)
        with log.open("ab") as output:
            machine.process = subprocess.Popen(
                [sys.executable, "platform/launch.py", machine.role],
                cwd=ROOT,
                env={**os.environ, "DOGWOODSPOOL_BOOT": str(boot)},
                stdout=output,
                stderr=output,
            )
        machine.lives += 1
        now = time.monotonic()
        if machine.role == "core":
            self._record.core_events.append(now)
        else:
            self._record.edge_starts.setdefault(machine.host, []).append(now)
        self._record.note(f"{machine.host} starts")

    def pause(self, edge: Machine) -> None:
        """Stop a proxy's process; its connections stay open."""
        self._signal(edge, signal.SIGSTOP)

    def resume(self, edge: Machine) -> None:
        """Write a proxy's settings anew, and let its process go on."""
        self._write_settings(edge, bootstrap=False)
        self._signal(edge, signal.SIGCONT)

    def _signal(self, edge: Machine, number: signal.Signals) -> None:
        with edge.lock:
            if edge.process is not None:
                edge.process.send_signal(number)
        self._record.edge_pauses.setdefault(edge.host, []).append(time.monotonic())
        self._record.note(f"{edge.host} gets {number.name}")

    def lose(self, core: Machine, way: str) -> None:
        """Take a control machine's power for good."""
        core.is_gone = True
        core.listed_until = time.monotonic() + LIST_LAG_SECONDS
        ports = [self.internal, self.control]
        self._record.core_events.append(time.monotonic())
        if way in ("frozen", "dark") and core.process is not None:
            core.process.send_signal(signal.SIGSTOP)
            if way == "dark":
                self._silent.append(FullBacklog(core.host, ports))
        else:
            self.kill(core)
        if way in ("accepts", "unanswered"):
            self._silent.append(SilentHost(core.host, ports, accepts=way == "accepts"))
        if way == "resets":
            self._silent.append(ResettingHost(core.host, ports))

    def kill_all(self, *, spares_edges: bool) -> list[Machine]:
        """Take the power of all machines that have some, and return them."""
        machines = self.alive if spares_edges else [*self.alive, *self.edges]
        for machine in machines:
            if machine.process is not None:
                machine.process.kill()
        self._record.core_events.append(time.monotonic())
        self._record.power_lost_at = time.monotonic()
        for machine in machines:
            self.kill(machine)
        return machines

    def kill(self, machine: Machine) -> None:
        """End a machine's process without notice."""
        with machine.lock:
            if machine.process is not None:
                machine.process.kill()
                machine.process.wait()
                machine.process = None

    def kill_together(self, machines: list[Machine]) -> None:
        """End control processes at the same moment; their disks are kept."""
        self._record.core_events.append(time.monotonic())
        for machine in machines:
            if machine.process is not None:
                machine.process.kill()
        for machine in machines:
            self.kill(machine)

    def stop(self, machine: Machine) -> None:
        """Send SIGTERM to a machine's process, and SIGKILL after the grace time."""
        process = machine.process
        if process is None:
            return
        process.terminate()
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(GRACE_SECONDS)
        self.kill(machine)

    def keep_busy(self, edge: Machine, callers: int) -> None:
        """Start a process with callers who keep a proxy busy."""
        module = f"{__package__}.load"
        with (self._folder / f"{edge.host}.load").open("wb") as output:
            load = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    module,
                    edge.host,
                    str(self.front),
                    str(callers),
                ],
                cwd=ROOT,
                stdout=output,
                stderr=output,
            )
        self._loads.append(load)

    def end_loads(self) -> None:
        """End all callers who keep proxies busy."""
        for load in self._loads:
            load.kill()
            load.wait()
        self._loads.clear()

    def empty_disk(self, core: Machine) -> None:
        """Remove all data of a control machine."""
        shutil.rmtree(self._data(core))

    def close(self) -> None:
        """End all processes, and free the addresses."""
        self._is_closed = True
        self.end_loads()
        for machine in (*self.cores, *self.edges):
            self.kill(machine)
        for one in self._silent:
            one.close()
        self._reservations.release()

    def _write_settings(self, machine: Machine, *, bootstrap: bool) -> Path:
        path = self._folder / f"{machine.host}.toml"
        path.write_text(self._settings(machine, bootstrap=bootstrap))
        return path

    def _settings(self, machine: Machine, *, bootstrap: bool) -> str:
        listed = self.known
        if not bootstrap:
            self._random.shuffle(listed)
        seeds = [f"{core.host}:{self.control}" for core in listed[:3]]
        lines = [
            f"node = {json.dumps(machine.host)}",
            f"ip = {json.dumps(machine.host)}",
            f"zone = {json.dumps(machine.zone)}",
            f"internalPorts = [{self.internal}, {self._pools}]",
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {json.dumps(bootstrap)}",
        ]
        listen = [
            f'front = "{machine.host}:{self.front}"',
            f'ready = "{machine.host}:{self._ready}"',
        ]
        if machine.role == "core":
            data = self._data(machine)
            data.mkdir(exist_ok=True)
            lines.append(f"dataDir = {json.dumps(str(data))}")
            listen = [f'control = "{machine.host}:{self.control}"']
        lines += [
            "[zones]",
            *(f'{zone} = "region"' for zone in sorted({*ZONES, machine.zone})),
        ]
        lines += ["[listen]", *listen]
        lines += ["[faultTolerance]", "machines = 1"]
        lines += ["[cloud]", f'addr = "{self._cloud}"']
        return "\n".join(lines) + "\n"

    def _data(self, machine: Machine) -> Path:
        return self._folder / f"{machine.host}.data"
