"""The proxies of this failure domain, and which of them own a group's pools."""

import math
import threading
from collections import deque
from collections.abc import Iterable, Mapping, Sequence

from dogwoodspool_common import Clock, log_event
from dogwoodspool_common.const import NEVER

from .const import (
    MAX_FORWARDING_PROXIES,
    MIN_OWNERS,
    NEIGHBOUR_RETENTION_SECONDS,
    OWNER_RETRY_SECONDS,
    TAKEOVER_REQUESTS,
    TAKEOVER_SECONDS,
    USED_OF_LOST_OWNERS,
)
from .models import Neighbour, Owners, PrimaryShare, ServerLimits
from .ownership import (
    account_order,
    assign_owners,
    is_shared,
    owner_count,
    owner_order,
    primary_parts,
)
from .parts import ConnectionPart, ConnectionParts, PoolRole, outside_part


class ProxyDirectory:
    """Track the neighbours of one proxy and the owners among them.

    While control answers, a neighbour that it no longer reports is kept for the
    retention period. While control does not answer, all neighbours are kept, so that a
    failure domain that is disconnected for hours keeps its owners.

    Args:
        own: this process.
        failure_domains: number of failure domains; all are assumed to have the same
            number of proxies.
        uses_primary_owners: whether the owners in a primary's failure domain serve its
            work for all failure domains.
    """

    def __init__(
        self,
        own: Neighbour,
        failure_domains: int,
        clock: Clock,
        *,
        uses_primary_owners: bool = False,
    ) -> None:
        self._own = own
        self._failure_domains = failure_domains
        self._uses_primary_owners = uses_primary_owners
        self._clock = clock
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._is_known = self._is_leaving = False
        self._neighbours = {own.name: own}
        self._sorted: tuple[Neighbour, ...] = (own,)
        self._missing_since: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._asked_at: dict[str, deque[float]] = {}
        self._limits: dict[str, ServerLimits] = {}
        # Owners of the groups whose pools are shared; None until they are needed.
        self._owners: dict[str, Owners] | None = None

    @property
    def count(self) -> int:
        """Number of proxies in the failure domain, including this one."""
        with self._lock:
            return len(self._neighbours)

    @property
    def neighbours(self) -> tuple[Neighbour, ...]:
        """The proxies of the failure domain, including this one, by name."""
        return self._sorted

    def wait_known(self, seconds: float) -> bool:
        """Wait until control has reported the neighbours; return False on timeout."""
        deadline = self._clock.now() + seconds
        with self._changed:
            while not self._is_known:
                remaining = deadline - self._clock.now()
                if remaining <= 0:
                    return False
                self._clock.wait(self._changed, remaining)
            return True

    def has_failed(self, name: str) -> bool:
        """Return whether a proxy did not answer within the retry time."""
        with self._lock:
            return self._failed_lately(name)

    def adopt(self, reported: Iterable[Neighbour]) -> None:
        """Update the neighbours to the proxies that control reports."""
        now = self._clock.now()
        by_name = {neighbour.name: neighbour for neighbour in reported}
        with self._lock:
            merged = {**by_name, self._own.name: self._own}
            for name in self._neighbours.keys() - merged.keys():
                since = self._missing_since.setdefault(name, now)
                if now - since < NEIGHBOUR_RETENTION_SECONDS:
                    merged[name] = self._neighbours[name]
            self._missing_since = {
                name: since
                for name, since in self._missing_since.items()
                if name in merged and name not in by_name
            }
            if not self._is_known:
                self._is_known = True
                self._changed.notify_all()
            if merged == self._neighbours:
                return
            self._neighbours = merged
            self._failed_at = {
                name: at for name, at in self._failed_at.items() if name in merged
            }
            self._sorted = tuple(sorted(merged.values()))
            self._owners = None
        log_event("neighbours", count=len(merged), named=len(by_name))

    def set_groups(self, limits: Mapping[str, ServerLimits]) -> None:
        """Set the server limits of each group; groups left out are not shared."""
        with self._lock:
            if limits != self._limits:
                self._limits = dict(limits)
                self._owners = None

    def owners(self, group: str, account: str = "") -> Sequence[Neighbour] | None:
        """Return the proxies to try for a request to a group, in this order.

        Args:
            group: the group.
            account: client account whose connections the request needs; empty if it
                can use any connection.

        Returns:
            None if this process uses its own connections; an empty sequence if none of
            the owners answers at present.
        """
        with self._lock:
            chosen = self._chosen(group)
            if chosen is not None and self._is_leaving:
                chosen = chosen.without(self._own)
            if chosen is None or not chosen.in_use + chosen.in_reserve:
                return None
            if account:
                ordered = account_order(account, group, chosen)
                if self._own in ordered:
                    ordered = ordered[: ordered.index(self._own)]
                    if not ordered:
                        return None
            elif self._own in chosen.in_use:
                return None
            else:
                ordered = owner_order(self._own.name, group, chosen)
            return [owner for owner in ordered if not self._failed_lately(owner.name)]

    def assigned(self, group: str) -> Owners | None:
        """Return the owners of a group; None if its pools are not shared."""
        with self._lock:
            return self._chosen(group)

    def forwards_to_primary_owners(self, group: str) -> bool:
        """Return whether a primary elsewhere is used through the owners there.

        Whether the primary is elsewhere is not checked.
        """
        with self._lock:
            if not self._forwards():
                return False
            limits = self._limits.get(group)
            return limits is not None and self._is_shared(limits)

    def primary_share(
        self, group: str, limits: ServerLimits, *, is_near: bool
    ) -> PrimaryShare | None:
        """Return the connections and slots of a primary that this process may use.

        Args:
            group: the group.
            limits: slots of the primary, and connections that it accepts from proxies.
            is_near: whether the primary is in this failure domain.

        Returns:
            None if the part that follows from the role of this process applies.
        """
        if not self.forwards_to_primary_owners(group):
            return None
        assigned = self.assigned(group)
        if assigned is None or (is_near and self._own not in assigned.in_use):
            return None
        owners = max(1, len(assigned.in_use))
        domains = self._failure_domains
        all_parts = ConnectionParts.divide(
            limits.connections, owners * domains, len(assigned.in_reserve) * domains
        )
        for_owners = all_parts.owner * owners * domains
        parts = primary_parts(for_owners, owners, domains)
        if not is_near:
            return PrimaryShare(parts.elsewhere)
        return PrimaryShare(parts.near, math.ceil(limits.slots / owners))

    def owner_share(self, group: str) -> float | None:
        """Return the fraction of the work of a group's primary that one owner serves.

        Returns:
            None if the pools of the group are not shared.
        """
        with self._lock:
            limits = self._limits.get(group)
            if limits is None or not self._is_shared(limits):
                return None
            owners = owner_count(limits, self._failure_domains)
            if self._forwards():
                return 1 / owners
            return 1 / (owners * self._failure_domains)

    def leave(self) -> None:
        """Have this process own no pools, as it ends soon.

        Requests of its own callers go to the other owners, and its connections are left
        to its successor.
        """
        with self._lock:
            self._is_leaving = True

    def connection_part(self, group: str, available: int) -> ConnectionPart | None:
        """Return the connections to each server that this process may hold.

        Args:
            group: the group of the server.
            available: connections that the server accepts from all proxies together.

        Returns:
            None if the pools of the group are not shared.
        """
        with self._lock:
            limits = self._limits.get(group)
            if limits is None or not self._is_shared(limits):
                return None
            domains = self._failure_domains
            in_use = owner_count(limits, domains)
            in_reserve = max(0, MIN_OWNERS - in_use)
            parts = ConnectionParts.divide(
                available, in_use * domains, in_reserve * domains
            )
            role = self._role(group)
            if role is PoolRole.OWNER:
                return ConnectionPart(role, parts.owner)
            if role is PoolRole.RESERVE:
                return ConnectionPart(role, parts.reserve)
            outside = max(1, len(self._neighbours) - in_use - in_reserve)
            if not self._are_owners_lost(group):
                return outside_part(parts.outside, outside * domains)
            # The owners of this failure domain hold no connections any more.
            lost = parts.owner * in_use + parts.reserve * in_reserve
            return outside_part(
                lost + parts.outside / domains, outside, USED_OF_LOST_OWNERS
            )

    def record_owner_failure(self, name: str) -> None:
        """Record that an owner did not answer; it is skipped for the retry time."""
        with self._lock:
            self._failed_at[name] = self._clock.now()

    def record_neighbour_request(self, group: str) -> None:
        """Record that this process serves a request of a neighbour."""
        with self._lock:
            chosen = self._chosen(group)
            if chosen is not None and self._own in chosen.in_reserve:
                asked = self._asked_at.setdefault(
                    group, deque(maxlen=TAKEOVER_REQUESTS)
                )
                asked.append(self._clock.now())

    def _forwards(self) -> bool:
        proxies = len(self._neighbours) * self._failure_domains
        is_on = self._uses_primary_owners and self._failure_domains > 1
        return is_on and proxies <= MAX_FORWARDING_PROXIES

    def _chosen(self, group: str) -> Owners | None:
        if self._owners is None:
            self._owners = self._assign()
        return self._owners.get(group)

    def _role(self, group: str) -> PoolRole:
        chosen = self._chosen(group)
        if self._is_leaving:
            return PoolRole.RESERVE
        if chosen is None or self._own in chosen.in_use:
            return PoolRole.OWNER
        if self._own not in chosen.in_reserve:
            return PoolRole.OUTSIDE
        # Neighbours send their requests here once the owners in use do not answer. That
        # is before control reports that those have ended.
        is_acting = self._have_failed(chosen.in_use) or self._is_often_asked(group)
        return PoolRole.OWNER if is_acting else PoolRole.RESERVE

    def _is_often_asked(self, group: str) -> bool:
        asked = self._asked_at.get(group)
        if asked is None or len(asked) < TAKEOVER_REQUESTS:
            return False
        return self._clock.now() - asked[0] < TAKEOVER_SECONDS

    def _are_owners_lost(self, group: str) -> bool:
        chosen = self._chosen(group)
        if chosen is None:
            return False
        return self._have_failed((*chosen.in_use, *chosen.in_reserve))

    def _have_failed(self, owners: Iterable[Neighbour]) -> bool:
        return all(self._failed_within(one.name, TAKEOVER_SECONDS) for one in owners)

    def _assign(self) -> dict[str, Owners]:
        counts = {
            group: owner_count(limits, self._failure_domains)
            for group, limits in self._limits.items()
            if self._is_shared(limits)
        }
        return assign_owners(counts, self._neighbours.values())

    def _is_shared(self, limits: ServerLimits) -> bool:
        return is_shared(limits, len(self._neighbours), self._failure_domains)

    def _failed_lately(self, name: str) -> bool:
        return self._failed_within(name, OWNER_RETRY_SECONDS)

    def _failed_within(self, name: str, seconds: float) -> bool:
        failed_at = self._failed_at.get(name, NEVER)
        return self._clock.now() - failed_at < seconds
