"""Request mixes: kinds of requests of each deployment's callers and their weights."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final

from .const import ROLLBACK_PROBABILITY, STALE_READ_MS, WRITES_PER_ROOM
from .models import RequestKind, Table


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """One kind of request and its weight in a mix.

    Attributes:
        weight: weight in the mix, relative to the other weights.
        rows_written: rows that it writes; 0 for a read; 2 is a transaction.
        is_idempotent: sent to the proxy as a request property; such a write
            carries no request id.
        max_age_ms: maximum age that the read accepts; None reads within the
            session.
        reads_others: reads the room of a random caller of the group instead of
            the caller's own room.
    """

    kind: RequestKind
    table: Table
    weight: float
    rows_written: int = 0
    is_idempotent: bool = False
    max_age_ms: int | None = None
    reads_others: bool = False


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request that a caller sends next.

    Attributes:
        name: unique name; tag of the rows written, or marker of a read.
        ends_in_rollback: the caller rolls the transaction back instead of
            committing it.
    """

    profile: RequestProfile
    name: str
    room: str
    ends_in_rollback: bool = False


CHAT_MIX: Final = (
    RequestProfile(RequestKind.CHAT_LINE, Table.LINES, 20, rows_written=1),
    RequestProfile(RequestKind.INBOX, Table.LINES, 50),
    RequestProfile(RequestKind.ORDER, Table.PAIRS, 5, rows_written=2),
    RequestProfile(
        RequestKind.ORDER_LOOKUP,
        Table.PAIRS,
        25,
        max_age_ms=STALE_READ_MS,
        reads_others=True,
    ),
)
FLOW_MIX: Final = (
    RequestProfile(RequestKind.TRIAL_RECORD, Table.LINES, 12, rows_written=1),
    RequestProfile(
        RequestKind.REPORT, Table.REPORTS, 5, rows_written=1, is_idempotent=True
    ),
    RequestProfile(RequestKind.ORDER, Table.PAIRS, 3, rows_written=2),
    RequestProfile(RequestKind.BROWSE, Table.LINES, 50),
    RequestProfile(
        RequestKind.BROWSE_AGED,
        Table.PAIRS,
        30,
        max_age_ms=STALE_READ_MS,
        reads_others=True,
    ),
)


def reads_only(mix: Sequence[RequestProfile]) -> tuple[RequestProfile, ...]:
    """Return the requests of a mix that only read."""
    return tuple(kind for kind in mix if not kind.rows_written)


def scale_write_weight(
    mix: Sequence[RequestProfile], factor: float
) -> tuple[RequestProfile, ...]:
    """Return a mix with the weight of its writes multiplied by a factor."""
    return tuple(
        replace(kind, weight=kind.weight * factor) if kind.rows_written else kind
        for kind in mix
    )


class RequestPlanner:
    """Choose a caller's requests, deterministically for a seed.

    Args:
        caller: name of the caller, which prefixes the names of its rooms.
        others: names of the callers of the same group.
    """

    def __init__(
        self,
        mix: Sequence[RequestProfile],
        caller: str,
        others: Sequence[str],
        seed: int,
    ) -> None:
        self._mix = mix
        self._weights = [kind.weight for kind in mix]
        self._caller = caller
        self._others = others
        self._random = random.Random(f"{seed}/{caller}")
        self._count = 0
        self._writes = 0

    def next(self) -> PlannedRequest:
        """Return the next request."""
        kind = self._random.choices(self._mix, self._weights)[0]
        self._count += 1
        name = f"{self._caller}.{self._count}"
        if not kind.rows_written:
            owner = self._random.choice(self._others) if kind.reads_others else None
            return PlannedRequest(kind, name, self._room(owner or self._caller))
        is_transaction = kind.rows_written > 1
        room = self._room(self._caller)
        self._writes += 1
        rolls_back = is_transaction and self._random.random() < ROLLBACK_PROBABILITY
        return PlannedRequest(kind, name, room, rolls_back)

    def _room(self, owner: str) -> str:
        # Callers write at about the same rate, so that this caller's own count of
        # writes approximates the room that another caller writes to now.
        return f"{owner}-{self._writes // WRITES_PER_ROOM}"
