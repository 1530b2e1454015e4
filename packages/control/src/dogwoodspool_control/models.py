"""Data classes of the control library."""

from dataclasses import dataclass
from enum import StrEnum

from dogwoodspool_api import Grant
from dogwoodspool_common import Address, Position


class PromotionReason(StrEnum):
    """Why a group changes its primary."""

    FAILED = "failed"
    PLANNED = "planned"


@dataclass(frozen=True, slots=True)
class ProxyRecord:
    """A registered proxy instance.

    Attributes:
        incarnation: identity of its newest process.
        replaced: identities of its latest earlier processes; one of them that
            was frozen and wakes up is told that it is replaced.
    """

    name: str
    incarnation: str
    failure_domain: str
    address: Address
    replaced: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Promotion:
    """A change of primary that has begun and not ended.

    Attributes:
        term: the new term.
        old_term: the last term under which grants were given.
        old_primary: the primary of that term.
        candidate: the replica that an operator asked for, if any.
        chosen: the new primary once it is committed.
    """

    group: str
    term: int
    old_term: int
    old_primary: str
    reason: PromotionReason
    candidate: str | None = None
    chosen: str | None = None


@dataclass(frozen=True, slots=True)
class Outcome:
    """What applying a command came to.

    Attributes:
        code: reason of a rejection, empty for an accepted command.
        index: log index from which the result is in force.
        version: version of a settings node, or term of a group.
    """

    is_accepted: bool
    code: str = ""
    message: str = ""
    index: int = 0
    version: int = 0


@dataclass(frozen=True, slots=True)
class Holding:
    """A grant as the leader has given it.

    Attributes:
        expires_at: the leader's time from which on the proxy surely lost it.
    """

    proxy: str
    incarnation: str
    group: str
    term: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class Lease:
    """What a renewal is answered with.

    Attributes:
        lease_ms: life of grants and shares from when the proxy sent the request.
        expires_at: the leader's time at which both have surely run out.
        is_registered: whether the proxy may use base shares and grants.
    """

    lease_ms: int
    expires_at: float
    is_registered: bool
    grants: tuple[Grant, ...] = ()


@dataclass(frozen=True, slots=True)
class Release:
    """A proxy's answer that it has given up its grant of a term."""

    proxy: str
    incarnation: str
    group: str
    term: int
    acked: Position | None


@dataclass(frozen=True, slots=True)
class AckKnowledge:
    """What is known of a group's acknowledged writes.

    Attributes:
        positions: acknowledged positions that a new primary must cover.
        is_complete: no acknowledged write lies beyond ``positions``.
        is_replicated: each acknowledged write is on one replica at least.
    """

    positions: tuple[Position, ...]
    is_complete: bool
    is_replicated: bool


@dataclass(frozen=True, slots=True)
class ChoiceRefusal:
    """Why no server can be promoted now.

    Attributes:
        waiting_for: servers whose answer may resolve it.
    """

    reason: str
    waiting_for: tuple[str, ...]
