"""Demand-based leases of connections to backend servers."""

import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from dogwoodspool_common import Clock
from dogwoodspool_limits import base_share
from dogwoodspool_settings import EffectiveSettings


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """How the connections of one backend server are divided.

    Attributes:
        bases: base share of each registered proxy, which needs no lease.
        leasable: connections beyond all base shares, including those reserved for
            proxies that may still register.
    """

    bases: Mapping[str, int]
    leasable: int


@dataclass(frozen=True, slots=True)
class ShareRequest:
    """The connections that a proxy's process requests in a renewal.

    Attributes:
        demand: connections requested for each backend server.
        expires_at: time on the leader's clock at which this renewal's lease has
            expired.
    """

    proxy: str
    incarnation: str
    demand: Mapping[str, int]
    expires_at: float


@dataclass(frozen=True, slots=True)
class _LeasedShare:
    amount: int
    expires_at: float


@dataclass(slots=True)
class _Demand:
    wanted: int
    expires_at: float


def divide_connections(
    connections: int,
    group: EffectiveSettings,
    by_proxy: Mapping[str, EffectiveSettings],
) -> ServerLimits:
    """Divide a server's connections into base shares and leasable connections.

    Args:
        connections: number of connections that the server accepts.
        group: the settings of the server's group.
        by_proxy: for each registered proxy the settings in its failure domain.
    """
    limit = max(0, connections - group.reserved_connections)
    bases = {
        name: base_share(connections, settings) for name, settings in by_proxy.items()
    }
    unregistered = max(0, group.max_proxies - len(bases))
    guaranteed = sum(bases.values()) + unregistered * base_share(connections, group)
    return ServerLimits(bases, max(0, limit - guaranteed))


def fair_shares(capacity: int, wanted: Mapping[str, int]) -> dict[str, int]:
    """Divide a capacity by max-min fairness.

    No share can grow without reducing another that is not larger.

    Example:
        >>> fair_shares(9, {"p1": 2, "p2": 9, "p3": 9})
        {'p1': 2, 'p2': 4, 'p3': 3}
    """
    shares: dict[str, int] = {}
    remaining = max(0, capacity)
    ordered = sorted(wanted, key=lambda name: (wanted[name], name))
    for position, name in enumerate(ordered):
        equal_share = remaining // (len(ordered) - position)
        shares[name] = min(wanted[name], equal_share)
        remaining -= shares[name]
    for name in sorted(wanted):
        if remaining and shares[name] < wanted[name]:
            shares[name] += 1
            remaining -= 1
    return shares


class ShareLedger:
    """Lease the connections beyond the base shares for the lease time of a renewal.

    A share that shrinks counts in full until the lease under which it was issued has
    expired, as the proxy may still use it. Each share is therefore limited to what the
    leases of all other proxies leave, and the sum never exceeds the limit.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._leadership_term: int | None = None
        self._leases: dict[str, dict[tuple[str, str], list[_LeasedShare]]] = {}
        self._demand: dict[str, dict[str, _Demand]] = {}

    def renew(
        self,
        request: ShareRequest,
        limits: Mapping[str, ServerLimits],
        leadership_term: int,
        leases_from: float,
    ) -> dict[str, int]:
        """Return the proxy's share of each server, its base share included.

        Args:
            request: the proxy's request.
            limits: division of each server's connections.
            leadership_term: term of the leadership; a new one discards all leases.
            leases_from: time by which the leases of earlier leaders, which are not
                known here, have expired.
        """
        with self._lock:
            self._reset_on_new_leadership(leadership_term)
            may_lease = self._clock.now() >= leases_from
            return {
                server: self._renew_server(request, server, limit, may_lease)
                for server, limit in limits.items()
            }

    def leased(self, server: str) -> int:
        """Return how many of a server's connections are currently leased."""
        with self._lock:
            holders = self._leases.get(server, {})
            return sum(self._held(shares) for shares in holders.values())

    def _reset_on_new_leadership(self, leadership_term: int) -> None:
        if leadership_term != self._leadership_term:
            self._leadership_term = leadership_term
            self._leases.clear()
            self._demand.clear()

    def _renew_server(
        self, request: ShareRequest, server: str, limits: ServerLimits, may_lease: bool
    ) -> int:
        base = limits.bases.get(request.proxy, 0)
        wanted = max(0, request.demand.get(server, 0) - base)
        demands = self._live_demands(server)
        demands[request.proxy] = _Demand(wanted, request.expires_at)
        if not may_lease:
            return base
        by_proxy = {name: demand.wanted for name, demand in demands.items()}
        target = fair_shares(limits.leasable, by_proxy)[request.proxy]
        holders = self._live_holders(server)
        key = (request.proxy, request.incarnation)
        others = sum(
            self._held(shares) for holder, shares in holders.items() if holder != key
        )
        amount = max(0, min(target, limits.leasable - others))
        if amount:
            holders.setdefault(key, []).append(_LeasedShare(amount, request.expires_at))
        return base + amount

    def _live_demands(self, server: str) -> dict[str, _Demand]:
        now = self._clock.now()
        demands = self._demand.setdefault(server, {})
        for name in [name for name, one in demands.items() if one.expires_at <= now]:
            del demands[name]
        return demands

    def _live_holders(self, server: str) -> dict[tuple[str, str], list[_LeasedShare]]:
        holders = self._leases.setdefault(server, {})
        for key, shares in list(holders.items()):
            live = self._live(shares)
            if live:
                holders[key] = live
            else:
                del holders[key]
        return holders

    def _live(self, shares: Iterable[_LeasedShare]) -> list[_LeasedShare]:
        now = self._clock.now()
        return [share for share in shares if share.expires_at > now]

    def _held(self, shares: Iterable[_LeasedShare]) -> int:
        return max((share.amount for share in self._live(shares)), default=0)
