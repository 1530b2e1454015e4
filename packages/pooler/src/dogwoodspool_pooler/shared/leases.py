"""Connections that an owner keeps for transactions of other proxies."""

import secrets
import threading
from collections.abc import Callable
from dataclasses import dataclass

from dogwoodspool_common import Clock, log_rate_limited
from dogwoodspool_following import Coordinator

from ..local_connection import LocalHeldConnection
from .const import LEASE_CHECK_SECONDS, LEASE_MARGIN_SECONDS

LEASE_BYTES = 8


@dataclass(slots=True)
class _Lease:
    held: LocalHeldConnection
    idle_since: float


class LeaseTracker:
    """Keep connections between two statements of a transaction.

    The proxy that began a transaction ends it, also if its caller stays idle for too
    long. A proxy that was lost cannot do so, and its transactions would keep their
    connections and locks, so each lease expires on its own a little later.

    Args:
        idle_limit: returns the seconds for which a group's transactions may be idle.
    """

    def __init__(self, idle_limit: Callable[[str], float], clock: Clock) -> None:
        self._idle_limit = idle_limit
        self._clock = clock
        self._lock = threading.Lock()
        self._leases: dict[str, _Lease] = {}

    @property
    def count(self) -> int:
        """Number of leased connections."""
        with self._lock:
            return len(self._leases)

    def put(self, held: LocalHeldConnection, lease: str | None = None) -> str:
        """Keep a connection and return the name of its lease."""
        name = lease or secrets.token_hex(LEASE_BYTES)
        with self._lock:
            self._leases[name] = _Lease(held, self._clock.now())
        return name

    def take(self, lease: str) -> LocalHeldConnection | None:
        """Remove and return a lease's connection; None if the lease has ended."""
        with self._lock:
            found = self._leases.pop(lease, None)
        return None if found is None else found.held

    def end_all(self) -> None:
        """Roll back all transactions, each on a connection that is not in use."""
        with self._lock:
            ended, self._leases = self._leases, {}
        for one in ended.values():
            one.held.finish(is_good=False)

    def end_expired(self) -> None:
        """End the transactions that have been idle for too long."""
        now = self._clock.now()
        with self._lock:
            ended = {
                name: one
                for name, one in self._leases.items()
                if now - one.idle_since >= self._limit(one)
            }
            for name in ended:
                del self._leases[name]
        for one in ended.values():
            log_rate_limited("lease_expired", server=one.held.server.name)
            one.held.finish(is_good=False)

    def _limit(self, lease: _Lease) -> float:
        return self._idle_limit(lease.held.server.group) + LEASE_MARGIN_SECONDS


class LeaseExpiry(Coordinator):
    """Expire the leases of proxies that were lost."""

    def __init__(self, leases: LeaseTracker, clock: Clock) -> None:
        super().__init__("lease-expiry", clock)
        self._leases = leases

    def step(self) -> float:
        """Check all leases once."""
        self._leases.end_expired()
        return LEASE_CHECK_SECONDS
