"""A replica starts while the primary is being changed: are acknowledged writes kept?"""

# ruff: noqa: PLR2004

import os
import sys
import threading
import time
from pathlib import Path

from database import Group
from deployment import (
    Deployment,
    NotRunnableError,
    Session,
    config,
    route,
    run_scenario,
    wait_until,
)
from record import Record

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CUT_SECONDS = 5.0
CLIENTS = 3
SHOWN = 5


class Writers:
    """Clients that write all the time, each on sessions of one proxy."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.acknowledged: dict[str, float] = {}
        self._deployment = deployment
        self._record = record
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True)
            for n in range(CLIENTS)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop all clients."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        count = 0
        edge = self._deployment.edges[number % len(self._deployment.edges)]
        session: Session | None = None
        while not self._stop.wait(0.02):
            try:
                session = session or Session(self._deployment, edge, "orders")
            except OSError:
                continue
            count += 1
            request = f"w{number}.{count}"
            answer = session.ask(request, f"WRITE k{number} {count}", 2.0)
            if answer[0].startswith("COMPLETE"):
                self.acknowledged[request] = time.monotonic()
            if not answer[-1]:
                session.close()
                session = None


def run(deployment: Deployment, record: Record) -> bool:
    """Cut the primary off from the core, and replace a replica meanwhile."""
    group = Group("ledger", record)
    names = ("i-1c07", "i-5b20", "i-9e44")
    zones = ("zone-a", "zone-b", "zone-c")
    backends = [
        deployment.add_server(name, group, zone)
        for name, zone in zip(names, zones, strict=True)
    ]
    deployment.start()
    deployment.put_config(config(7, [route("orders", "ledger", kind="primary")]))
    deployment.wait_ready()
    writers = Writers(deployment, record)
    time.sleep(3.0)
    if HAS_TROUBLE:
        backends[0].cut_off(is_cut=True)
        until = time.monotonic() + CUT_SECONDS
        if not deployment.provider.requested.wait(CUT_SECONDS):
            raise NotRunnableError("no promotion was requested during the cut")
    else:
        time.sleep(4.0)
    # The release reaches the next replica: the new one starts, the old one drains.
    time.sleep(0.05)
    deployment.add_server("i-d35a", group, "zone-c")
    backends[2].drain()
    if HAS_TROUBLE:
        time.sleep(max(0.0, until - time.monotonic()))
        backends[0].cut_off(is_cut=False)
    wait_until(lambda: backends[2].has_ended, "the replaced server has left", 20.0)
    writers.stop()
    record.write(f"{len(writers.acknowledged)} writes were acknowledged")
    return judge(group, record, writers.acknowledged)


def judge(group: Group, record: Record, acknowledged: dict[str, float]) -> bool:
    """Look for acknowledged writes that a promoted server lacked."""
    if not acknowledged:
        raise NotRunnableError("no write was acknowledged")
    lost = [
        (request, at, name)
        for promoted_at, name, held in group.promoted.values()
        for request, at in acknowledged.items()
        if at < promoted_at and request not in held
    ]
    for request, at, name in lost[:SHOWN]:
        ran = [one for one in group.runs if one.request == request]
        record.write(
            f"{request} was acknowledged at {record.seconds(at):.3f} by "
            f"{ran[-1].server if ran else '?'} and is not in the log of {name}"
        )
    if not lost:
        record.write("every acknowledged write was in the log of the promoted server")
        return False
    record.write(f"LOST: {len(lost)} acknowledged writes")
    return True


if __name__ == "__main__":
    sys.exit(run_scenario(Path(__file__).with_name("record.txt"), run))
