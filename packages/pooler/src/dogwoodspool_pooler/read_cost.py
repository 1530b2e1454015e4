"""Cost of the servers that may serve a read, in seconds."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from dogwoodspool_routing import ServerView

from .const import (
    CROSSING_UTILISATION,
    MAX_PRIMARY_UTILISATION,
    MAX_PRIMARY_VALUE,
    MIN_ROOM,
    NEARLY_EQUAL_COST,
    OTHER_DOMAIN_PENALTY,
    PRIMARY_PENALTY,
)


class ReadCost(Protocol):
    """Interface to the cost by which the servers for a read are compared."""

    @property
    def tolerance(self) -> float:
        """Difference in seconds below which two costs may count as equal."""
        ...

    def cost(
        self, server: ServerView, *, is_primary: bool, is_own_domain: bool
    ) -> float:
        """Return the cost in seconds of one more read on a server."""
        ...


class StandingCost:
    """Constant penalties, for proxies with pools of their own.

    Implements ``ReadCost``. Such a proxy has a small and unknown part of the load of a
    primary, so its own statements show little of that load.
    """

    @property
    def tolerance(self) -> float:
        """Difference in seconds below which two costs may count as equal."""
        return 0.0

    def cost(
        self, server: ServerView, *, is_primary: bool, is_own_domain: bool
    ) -> float:
        """Return the expected time with the constant penalties."""
        penalty = 0.0 if is_own_domain else OTHER_DOMAIN_PENALTY
        if is_primary:
            penalty += PRIMARY_PENALTY
        return expected_time(server) + penalty


@dataclass(frozen=True, slots=True)
class AdmissionState:
    """State of this process's admission queue for a server.

    Attributes:
        limit: statements that may be in flight; see ``AdaptiveConcurrency``.
        waiting: statements in the queue.
        estimated_wait: seconds that a new statement would wait.
    """

    limit: int
    waiting: int
    estimated_wait: float


# Returns the state of the admission queue for a server; None if there is none yet.
AdmissionLookup = Callable[[str], AdmissionState | None]


class LoadCost:
    """Value the room of the primary by its load, for owners of shared pools.

    Implements ``ReadCost``. A read at the primary delays the writes and the reads that
    only the primary can serve, the more the fuller the primary is; see ``room_value``.

    Args:
        share: returns the part of the load of a group's servers that this process has,
            by its equal part of their connections; None if the pools are not shared.
        admission: looks up the admission queue of a server.
    """

    def __init__(
        self, share: Callable[[str], float | None], admission: AdmissionLookup
    ) -> None:
        self._share = share
        self._admission = admission

    @property
    def tolerance(self) -> float:
        """Difference in seconds below which two costs may count as equal."""
        return NEARLY_EQUAL_COST

    def cost(
        self, server: ServerView, *, is_primary: bool, is_own_domain: bool
    ) -> float:
        """Return the expected time, also in the queue, with the value of the room."""
        admission = self._admission(server.name)
        cost = expected_time(server)
        if admission is not None:
            cost += admission.estimated_wait
        if not is_own_domain:
            cost += OTHER_DOMAIN_PENALTY
        if is_primary:
            cost += self.primary_value(server, admission)
        return cost

    def primary_value(
        self, primary: ServerView, admission: AdmissionState | None
    ) -> float:
        """Return the value in seconds of the room that one read takes."""
        share = self._share(primary.server.group)
        if share is None:
            return PRIMARY_PENALTY
        room = max(primary.server.slots * share, MIN_ROOM)
        demand = primary.load
        if admission is not None:
            room = min(room, admission.limit)
            demand += admission.waiting
        return room_value(demand / room)


def room_value(utilisation: float) -> float:
    """Return the value in seconds of the room of one read at a primary.

    It grows with the square root of the ratio of used to free room: steeply at low
    utilisation, so that reads leave a primary that replicas can relieve, and slowly at
    high utilisation, where the replicas are loaded as well. It equals the penalty for
    crossing to another failure domain at ``CROSSING_UTILISATION``.

    Example:
        >>> room_value(0.0), round(room_value(0.2), 3), room_value(2.0)
        (0.008, 0.041, 0.07)
    """
    used = min(utilisation, MAX_PRIMARY_UTILISATION)
    at_crossing = CROSSING_UTILISATION / (1 - CROSSING_UTILISATION)
    value = OTHER_DOMAIN_PENALTY * math.sqrt(used / (1 - used) / at_crossing)
    return min(max(value, PRIMARY_PENALTY), MAX_PRIMARY_VALUE)


def expected_time(server: ServerView) -> float:
    """Return the expected duration in seconds of one more statement on a server.

    A statement queues only once all slots of the server are in use. The statements of
    other processes are accounted for by the average latency.
    """
    waiting = max(0, server.in_flight + 1 - server.server.slots)
    return server.latency * (1 + waiting / server.server.slots)
