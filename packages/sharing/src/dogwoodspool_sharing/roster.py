"""The proxies that send heartbeats to a control process."""

import random
import threading
from dataclasses import dataclass

from dogwoodspool_common import Clock

from .const import (
    MAX_CONTACTS,
    MAX_MISSED_HEARTBEATS,
    PRESENCE_SECONDS,
    PRESENCES_PER_SECOND,
)
from .models import Neighbour, Presence


@dataclass(frozen=True, slots=True)
class _Entry:
    neighbour: Neighbour
    failure_domain: str
    last_heartbeat: float


class ProxyRoster:
    """Keep the proxies that run, for as long as their heartbeats arrive.

    The roster is neither replicated nor stored: proxies send another heartbeat within a
    second, and a proxy that knows of too few neighbours opens its own connections.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._entries: dict[str, _Entry] = {}

    def record(self, presence: Presence) -> list[Neighbour]:
        """Record a heartbeat; return the proxies of the same failure domain."""
        now = self._clock.now()
        neighbour = Neighbour(presence.proxy, presence.address)
        with self._lock:
            if presence.is_leaving:
                self._entries.pop(presence.proxy, None)
            else:
                self._entries[presence.proxy] = _Entry(
                    neighbour, presence.failure_domain, now
                )
            entries = self._entries_in(presence.failure_domain)
            oldest = now - MAX_MISSED_HEARTBEATS * presence_interval(len(entries))
            present = [entry for entry in entries if entry.last_heartbeat >= oldest]
            for entry in entries:
                if entry.last_heartbeat < oldest:
                    del self._entries[entry.neighbour.name]
        return sorted(entry.neighbour for entry in present)

    def sample(self, failure_domain: str) -> list[Neighbour]:
        """Return some proxies of a failure domain, chosen at random."""
        now = self._clock.now()
        with self._lock:
            entries = self._entries_in(failure_domain)
        oldest = now - MAX_MISSED_HEARTBEATS * presence_interval(len(entries))
        present = [one.neighbour for one in entries if one.last_heartbeat >= oldest]
        return random.sample(present, min(MAX_CONTACTS, len(present)))

    def _entries_in(self, failure_domain: str) -> list[_Entry]:
        return [
            entry
            for entry in self._entries.values()
            if entry.failure_domain == failure_domain
        ]


def presence_interval(proxies: int) -> float:
    """Return the seconds between two heartbeats of a proxy.

    Args:
        proxies: number of proxies in its failure domain.

    Example:
        >>> presence_interval(24), presence_interval(683)
        (1.0, 6.83)
    """
    return max(PRESENCE_SECONDS, proxies / PRESENCES_PER_SECOND)
