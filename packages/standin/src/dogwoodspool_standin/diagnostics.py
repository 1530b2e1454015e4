"""What an operator or a test can see of a stand-in."""

from typing import Any

from dogwoodspool_common import JsonResponse, Route, ServerStatus

from .const import PATH_DIAGNOSTICS
from .counters import StatementCounters
from .faults import FaultSwitches
from .member import GroupMember
from .registry import Registry
from .slots import Slots


class Diagnostics:
    """Collect counters and state over HTTP."""

    def __init__(
        self,
        member: GroupMember,
        registry: Registry,
        slots: Slots,
        counters: StatementCounters,
        faults: FaultSwitches,
    ) -> None:
        self._member = member
        self._registry = registry
        self._slots = slots
        self._counters = counters
        self._faults = faults

    def route(self) -> Route:
        """Return the endpoint."""
        return Route(
            "GET", PATH_DIAGNOSTICS, lambda _request: JsonResponse(self.collect())
        )

    def collect(self) -> dict[str, Any]:
        """Return counters and state as of now."""
        return {
            "status": _status(self._member.status()),
            "connections_now": self._registry.callers,
            "connections_peak": self._registry.peak,
            "connections_refused": self._registry.refused,
            "replicas_now": self._registry.replicas,
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
