"""The proxies that a control process hears of."""

import threading
from dataclasses import dataclass

from dogwoodspool_common import Clock

from .const import MISSED_PRESENCES, PRESENCE_SECONDS, PRESENCES_PER_SECOND
from .models import Neighbour, Presence


@dataclass(frozen=True, slots=True)
class _Entry:
    neighbour: Neighbour
    failure_domain: str
    heard_at: float


class ProxyRoster:
    """Remember which proxies run, for as long as they say so.

    Nothing of it is replicated or stored: proxies say it again within a second, and one
    that knows of too few neighbours opens connections of its own.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._entries: dict[str, _Entry] = {}

    def note(self, presence: Presence) -> list[Neighbour]:
        """Take in a heartbeat; return the proxies of the same failure domain."""
        now = self._clock.now()
        neighbour = Neighbour(presence.proxy, presence.address)
        with self._lock:
            if presence.is_leaving:
                self._entries.pop(presence.proxy, None)
            else:
                self._entries[presence.proxy] = _Entry(
                    neighbour, presence.failure_domain, now
                )
            heard = self._heard_in(presence.failure_domain)
            oldest = now - MISSED_PRESENCES * presence_interval(len(heard))
            present = [one for one in heard if one.heard_at >= oldest]
            for entry in heard:
                if entry.heard_at < oldest:
                    del self._entries[entry.neighbour.name]
        return sorted(entry.neighbour for entry in present)

    def _heard_in(self, failure_domain: str) -> list[_Entry]:
        return [
            one
            for one in self._entries.values()
            if one.failure_domain == failure_domain
        ]


def presence_interval(proxies: int) -> float:
    """Return the seconds between two heartbeats in a failure domain of some size.

    Example:
        >>> presence_interval(24), presence_interval(683)
        (1.0, 6.83)
    """
    return max(PRESENCE_SECONDS, proxies / PRESENCES_PER_SECOND)
