"""Ages of the proxies' registered processes on this voter's clock."""

import threading
from collections.abc import Mapping

from dogwoodspool_common import Clock

from ..models import ProxyRecord


class IncarnationAges:
    """Remember when this voter first saw each process registered.

    After a change of leader only the registered process of a proxy can be asked
    for its grant. A process that it replaced got its last grant before the
    registration was committed, so before this voter saw it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._first_seen: dict[tuple[str, str], float] = {}
        self._proxy_gone_at = clock.now()

    def observe(self, proxies: Mapping[str, ProxyRecord]) -> None:
        """Note the registered processes; called at each tick on every voter."""
        now = self._clock.now()
        with self._lock:
            if any(name not in proxies for name, _ in self._first_seen):
                self._proxy_gone_at = now
            self._first_seen = {
                key: self._first_seen.get(key, now)
                for key in ((one.name, one.incarnation) for one in proxies.values())
            }

    def are_complete(self, longest_lease: float) -> bool:
        """Tell whether no proxy that left the registered ones can hold a grant.

        Nobody asks a proxy that an operator has removed for its grant. A voter
        that started lately does not know whether one was removed before.
        """
        with self._lock:
            return self._clock.now() - self._proxy_gone_at > longest_lease

    def is_alone(self, proxy: ProxyRecord, longest_lease: float) -> bool:
        """Tell whether no earlier process of the proxy can hold a grant."""
        if not proxy.replaced:
            return True
        with self._lock:
            first_seen = self._first_seen.get((proxy.name, proxy.incarnation))
        if first_seen is None:
            return False
        return self._clock.now() - first_seen > longest_lease
