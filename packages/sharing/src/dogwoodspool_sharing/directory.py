"""The proxies of the own failure domain, and which of them own a group's pools."""

import threading
from collections.abc import Iterable, Mapping, Sequence

from dogwoodspool_common import Clock, log_event

from .const import NEIGHBOUR_LIFE_SECONDS, OWNER_RETRY_SECONDS
from .models import Neighbour, Owners, ServerLimits
from .ownership import assign_owners, is_shared, order_for, owner_count


class ProxyDirectory:
    """Know the neighbours of one proxy.

    A neighbour that control no longer names is kept for a moment while control answers,
    and for as long as it does not: a failure domain that is cut off for hours keeps its
    owners.

    Args:
        own: this process.
        failure_domains: how many there are; all are taken to have as many proxies.
    """

    def __init__(self, own: Neighbour, failure_domains: int, clock: Clock) -> None:
        self._own = own
        self._failure_domains = failure_domains
        self._clock = clock
        self._lock = threading.Lock()
        self._neighbours = {own.name: own}
        self._missing_since: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._limits: dict[str, ServerLimits] = {}
        # Of the groups whose pools are shared; None until they are looked up.
        self._owners: dict[str, Owners] | None = None

    @property
    def count(self) -> int:
        """Proxies of the failure domain, this one included."""
        with self._lock:
            return len(self._neighbours)

    def adopt(self, named: Iterable[Neighbour]) -> None:
        """Take over the proxies that control names."""
        now = self._clock.now()
        by_name = {one.name: one for one in named}
        with self._lock:
            merged = {**by_name, self._own.name: self._own}
            for name in self._neighbours.keys() - merged.keys():
                since = self._missing_since.setdefault(name, now)
                if now - since < NEIGHBOUR_LIFE_SECONDS:
                    merged[name] = self._neighbours[name]
            self._missing_since = {
                name: since
                for name, since in self._missing_since.items()
                if name in merged and name not in by_name
            }
            if merged == self._neighbours:
                return
            self._neighbours = merged
            self._owners = None
        log_event("neighbours", count=len(merged), named=len(by_name))

    def set_groups(self, limits: Mapping[str, ServerLimits]) -> None:
        """Take over what each group's servers take; groups left out are not shared."""
        with self._lock:
            if limits != self._limits:
                self._limits = dict(limits)
                self._owners = None

    def owners(self, group: str) -> Sequence[Neighbour] | None:
        """Return the proxies that a request to a group goes to, the first one first.

        Returns:
            None where this process uses connections of its own; nothing where none of
            the owners answers at present.
        """
        with self._lock:
            if self._owners is None:
                self._owners = self._assign()
            chosen = self._owners.get(group)
            if chosen is None or self._own in chosen.in_use:
                return None
            ordered = order_for(self._own.name, group, chosen)
            return [one for one in ordered if not self._is_passed_over(one.name)]

    def record_owner_failure(self, name: str) -> None:
        """Pass an owner over for a while that gave no answer."""
        with self._lock:
            self._failed_at[name] = self._clock.now()

    def _assign(self) -> dict[str, Owners]:
        neighbours = len(self._neighbours)
        counts = {
            group: owner_count(limits, self._failure_domains)
            for group, limits in self._limits.items()
            if is_shared(limits, neighbours, self._failure_domains)
        }
        return assign_owners(counts, self._neighbours.values())

    def _is_passed_over(self, name: str) -> bool:
        failed_at = self._failed_at.get(name)
        if failed_at is None:
            return False
        if self._clock.now() - failed_at < OWNER_RETRY_SECONDS:
            return True
        del self._failed_at[name]
        return False
