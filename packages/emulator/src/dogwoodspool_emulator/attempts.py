"""Attempts of callers' requests, and their refusals."""

from collections.abc import Callable
from dataclasses import dataclass

from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_limits import Work
from dogwoodspool_pooler.const import CATCH_UP_SHARE, WAIT_SHARE
from expression import Result

from .models import Requests


@dataclass(frozen=True, slots=True)
class Refused:
    """A refused statement or request.

    Attributes:
        reason: the reason, which the results count.
        retry_after: seconds after which the caller should retry.
    """

    reason: str
    retry_after: float


# Called with the result of an attempt.
EndCallback = Callable[[Result[None, Refused]], None]
# Forwards an attempt to the owners near its primary; returns False if there are none.
Forward = Callable[["Attempt", EndCallback], bool]


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a caller's request.

    Attributes:
        work: slot seconds that each statement takes.
        statements: number of statements; more than one for a transaction.
        account: client account that it belongs to; empty for none.
        at_primary: whether another proxy forwarded it to be served at the primary.
        hop: one-way latency in seconds between the proxy that holds its connection and
            the one that sends its statements.
        is_read_only: whether it is a read-only transaction.
        own_write_at: time of a write that it must reflect; None for none.
        waited: seconds that it waited for a replica.
    """

    kind: Requests
    group: str
    writes: bool
    work: float
    arrived_at: float
    statements: int = 1
    account: str = ""
    is_read_only: bool = False
    own_write_at: float | None = None
    waited: float = 0.0
    at_primary: bool = False
    hop: float = 0.0

    @property
    def needs_primary(self) -> bool:
        """Return whether only the primary can serve it, whatever the replicas have."""
        changes = self.writes or (self.is_transaction and not self.is_read_only)
        return changes or self.kind.max_age_ms is None

    @property
    def is_transaction(self) -> bool:
        """Return whether its statements are one transaction."""
        return self.statements > 1

    @property
    def deadline(self) -> float:
        """Time after which the caller no longer uses an answer."""
        return self.arrived_at + self.kind.deadline_ms / MILLISECONDS

    @property
    def target(self) -> float:
        """Time until which an answer is in time."""
        target = min(self.kind.target_ms, self.kind.deadline_ms)
        return self.arrived_at + target / MILLISECONDS

    @property
    def work_request(self) -> Work:
        """What an owner of pools orders the attempt by."""
        return Work(
            priority=self.kind.priority,
            target=self.target,
            deadline=self.deadline,
            kind=self.kind.name,
            account=self.account,
        )

    @property
    def resend_until(self) -> float:
        """Time until which a statement is resent after a full server refused it."""
        if self.is_transaction:
            return self.deadline
        return self.start_by if self.writes else self.arrived_at

    @property
    def start_by(self) -> float:
        """Time until which it may wait for admission."""
        target = min(self.kind.target_ms, self.kind.deadline_ms) / MILLISECONDS
        return self.arrived_at + self.waited + target * WAIT_SHARE

    @property
    def max_wait(self) -> float:
        """Seconds from its arrival for which it may wait for a replica."""
        target = min(self.kind.target_ms, self.kind.deadline_ms) / MILLISECONDS
        return target * CATCH_UP_SHARE
