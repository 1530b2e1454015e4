"""Outcomes of the requests of an emulation."""

from collections import Counter
from dataclasses import dataclass, field

from .const import WINDOW_SECONDS


@dataclass(slots=True)
class ServerStats:
    """Counts and slot times of all servers together.

    Attributes:
        connects: connection attempts.
        refused_connects: connection attempts that were refused.
        refused_by_living: those of them that were not due to connections of processes
            that had ended.
        arrivals: statements that reached a server.
        refusals: statements refused because the server's queue was full.
        behind: statements that a replica refused because its data was behind.
        connecting: slot seconds that new connections took.
        working: slot seconds that statements took.
        most_connections: most connections that a server had at a time.
        waits: waits of reads for replicas.
        failed_waits: waits after which the replica still lacked the position.
        crossings: statements sent to a server of another failure domain.
        by_server: statements that each server ran.
        primaries: names of the primaries.
    """

    connects: int = 0
    refused_connects: int = 0
    refused_by_living: int = 0
    arrivals: int = 0
    refusals: int = 0
    behind: int = 0
    connecting: float = 0.0
    working: float = 0.0
    most_connections: int = 0
    waits: int = 0
    failed_waits: int = 0
    crossings: int = 0
    by_server: Counter[str] = field(default_factory=Counter)
    primaries: set[str] = field(default_factory=set)

    @property
    def primary_share(self) -> float:
        """Fraction of all statements that ran on primaries."""
        on_primaries = sum(self.by_server[name] for name in self.primaries)
        return on_primaries / max(1, self.by_server.total())

    @property
    def crossing_share(self) -> float:
        """Fraction of all statements that ran in another failure domain."""
        return self.crossings / max(1, self.by_server.total())

    @property
    def work_share(self) -> float:
        """Fraction of the used slot time that was spent on statements."""
        used = self.connecting + self.working
        return self.working / used if used else 1.0


@dataclass
class Outcomes:
    """How requests ended: in total, by time window and by kind."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    reasons: Counter[str] = field(default_factory=Counter)
    servers: ServerStats = field(default_factory=ServerStats)
    windows: dict[int, Counter[str]] = field(default_factory=dict)
    kinds: dict[str, Counter[str]] = field(default_factory=dict)

    @property
    def served_share(self) -> float:
        """Fraction of the requests that were answered in time."""
        return self.in_time / max(1, self.requests)

    @property
    def worst_window(self) -> float:
        """The lowest fraction answered in time in any window with requests."""
        shares = [
            counts["in_time"] / counts["requests"]
            for counts in self.windows.values()
            if counts["requests"]
        ]
        return min(shares, default=1.0)

    @property
    def connects_per_100(self) -> float:
        """Connections opened per 100 requests."""
        opened = self.servers.connects - self.servers.refused_connects
        return 100 * opened / max(1, self.requests)

    def share_in_time(self, kind: str) -> float:
        """Return the fraction of one kind of request that was answered in time."""
        counts = self.kinds[kind]
        return counts["in_time"] / counts["requests"]

    def record(self, kind: str, began_at: float, outcome: str) -> None:
        """Count one request that ended."""
        self.requests += 1
        setattr(self, outcome, getattr(self, outcome) + 1)
        window = self.windows.setdefault(int(began_at / WINDOW_SECONDS), Counter())
        for counts in (window, self.kinds.setdefault(kind, Counter())):
            counts.update(("requests", outcome))
