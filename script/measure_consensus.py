"""Measure the replicated log on three processes of this machine.

Usage:
    measure_consensus.py [--folder=FOLDER] [--seconds=S] [--kills=N]
    measure_consensus.py node <id> <ports> <folder>

Options:
    --folder=FOLDER  Where the nodes keep their files; a temporary one if absent.
    --seconds=S      Length of each load [default: 5].
    --kills=N        How many leaders are killed [default: 10].
"""

import os
import random
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, Final

from docopt import docopt
from dogwoodspool_common import (
    Address,
    HttpError,
    JsonClient,
    JsonRequest,
    JsonResponse,
    JsonServer,
    RequestSigner,
    Route,
    SystemClock,
    set_up_logging,
    stop_event_on_signals,
)
from dogwoodspool_consensus import (
    ConsensusError,
    ConsensusNode,
    ConsensusSettings,
    FileLogStorage,
    HttpPeerTransport,
)
from dogwoodspool_testbed import PortReservations
from hdrh.histogram import HdrHistogram

KEY: Final = b"measurement"
HOST: Final = "127.0.0.1"
PATH_STATUS: Final = "/measure/status"
PATH_LOAD: Final = "/measure/load"
PAYLOAD: Final = "x" * 100
MICROSECONDS: Final = 1_000_000
MAX_LATENCY_US: Final = 10 * MICROSECONDS
PERCENTILES: Final = (50, 99, 99.9)


class CountingStateMachine:
    """State machine that counts the commands applied."""

    def __init__(self) -> None:
        self._count = 0

    def apply(self, index: int, command: dict[str, Any]) -> dict[str, Any]:
        """Apply one command by counting it."""
        self._count += 1
        return {"count": self._count}

    def snapshot(self) -> dict[str, Any]:
        """Return the count."""
        return {"count": self._count}

    def restore(self, snapshot: dict[str, Any]) -> None:
        """Restore the count of a snapshot."""
        self._count = snapshot["count"]


class LoadGenerator:
    """Propose entries from several threads in the leader's process."""

    def __init__(self, node: ConsensusNode) -> None:
        self._node = node

    def handle_load(self, request: JsonRequest) -> JsonResponse:
        """Propose until the time is over; return the rate and latency percentiles."""
        threads, seconds = request.body["threads"], request.body["seconds"]
        histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        lock = threading.Lock()
        end = time.monotonic() + seconds

        def propose_until_end() -> None:
            while time.monotonic() < end:
                begun = time.monotonic()
                self._node.propose({"payload": PAYLOAD}, timeout=5.0)
                elapsed = time.monotonic() - begun
                with lock:
                    histogram.record_value(max(1, int(elapsed * MICROSECONDS)))

        with ThreadPoolExecutor(threads) as pool:
            for future in [pool.submit(propose_until_end) for _ in range(threads)]:
                future.result()
        latency = {
            str(percentile): histogram.get_value_at_percentile(percentile) / 1000
            for percentile in PERCENTILES
        }
        rate = histogram.get_total_count() / seconds
        return JsonResponse({"rate": rate, "latency_ms": latency})

    def handle_status(self, request: JsonRequest) -> JsonResponse:
        """Report whether this node has leadership."""
        return JsonResponse({"leads": self._node.leadership() is not None})


def run_node(name: str, ports: list[int], folder: Path) -> int:
    """Run one node until it receives a signal to stop."""
    set_up_logging("measure", name, level="WARNING")
    stop = stop_event_on_signals()
    signer = RequestSigner(KEY)
    addresses = {f"n{i}": Address(HOST, port) for i, port in enumerate(ports)}
    node = ConsensusNode(
        node_id=name,
        address=addresses[name],
        storage=FileLogStorage(folder / name),
        machine=CountingStateMachine(),
        transport=HttpPeerTransport(JsonClient(signer)),
        clock=SystemClock(),
        settings=ConsensusSettings(),
        initial_voters=addresses,
        rng=random.Random(),
        bootstrap=True,
    )
    load = LoadGenerator(node)
    routes = [
        *node.routes(),
        Route("GET", PATH_STATUS, load.handle_status),
        Route("POST", PATH_LOAD, load.handle_load),
    ]
    server = JsonServer(addresses[name], signer, routes)
    node.set_up()
    server.set_up()
    stop.wait()
    server.unload()
    node.unload()
    return 0


