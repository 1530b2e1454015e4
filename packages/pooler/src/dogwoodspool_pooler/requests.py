"""A caller's request as the pooler processes it."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from dogwoodspool_common import Consistency, Endpoint, Position
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_limits import Work

from .const import WAIT_SHARE
from .identity import ANONYMOUS, Caller
from .models import Prepared, Statement, writes


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """How a request waits for admission to a server and for a connection.

    Attributes:
        priority: priority of the request; lower numbers are admitted first.
        values: the session's values; a connection that has them is preferred.
        start_by: clock time until which it may wait in a pool of this process alone.
        target: clock time until which an answer is in time; None if a process of an
            earlier build sent the request.
        deadline: clock time after which an answer is useless.
        kind: statements of one kind take similar times.
        has_alternatives: whether another server can serve it as well.
        account: client account that it runs for; empty for none.
        arrived_at: clock seconds at which its operation arrived, since when it has a
            token; None if that is not known.
    """

    priority: int
    values: Mapping[str, str]
    start_by: float
    deadline: float
    target: float | None = None
    kind: str = ""
    has_alternatives: bool = False
    account: str = ""
    arrived_at: float | None = None

    @property
    def work(self) -> Work | None:
        """What an owner of pools orders the request by; None if it is not known."""
        if self.target is None:
            return None
        return Work(
            priority=self.priority,
            target=self.target,
            deadline=self.deadline,
            kind=self.kind,
            account=self.account,
        )


@dataclass(frozen=True, slots=True)
class Request:
    """A statement with everything that determines where and how it runs.

    Attributes:
        endpoint: the endpoint of its database.
        statement: the statement that the caller sent.
        values: the session's values.
        prepared: the prepared statement that it executes, if any.
        session_position: position of the session's last commit; None before the first.
        arrived_at: clock seconds at which it arrived.
        caller: on whose behalf it runs.
        waited: seconds that it waited for a replica to reach its position.
        at_primary: whether another proxy forwarded it to be served at the primary, on
            the pools of this process alone.
    """

    endpoint: Endpoint
    statement: Statement
    values: Mapping[str, str]
    prepared: Prepared | None
    session_position: Position | None
    arrived_at: float
    caller: Caller = ANONYMOUS
    waited: float = 0.0
    at_primary: bool = False

    @property
    def deadline(self) -> float:
        """Clock time after which an answer is useless."""
        return self.arrived_at + self.endpoint.deadline_ms / MILLISECONDS

    @property
    def target(self) -> float:
        """Clock time until which an answer is in time."""
        target = min(self.endpoint.target_latency_ms, self.endpoint.deadline_ms)
        return self.arrived_at + target / MILLISECONDS

    @property
    def start_by(self) -> float:
        """Clock time until which it may wait for admission to a server."""
        wait = (self.target - self.arrived_at) * WAIT_SHARE
        return self.arrived_at + self.waited + wait

    @property
    def max_age(self) -> float | None:
        """Greatest age of the data in seconds; None if it is not bounded."""
        age_ms = self.endpoint.max_age_ms
        return None if age_ms is None else age_ms / MILLISECONDS

    @property
    def writes(self) -> bool:
        """Whether the statement changes data."""
        return writes(self.statement, self.prepared)

    @property
    def needs_primary(self) -> bool:
        """Whether only the primary can serve it, whatever the replicas have."""
        is_primary_only = self.endpoint.consistency is Consistency.PRIMARY
        return self.writes or is_primary_only or self.max_age is None

    def for_primary(self) -> "Request":
        """Return the request as it is forwarded to the owners near the primary.

        Writes are not marked, since an owner never forwards them.
        """
        return self if self.writes else replace(self, at_primary=True)

    def with_deadline(self, deadline: float) -> "Request":
        """Return the request with another deadline, given in clock seconds."""
        deadline_ms = max(1, int((deadline - self.arrived_at) * MILLISECONDS))
        return replace(self, endpoint=replace(self.endpoint, deadline_ms=deadline_ms))

    def admission_request(self, *, has_alternatives: bool = False) -> AdmissionRequest:
        """Return how the request waits for admission."""
        return AdmissionRequest(
            priority=self.endpoint.priority,
            values=self.values,
            start_by=self.start_by,
            deadline=self.deadline,
            target=self.target,
            kind=self.endpoint.database,
            has_alternatives=has_alternatives,
            account=self.caller.account,
            arrived_at=self.arrived_at,
        )
