"""A proxy that starts late gives new work to a primary that left long before.

Rule DRAIN: a request reaches a backend later than ``drainMs`` after a machine in touch
acknowledged that the backend is draining.
"""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.path.insert(0, str(FOLDER.parent / "world2"))

from world import (  # noqa: E402
    BROKEN,
    DRAIN_SECONDS,
    HELD,
    TOUCH_SECONDS,
    Node,
    World,
    run_case,
)

DEAF_SECONDS = 6.0
SERVES_ON = 4.0
PER_SECOND = 20.0


async def load_one(world: World, edge: Node) -> None:
    """Send reads and writes of the primary to one proxy until cancelled."""
    number = 0
    while True:
        number += 1
        text = f"WRITE late{number} data" if number % 2 else f"READ late{number}"
        world.spawn(world.logged(edge, "db-primary", text))
        await asyncio.sleep(1 / PER_SECOND)


async def play(world: World) -> int:
    """Play the case; return its exit status."""
    await world.set_up()
    world.spawn(world.load())
    service = world.service
    # Planned work: a new backend starts first, then the primary leaves.
    fresh = world.new_server("i-00000004", 3)
    await fresh.start()
    world.attach(fresh)
    await asyncio.sleep(4.0)
    leaving = service.primary
    if leaving is None:
        return HELD
    acknowledged = await world.drain(leaving, "i-00000005", SERVES_ON)
    await asyncio.sleep(2.0)
    successor = service.primary
    if successor is None or successor is leaving:
        world.note("the primary was not replaced")
        return HELD
    world.note(f"{successor.name} leads now")
    others = [
        one for one in service.servers.values() if one not in (leaving, successor)
    ]
    if world.has_trouble:
        names = ", ".join(one.name for one in others)
        world.note(f"trouble: {names} receive nothing for {DEAF_SECONDS} s")
        for one in others:
            one.is_deaf = True
    await asyncio.sleep(1.4)
    # Planned work: a machine is added.
    late = world.add_node("edge", 3)
    world.start(late)
    await asyncio.sleep(1.1)
    if world.has_trouble:
        world.note("trouble: the primary crashes meanwhile")
        world.crash(successor)
    await asyncio.sleep(1.0)
    world.spawn(load_one(world, late))
    await asyncio.sleep(DEAF_SECONDS - 3.5)
    for one in others:
        one.is_deaf = False
    service.notify()
    await asyncio.sleep(4.0)
    return judge(world, leaving.name, acknowledged, late)


def judge(world: World, name: str, acknowledged: float, late: Node) -> int:
    """Count the requests that reached the backend too late, sent by one in touch."""
    in_touch_at = late.started_at + TOUCH_SECONDS
    sent = {one.request: one.at for one in world.operations}
    sender = {one.request: one.edge for one in world.operations}
    found = 0
    for run in world.service.runs:
        at = run.at - world.began
        is_late = run.server == name and at > acknowledged + DRAIN_SECONDS
        if is_late and sent.get(run.request, 0.0) >= in_touch_at:
            found += 1
            world.note(
                f"DRAIN: {run.request} {run.text} reached {name} "
                f"{at - acknowledged:.3f} s after the acknowledgement; sent by "
                f"{sender[run.request]}, {late.name} had run for "
                f"{sent[run.request] - late.started_at:.3f} s"
            )
    world.note(f"DRAIN is broken {found} times" if found else "DRAIN holds")
    return BROKEN if found else HELD


if __name__ == "__main__":
    sys.exit(run_case(play, RECORD, has_trouble=HAS_TROUBLE))
