"""The proxies of the own failure domain, and which of them own a group's pools."""

import threading
from collections.abc import Iterable, Sequence

from dogwoodspool_common import Clock, log_event

from .const import NEIGHBOUR_LIFE_SECONDS, OWNER_RETRY_SECONDS
from .models import Neighbour
from .ownership import choose_owners, is_scarce, order_for, owner_count


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
        # Owners by group and by their number, for the present neighbours.
        self._owners: dict[tuple[str, int], list[Neighbour]] = {}

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
            self._owners.clear()
        log_event("neighbours", count=len(merged), named=len(by_name))

    def owners(self, group: str, connections: int) -> Sequence[Neighbour] | None:
        """Return the proxies that a request to a group goes to, the first one first.

        Args:
            group: the database group.
            connections: what each of its servers takes.

        Returns:
            None where this process uses connections of its own; nothing where none of
            the owners answers at present.
        """
        with self._lock:
            if not is_scarce(
                connections, len(self._neighbours) * self._failure_domains
            ):
                return None
            count = owner_count(connections, self._failure_domains)
            chosen = self._owners.get((group, count))
            if chosen is None:
                neighbours = self._neighbours.values()
                chosen = choose_owners(group, neighbours, count)
                self._owners[group, count] = chosen
            if self._own in chosen:
                return None
            usable = [one for one in chosen if not self._is_passed_over(one.name)]
        return order_for(self._own.name, group, usable)

    def note_failed(self, name: str) -> None:
        """Pass an owner over for a while that gave no answer."""
        with self._lock:
            self._failed_at[name] = self._clock.now()

    def _is_passed_over(self, name: str) -> bool:
        failed_at = self._failed_at.get(name)
        if failed_at is None:
            return False
        if self._clock.now() - failed_at < OWNER_RETRY_SECONDS:
            return True
        del self._failed_at[name]
        return False
