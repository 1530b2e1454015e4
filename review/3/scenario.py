"""A long statement at a proxy that is stopped: is it answered?"""

# ruff: noqa: PLR2004

import os
import sys
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
)
from record import Record

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIMEOUT_MS = 3_000
# The client sends its statement this long after SIGTERM, on a session that was open
# before; the server works on it for the other time.
SENT_AFTER = 2.0
WORK_SECONDS = 2.7
GRACE_SECONDS = 6.0


def run(deployment: Deployment, record: Record) -> bool:
    """Stop a proxy while a statement runs; return whether its answer was cut off."""
    group = Group("ledger", record)
    for number, zone in enumerate(("zone-a", "zone-b", "zone-c"), start=1):
        deployment.add_server(f"i-{number}", group, zone)
    deployment.start()
    wanted = route("orders", "ledger", timeoutMs=TIMEOUT_MS, targetLatencyMs=400)
    deployment.put_config(config(7, [wanted]))
    deployment.wait_ready()
    time.sleep(2.0)
    for server in group.servers.values():
        server.behaviour.work_seconds = lambda request, _text: (
            WORK_SECONDS if request == "long" else 0.006
        )
    edge = deployment.edges[0]
    session = Session(deployment, edge, "orders")
    first = session.ask("short", "WRITE a 1", 2.0)
    record.write(f"short statement: {first}")
    if not first[0].startswith("COMPLETE"):
        raise NotRunnableError("the short statement was not served")
    stopped_at = time.monotonic()
    if HAS_TROUBLE:
        deployment.terminate(edge)
    time.sleep(SENT_AFTER)
    sent_at = time.monotonic()
    record.write(f"the long statement is sent to {edge.name}")
    answer = session.ask("long", "WRITE b 2", 10.0)
    ended_at = time.monotonic()
    record.write(f"the client got {answer} after {ended_at - sent_at:.3f} s")
    time.sleep(1.0)
    ran = [one for one in group.runs if one.request == "long"]
    for one in ran:
        record.write(
            f"{one.server} ended its work {one.at - sent_at:.3f} s after it was sent, "
            f"{one.at - stopped_at:.3f} s after the SIGTERM: {one.answer}"
        )
    if answer[-1].startswith("READY"):
        record.write("the answer is complete")
        return False
    if not ran or ran[0].at - stopped_at >= GRACE_SECONDS * 5 / 6:
        raise NotRunnableError("the server was at work in the last sixth of the grace")
    if ended_at - sent_at >= TIMEOUT_MS / 1000:
        raise NotRunnableError("the route's timeout was reached")
    record.write("LOST: the connection ended without a complete answer")
    return True


if __name__ == "__main__":
    sys.exit(run_scenario(Path(__file__).with_name("record.txt"), run))
