"""Two heartbeats of another writer, then the primary is replaced as planned.

Both name all fields but one, which has another type, and a backend that does not exist.
At the end all processes of the system are killed, and requests are counted from
``recoveryS`` after they are back (rule RECOVER).
"""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.path.insert(0, str(FOLDER.parent / "world2"))

from world import BROKEN, HELD, RECOVERY_SECONDS, World, run_case  # noqa: E402

DOWN_SECONDS = 0.6
MEASURED_SECONDS = 12.0
QUARTER = 0.25


async def send_foreign(world: World, name: str, number: int) -> None:
    """Send one heartbeat whose field ``warmupLeftMs`` is a text."""
    body = {
        "service": "orders",
        "addr": f"{world.host(number)}:9",
        "zone": "zone-c",
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "warmupLeftMs": "none",
        "dbRole": "replica",
        "seq": 1,
    }
    status, _ = await world.call("PUT", f"/dogwoodspool/instances/{name}", body)
    world.note(f"trouble: another writer's heartbeat of {name} gets {status}")


async def play(world: World) -> int:
    """Play the case; return its exit status."""
    await world.set_up()
    began = world.now
    world.spawn(world.load())
    await asyncio.sleep(4.0)
    if world.has_trouble:
        await send_foreign(world, "i-0000000a", 150)
        await send_foreign(world, "i-0000000b", 151)
    await asyncio.sleep(8.0)
    primary = world.service.primary
    if primary is None:
        return HELD
    # Planned work: a new backend starts first, then the primary leaves.
    fresh = world.new_server("i-00000004", 3)
    await fresh.start()
    world.attach(fresh)
    world.note(f"{fresh.name} starts as a replica")
    await asyncio.sleep(3.0)
    await world.drain(primary, "i-00000005")
    await asyncio.sleep(5.0)
    ended = world.now
    await world.configure()
    world.note("final fault: all processes are killed")
    for node in world.nodes:
        world.kill(node)
    await asyncio.sleep(DOWN_SECONDS)
    for node in world.nodes:
        world.start(node)
    back = world.now
    world.note("all machines are back")
    await asyncio.sleep(RECOVERY_SECONDS + MEASURED_SECONDS + 3.0)
    before = world.served(began, ended)
    since = back + RECOVERY_SECONDS
    after = world.served(since, since + MEASURED_SECONDS)
    world.note(f"served before the final fault: {before[0]} of {before[1]}")
    world.note(f"served from {since:.1f} on: {after[0]} of {after[1]}")
    world.note(f"promotion calls: {len(world.promotion_calls)}")
    was_served = before[0] >= QUARTER * before[1]
    is_broken = was_served and after[0] < QUARTER * after[1]
    world.note("RECOVER is broken" if is_broken else "RECOVER holds")
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    sys.exit(run_case(play, RECORD, has_trouble=HAS_TROUBLE))
