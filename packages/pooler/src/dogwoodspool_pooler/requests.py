"""One caller's request on its way through the pooler."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from dogwoodspool_common import Endpoint, Position
from dogwoodspool_common.const import MILLISECONDS

from .const import WAIT_SHARE
from .models import Access, Prepared, Statement, StatementKind


@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """What decides how a request waits for a place on a server.

    Attributes:
        priority: who goes first; a lower number does.
        values: the session's values, which a connection may hold already.
        start_by: clock time until which it may wait.
        deadline: clock time from which an answer is of no use.
        has_alternatives: another server may serve it as well.
    """

    priority: int
    values: Mapping[str, str]
    start_by: float
    deadline: float
    has_alternatives: bool = False


@dataclass(frozen=True, slots=True)
class Request:
    """A statement with all that decides where and how it runs.

    Attributes:
        endpoint: what its database promises.
        statement: what the caller sent.
        values: the session's values.
        prepared: what it executes, where it executes a prepared statement.
        session_position: the session's last commit; None before the first.
        arrived_at: clock seconds.
    """

    endpoint: Endpoint
    statement: Statement
    values: Mapping[str, str]
    prepared: Prepared | None
    session_position: Position | None
    arrived_at: float

    @property
    def deadline(self) -> float:
        """Clock time from which an answer is of no use."""
        return self.arrived_at + self.endpoint.deadline_ms / MILLISECONDS

    @property
    def start_by(self) -> float:
        """Clock time until which it may wait for a place on a server."""
        target = min(self.endpoint.target_latency_ms, self.endpoint.deadline_ms)
        return self.arrived_at + target * WAIT_SHARE / MILLISECONDS

    @property
    def max_age(self) -> float | None:
        """Greatest age of the data in seconds, where it is bounded."""
        age_ms = self.endpoint.max_age_ms
        return None if age_ms is None else age_ms / MILLISECONDS

    @property
    def writes(self) -> bool:
        """Whether the statement changes data."""
        if self.prepared is not None:
            return self.prepared.access is Access.WRITE
        return self.statement.kind is StatementKind.WRITE

    def due_by(self, deadline: float) -> "Request":
        """Return the same request with another deadline, clock seconds."""
        deadline_ms = max(1, int((deadline - self.arrived_at) * MILLISECONDS))
        return replace(self, endpoint=replace(self.endpoint, deadline_ms=deadline_ms))

    def place(self, *, has_alternatives: bool = False) -> PlaceRequest:
        """Return what decides how it waits."""
        return PlaceRequest(
            priority=self.endpoint.priority,
            values=self.values,
            start_by=self.start_by,
            deadline=self.deadline,
            has_alternatives=has_alternatives,
        )
