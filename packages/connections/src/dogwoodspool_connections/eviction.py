"""Choose the idle connection that is closed for one of another client account."""

import math
from collections import Counter
from collections.abc import Iterable
from typing import Protocol

from dogwoodspool_common import Clock

from .const import IDLE_RANK_EXPONENT, MAX_USE_RATES, USE_RATE_SECONDS
from .pooled import ConnectionT


class EvictionOrder(Protocol):
    """Interface of the rules by which an idle connection is chosen for eviction."""

    def record_use(self, account: str) -> None:
        """Record that an account needed a connection."""
        ...

    def choose(self, idle: Iterable[ConnectionT]) -> ConnectionT:
        """Choose one of several connections, of which the first is idle the longest."""
        ...


class LongestIdle:
    """Evict the connection that has been idle the longest."""

    def record_use(self, account: str) -> None:
        """Record nothing."""

    def choose(self, idle: Iterable[ConnectionT]) -> ConnectionT:
        """Return the connection that has been idle the longest."""
        return next(iter(idle))


class LeastUsed:
    """Evict the connection that is expected to be needed last.

    An account takes the connection that it used last, so it needs the one that has been
    idle the longest only while all its others are in use. The rate of use of an idle
    connection is therefore the account's rate, divided by a power of the connection's
    rank among the account's idle ones. Otherwise a large account would keep more
    connections than it uses.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._uses: dict[str, tuple[float, float]] = {}

    @property
    def count(self) -> int:
        """Number of accounts whose rates are kept."""
        return len(self._uses)

    def record_use(self, account: str) -> None:
        """Record that an account needed a connection."""
        self._uses[account] = (self._rate(account) + 1.0, self._clock.now())
        if len(self._uses) > MAX_USE_RATES:
            ranked = sorted(self._uses, key=self._rate)
            for dropped in ranked[: MAX_USE_RATES // 2]:
                del self._uses[dropped]

    def choose(self, idle: Iterable[ConnectionT]) -> ConnectionT:
        """Choose the connection with the lowest rate of use."""
        connections = list(idle)
        remaining = Counter(one.account for one in connections)
        chosen, lowest = connections[0], math.inf
        for connection in connections:
            account = connection.account
            rate = self._rate(account) / remaining[account] ** IDLE_RANK_EXPONENT
            remaining[account] -= 1
            if rate < lowest:
                chosen, lowest = connection, rate
        return chosen

    def _rate(self, account: str) -> float:
        uses, at = self._uses.get(account, (0.0, 0.0))
        return uses * math.exp((at - self._clock.now()) / USE_RATE_SECONDS)
