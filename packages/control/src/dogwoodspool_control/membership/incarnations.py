"""Age of the registered process of each proxy, by this voter's clock."""

import threading
from collections.abc import Mapping

from dogwoodspool_common import Clock

from ..models import ProxyRecord


class IncarnationAges:
    """Track when this voter first saw each process registered.

    After a change of leader only the registered process of a proxy can be asked to
    release its grant. A process that it replaced got its last grant before the
    registration was committed, and therefore before this voter saw the
    registration.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._first_seen: dict[tuple[str, str], float] = {}
        self._proxy_removed_at = clock.now()

    def observe(self, proxies: Mapping[str, ProxyRecord]) -> None:
        """Record the registered processes; called at each tick on every voter."""
        now = self._clock.now()
        with self._lock:
            if any(name not in proxies for name, _ in self._first_seen):
                self._proxy_removed_at = now
            self._first_seen = {
                key: self._first_seen.get(key, now)
                for key in (
                    (proxy.name, proxy.incarnation) for proxy in proxies.values()
                )
            }

    def are_removed_proxies_expired(self, longest_lease: float) -> bool:
        """Return whether the grants of all removed proxies have expired.

        A proxy that an operator removed is not asked to release its grant. A voter
        does not know whether a proxy was removed before the voter started, so it
        waits for the longest lease after its start as well.
        """
        with self._lock:
            return self._clock.now() - self._proxy_removed_at > longest_lease

    def are_replaced_processes_expired(
        self, proxy: ProxyRecord, longest_lease: float
    ) -> bool:
        """Return whether the grants of the proxy's earlier processes have expired."""
        if not proxy.replaced:
            return True
        with self._lock:
            first_seen = self._first_seen.get((proxy.name, proxy.incarnation))
        if first_seen is None:
            return False
        return self._clock.now() - first_seen > longest_lease
