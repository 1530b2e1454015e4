"""Data classes of the routing library."""

from dataclasses import dataclass
from enum import StrEnum

from dogwoodspool_common import BackendServer, Position, ServerStatus


@dataclass(frozen=True, slots=True)
class ServerView:
    """Snapshot of what this process knows about one backend server.

    Attributes:
        server: name, failure domain, address and capacity.
        status: the last status it reported; None before the first answer.
        elapsed_ms: time since that status was *requested*: the position is a lower
            bound from then on, the data at most ``lag_ms + elapsed_ms`` old.
        leaving_for: seconds since it first became known that the server is leaving;
            None if it is not.
        is_failing: whether the last attempt to reach it failed.
        latency: moving average of a statement's seconds.
        in_flight: number of this process's statements on it.
        load: moving average of ``in_flight`` over time.
        is_past_grace: whether it has been leaving for so long that it gets no new work,
            also as the primary.
    """

    server: BackendServer
    status: ServerStatus | None
    elapsed_ms: float
    leaving_for: float | None
    is_failing: bool
    latency: float
    in_flight: int
    load: float = 0.0
    is_past_grace: bool = False

    @property
    def name(self) -> str:
        """The server's name."""
        return self.server.name

    @property
    def takes_replica_work(self) -> bool:
        """Return whether it may get new statements as a replica."""
        return not self.is_failing and self.leaving_for is None

    @property
    def takes_primary_work(self) -> bool:
        """Return whether it may get new statements as its group's primary.

        A primary that is leaving gets them for a grace period, during which the group
        is switched over, as no other server can take its writes. After that it gets
        none, even if the switchover was not possible.
        """
        return not self.is_failing and not self.is_past_grace

    @property
    def estimated_time(self) -> float:
        """Estimated seconds that one more statement would take."""
        return self.latency * (1 + self.in_flight / self.server.slots)


@dataclass(frozen=True, slots=True)
class ReadNeed:
    """What a read's answer must reflect.

    Attributes:
        position: position of the session's writes; None if it has none in the group.
        needs_primary: whether the read must go to the primary because the session's
            earlier writes are not known.
        max_age_ms: maximum age of the data; None when only the position counts.
    """

    position: Position | None = None
    needs_primary: bool = False
    max_age_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ReadChoice:
    """The backend server for one read.

    Attributes:
        must_check_status: whether the server's last known status does not satisfy the
            read. Its status must then be requested on the read's connection, waiting
            for the position, and the read run only if that status satisfies it.
    """

    server: BackendServer
    must_check_status: bool
    is_primary: bool


class NoServerReason(StrEnum):
    """Why no backend server can take a read."""

    NO_PRIMARY = "no_primary"
    PRIMARY_UNREACHABLE = "primary_unreachable"
    TERM_UNCONFIRMED = "term_unconfirmed"


@dataclass(frozen=True, slots=True)
class NoServer:
    """Report that no backend server can take a read; it did not run."""

    reason: NoServerReason
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings of the read router.

    Attributes:
        replica_wait_ms: time that a read may wait for a replica to catch up before
            it goes to the primary instead.
    """

    replica_wait_ms: float
