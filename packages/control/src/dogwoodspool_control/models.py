"""Data classes of the control library."""

from dataclasses import dataclass
from enum import StrEnum

from dogwoodspool_api import Grant
from dogwoodspool_common import Address, Position


class PromotionReason(StrEnum):
    """The reason of a promotion."""

    FAILED = "failed"
    PLANNED = "planned"


@dataclass(frozen=True, slots=True)
class ProxyRecord:
    """A registered proxy instance.

    Attributes:
        incarnation: id of its latest process.
        replaced: ids of its most recent earlier processes; a renewal of one that
            resumes after a pause is rejected as replaced.
    """

    name: str
    incarnation: str
    failure_domain: str
    address: Address
    replaced: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Promotion:
    """A change of primary in progress.

    Attributes:
        term: the new term.
        old_term: the last term for which grants were issued.
        old_primary: the primary of that term.
        candidate: the replica that an operator requested, if any.
        chosen: the new primary, once the choice is committed.
        newest_token: token of the newest promotion call; 0 before the first one.
        called: servers that promotion calls of this change have named. A call
            that got no answer may be carried out until one with a higher token is.
    """

    group: str
    term: int
    old_term: int
    old_primary: str
    reason: PromotionReason
    candidate: str | None = None
    chosen: str | None = None
    newest_token: int = 0
    called: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of applying a command.

    Attributes:
        code: code of a rejection; empty for an accepted command.
        index: log index from which the result is in force.
        version: version of a settings node, or term of a group.
    """

    is_accepted: bool
    code: str = ""
    message: str = ""
    index: int = 0
    version: int = 0


@dataclass(frozen=True, slots=True)
class IssuedGrant:
    """A grant that the leader has issued.

    Attributes:
        expires_at: the leader's time from which the grant has certainly expired.
    """

    proxy: str
    incarnation: str
    group: str
    term: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class Lease:
    """The response to a renewal.

    Attributes:
        lease_ms: validity of grants and shares, counted from the time at which the
            proxy sent the request.
        expires_at: the leader's time at which both have certainly expired.
        is_registered: whether the proxy may use base shares and grants.
    """

    lease_ms: int
    expires_at: float
    is_registered: bool
    grants: tuple[Grant, ...] = ()


@dataclass(frozen=True, slots=True)
class Release:
    """A proxy's confirmation that it has released its grant of a term."""

    proxy: str
    incarnation: str
    group: str
    term: int
    acked: Position | None


@dataclass(frozen=True, slots=True)
class AcknowledgedWrites:
    """The known acknowledged writes of a group.

    Attributes:
        positions: acknowledged positions that a new primary must include.
        is_complete: whether no acknowledged write is beyond ``positions``.
        is_replicated: whether each acknowledged write is on at least one replica.
    """

    positions: tuple[Position, ...]
    is_complete: bool
    is_replicated: bool


@dataclass(frozen=True, slots=True)
class ChoiceRefusal:
    """The reason why no server can be promoted yet.

    Attributes:
        waiting_for: servers whose answer may allow a choice.
    """

    reason: str
    waiting_for: tuple[str, ...]
