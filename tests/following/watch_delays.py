"""Print the longest delays of a change at a proxy, over combinations of processes.

Run by hand: ``python -m tests.following.watch_delays [MEMBERS [SHARE]]``, where a share
below 1 tries a seeded sample of the combinations.
"""

import itertools
import random
import sys
from collections.abc import Iterator

from loguru import logger

from .control_processes import FollowingProxy, Kind

KINDS = (
    Kind.LIVE,
    Kind.REFUSED,
    Kind.SILENT,
    Kind.HANGING,
    Kind.BEHIND,
    Kind.NOT_CURRENT,
)
PHASES = (0.0, 0.01, 0.5, 0.99)
CHANGES = (0.0, 0.3, 0.7, 1.1, 1.55, 1.7, 2.2, 3.2, 5.0, 7.0)
LIMIT = 30.0


def delay(
    kinds: tuple[Kind, ...],
    place: int,
    lost: Kind,
    phase: float,
    change: float,
    connections: int,
    *,
    reports: bool,
) -> tuple[float, float]:
    """Return the time to the view after the change, and after the loss."""
    proxy = FollowingProxy(list(kinds))
    proxy.select(place)
    lost_at = proxy.clock.now() + phase
    process = proxy.control.processes[proxy.addresses[place]]
    process.until, process.later = lost_at, lost
    process.open_connections = connections
    proxy.control.changed_at = lost_at + change
    seconds = proxy.seconds_until(2, LIMIT, reports=reports)
    return seconds, seconds + change


def cases(count: int, share: float) -> Iterator[tuple[tuple[Kind, ...], int]]:
    """Yield kinds and the place of the polled process, which is live at first."""
    rng = random.Random(1)
    for kinds in itertools.product(KINDS, repeat=count):
        if rng.random() >= share:
            continue
        for place, kind in enumerate(kinds):
            if kind is Kind.LIVE and kinds.count(Kind.LIVE) > 1:
                yield kinds, place


def worst(count: int, share: float, kinds_of_loss: tuple[Kind, ...]) -> None:
    """Print the longest delay for each set of kinds, without their order."""
    found: dict[tuple[object, ...], tuple[float, float, str]] = {}
    for kinds, place in cases(count, share):
        others = sorted(one for n, one in enumerate(kinds) if n != place)
        for lost, reports, connections in itertools.product(
            kinds_of_loss, (False, True), (1, 3)
        ):
            key = (lost, reports, connections, *others)
            for phase, change in itertools.product(PHASES, CHANGES):
                after_change, after_loss = delay(
                    kinds, place, lost, phase, change, connections, reports=reports
                )
                if after_change > found.get(key, (0.0, 0.0, ""))[0]:
                    text = f"{'/'.join(kinds)} polled={place} {phase=} {change=}"
                    found[key] = (after_change, after_loss, text)
    for key, (seconds, after_loss, text) in sorted(
        found.items(), key=lambda one: -one[1][0]
    ):
        if seconds > 3.0:
            print(
                f"{seconds:6.2f} {after_loss:6.2f} {' '.join(map(str, key))} | {text}"
            )


if __name__ == "__main__":
    logger.remove()
    members = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    worst(members, float(sys.argv[2]) if len(sys.argv) > 2 else 1.0, (Kind.SILENT,))