class Measurement:
    """Start the nodes, measure throughput at the leader and kill leaders."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._reservations = PortReservations()
        self._ports = self._reservations.reserve(3)
        self._client = JsonClient(RequestSigner(KEY))
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def set_up(self) -> None:
        """Start three nodes."""
        for number in range(3):
            self._start(f"n{number}")

    def unload(self) -> None:
        """Terminate the nodes."""
        for process in self._processes.values():
            process.terminate()
        for process in self._processes.values():
            process.wait()
        self._reservations.release()

    def load(self, threads: int, seconds: float) -> dict[str, Any]:
        """Have the leader propose entries from a number of threads."""
        body = {"threads": threads, "seconds": seconds}
        address = self._address(self._wait_for_leader())
        return self._client.post(address, PATH_LOAD, body, timeout=seconds + 20)

    def kill_leader(self) -> float:
        """Kill the leader; return the seconds until another node has leadership."""
        name = self._wait_for_leader()
        # Vary the time between the last heartbeat at each follower and the kill.
        time.sleep(random.uniform(0.5, 0.7))
        self._processes[name].kill()
        killed_at = time.monotonic()
        self._processes.pop(name).wait()
        self._wait_for_leader()
        elapsed = time.monotonic() - killed_at
        self._start(name)
        time.sleep(2.0)
        return elapsed

    def _start(self, name: str) -> None:
        ports = ",".join(map(str, self._ports))
        arguments = [__file__, "node", name, ports, str(self._folder)]
        self._processes[name] = subprocess.Popen([sys.executable, *arguments])

    def _address(self, name: str) -> Address:
        return Address(HOST, self._ports[int(name[1:])])

    def _wait_for_leader(self) -> str:
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            for name in self._processes:
                try:
                    answer = self._client.get(self._address(name), PATH_STATUS)
                except HttpError:
                    continue
                if answer["leads"]:
                    return name
            time.sleep(0.002)
        raise ConsensusError("no leader was elected within 20 s")


def measure_fsync(folder: Path, count: int = 200) -> list[float]:
    """Return the durations of single appends with fsync in ms, sorted."""
    durations_ms: list[float] = []
    with (folder / "fsync").open("wb", buffering=0) as file:
        for _ in range(count):
            begun = time.monotonic()
            file.write(b"x" * 200)
            os.fsync(file.fileno())
            durations_ms.append((time.monotonic() - begun) * 1000)
    return sorted(durations_ms)


def main() -> int:
    """Run a node or the whole measurement."""
    arguments = docopt(__doc__ or "")
    if arguments["node"]:
        ports = [int(port) for port in arguments["<ports>"].split(",")]
        return run_node(arguments["<id>"], ports, Path(arguments["<folder>"]))
    with tempfile.TemporaryDirectory(dir=arguments["--folder"]) as name:
        _measure(Path(name), float(arguments["--seconds"]), int(arguments["--kills"]))
    return 0


def _measure(folder: Path, seconds: float, kills: int) -> None:
    durations_ms = measure_fsync(folder)
    median, high = (
        statistics.median(durations_ms),
        durations_ms[int(len(durations_ms) * 0.99)],
    )
    print(f"fsync ms: median {median:.3f}, p99 {high:.3f}", flush=True)
    measurement = Measurement(folder)
    measurement.set_up()
    try:
        for threads in (1, 4, 16, 64):
            figures = measurement.load(threads, seconds)
            print(f"threads {threads}: {figures}", flush=True)
        gaps = sorted(measurement.kill_leader() for _ in range(kills))
        if gaps:
            print(f"election s after kill: {[round(gap, 3) for gap in gaps]}")
            print(f"median {statistics.median(gaps):.3f}, longest {gaps[-1]:.3f}")
    finally:
        measurement.unload()


if __name__ == "__main__":
    sys.exit(main())
