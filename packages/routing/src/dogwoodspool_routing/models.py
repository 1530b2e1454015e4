"""Data classes of the routing library."""

from dataclasses import dataclass
from enum import StrEnum

from dogwoodspool_common import BackendServer, Position, ServerStatus

from .const import LEAVING_PRIMARY_GRACE


@dataclass(frozen=True, slots=True)
class ServerView:
    """What this process knows of one backend server at one moment.

    Attributes:
        server: name, place, address and size.
        status: what it last said of itself, None before the first answer.
        elapsed_ms: time since that status was *asked* for: the position is a lower
            bound from then on, the data at most ``lag_ms + elapsed_ms`` old.
        leaving_for: seconds since its leaving was first known, None if it stays.
        is_failing: the last attempt to reach it failed.
        latency: moving average of a statement's seconds.
        in_flight: this process's statements on it.
    """

    server: BackendServer
    status: ServerStatus | None
    elapsed_ms: float
    leaving_for: float | None
    is_failing: bool
    latency: float
    in_flight: int

    @property
    def name(self) -> str:
        """The server's name."""
        return self.server.name

    @property
    def takes_replica_work(self) -> bool:
        """Tell whether it may get new work as a replica."""
        return not self.is_failing and self.leaving_for is None

    @property
    def takes_primary_work(self) -> bool:
        """Tell whether it may get new work as its group's primary."""
        if self.is_failing:
            return False
        return self.leaving_for is None or self.leaving_for < LEAVING_PRIMARY_GRACE

    @property
    def estimated_time(self) -> float:
        """Seconds that one more statement would take."""
        return self.latency * (1 + self.in_flight / self.server.slots)


@dataclass(frozen=True, slots=True)
class ReadNeed:
    """What a read's answer must reflect.

    Attributes:
        position: the session's writes; None when it has none in the group.
        needs_primary: the session's earlier writes are not known.
        max_age_ms: greatest age of the data; None when the position decides.
    """

    position: Position | None = None
    needs_primary: bool = False
    max_age_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ReadChoice:
    """The backend server for one read.

    Attributes:
        must_check_status: what is known of the server does not suffice. Ask for
            its status on the read's connection, waiting for the position, and read
            only if that satisfies the need.
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
    """A read that no backend server can take; it did not run."""

    reason: NoServerReason
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings of the read router.

    Attributes:
        replica_wait_ms: time that a read may wait for a replica to catch up
            rather than go to the primary.
    """

    replica_wait_ms: float
