"""Latencies of the servers of each group, compared with each other."""

from .const import DEFAULT_LATENCY, UNTRIED_LATENCY_SHARE


class GroupLatencies:
    """Keep the last average latency of each server, by group.

    A server without recent statements is assumed to be faster than the others of its
    group. Otherwise a server that was slow once would get no read that could show that
    it is fast again, as long as another one serves all of them.
    """

    def __init__(self) -> None:
        self._averages: dict[str, dict[str, float]] = {}

    def record(self, group: str, server: str, average: float) -> None:
        """Record a server's average latency in seconds."""
        self._averages.setdefault(group, {})[server] = average

    def forget(self, server: str) -> None:
        """Forget a server's latency."""
        for averages in self._averages.values():
            averages.pop(server, None)

    def untried(self, group: str) -> float:
        """Return the latency in seconds assumed of a group's untried servers."""
        lowest = min(self._averages.get(group, {}).values(), default=DEFAULT_LATENCY)
        return min(DEFAULT_LATENCY, UNTRIED_LATENCY_SHARE * lowest)
