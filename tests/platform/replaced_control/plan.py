"""What varies between days."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from .const import WAYS, ZONES

# How the operator changes the configuration.
CHANGES: Final = ("steady", "bursts", "pairs", "many", "mixed")
# How proxies are restarted while control processes are replaced.
RESTARTS: Final = ("none", "killed", "stopped", "mixed")
# Whether control processes are also restarted with their disks, one at a time or all
# at once.
CORE_RESTARTS: Final = ("none", "one", "all")
# What callers ask for: unknown and removed databases all the time, or hardly ever.
CALLERS: Final = ("asking", "quiet")
# When the last proxy's process is stopped: never, over the replacements of
# all control processes, or for some seconds again and again.
PAUSES: Final = ("none", "throughout", "often")


@dataclass(frozen=True)
class Plan:
    """One kind of day.

    Attributes:
        edges: number of proxies.
        edge_zones: failure domains of the proxies, in turn.
        ways: what lost machines' addresses do with connections, chosen by chance.
        gap_seconds: time between the losses of two control processes.
        calm_seconds: time without a loss before all lose power.
        changes: one of ``CHANGES``.
        restarts: one of ``RESTARTS``.
        core_restarts: one of ``CORE_RESTARTS``.
        spares_edges: whether only control processes lose their power at the end.
        kept_sessions: sessions that are kept open at each proxy.
        callers: one of ``CALLERS``.
        max_pause_seconds: longest time from a begin to the first statement, for quiet
            callers.
        busy_edges: number of proxies, in turn, that are kept busy by more callers.
        busy_callers: number of callers who keep one proxy busy.
        paused: one of ``PAUSES``.
    """

    edges: int = 3
    edge_zones: Sequence[str] = ZONES
    ways: Sequence[str] = WAYS
    gap_seconds: float = 3.0
    calm_seconds: float = 0.0
    changes: str = "mixed"
    restarts: str = "mixed"
    core_restarts: str = "none"
    spares_edges: bool = False
    kept_sessions: int = 4
    callers: str = "asking"
    max_pause_seconds: float = 5.0
    busy_edges: int = 0
    busy_callers: int = 200
    paused: str = "none"
