"""Counters and state of a stand-in for operators and tests."""

from typing import Any

from dogwoodspool_common import JsonResponse, Route, ServerStatus

from .connection_limiter import ConnectionLimiter
from .const import PATH_DIAGNOSTICS
from .counters import StatementCounters
from .faults import FaultSwitches
from .member import GroupMember
from .slots import Slots


class Diagnostics:
    """Report counters and state over HTTP."""

    def __init__(
        self,
        member: GroupMember,
        connection_limiter: ConnectionLimiter,
        slots: Slots,
        counters: StatementCounters,
        faults: FaultSwitches,
    ) -> None:
        self._member = member
        self._connection_limiter = connection_limiter
        self._slots = slots
        self._counters = counters
        self._faults = faults

    def route(self) -> Route:
        """Return the HTTP route of the diagnostics."""
        return Route(
            "GET", PATH_DIAGNOSTICS, lambda _request: JsonResponse(self.collect())
        )

    def collect(self) -> dict[str, Any]:
        """Return the current counters and state."""
        return {
            "status": _status(self._member.status()),
            "connections_now": self._connection_limiter.callers,
            "connections_peak": self._connection_limiter.peak,
            "connections_refused": self._connection_limiter.refused,
            "replicas_now": self._connection_limiter.replicas,
            "slots_in_use": self._slots.in_use,
            "slots_peak": self._slots.peak,
            "slots_waiting": self._slots.waiting,
            "slots_waits": self._slots.waits,
            "statements": self._counters.statements,
            "recent_statements": self._counters.recent,
            "writes": self._counters.writes,
            "faults": self._faults.current.model_dump(mode="json"),
        }


def _status(status: ServerStatus) -> dict[str, Any]:
    return {
        "server": status.server,
        "role": str(status.role),
        "term": status.position.term,
        "offset": status.position.offset,
        "lag_ms": status.lag_ms,
        "is_leaving": status.is_leaving,
    }
