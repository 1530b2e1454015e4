"""Data classes of requests that must run at most once."""

import hashlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Protocol, Self

from .const import FINGERPRINT_BYTES


@dataclass(frozen=True, slots=True)
class RequestIdentity:
    """Identity of a request; two requests with the same identity are the same.

    Attributes:
        request_id: chosen by the caller, unique in its database group.
        fingerprint: digest of the statement, to distinguish a resend from a reused id.
    """

    request_id: str
    fingerprint: str

    @classmethod
    def of(cls, request_id: str, sql: str) -> Self:
        """Build the identity of a statement."""
        digest = hashlib.blake2b(sql.encode(), digest_size=FINGERPRINT_BYTES)
        return cls(request_id, digest.hexdigest())


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """Outcome of a request.

    Attributes:
        is_replay: whether the request had run before; this is then the outcome of its
            first run.
    """

    affected_rows: int
    last_insert_id: int
    is_replay: bool


class ResultLike(Protocol):
    """The parts of a statement's result that this library reads."""

    @property
    def rows(self) -> Iterator[Sequence[bytes | str | None]]:
        """The rows of a result set."""
        ...

    @property
    def affected_rows(self) -> int:
        """Number of rows changed by a write."""
        ...

    @property
    def last_insert_id(self) -> int:
        """First generated key of a write."""
        ...
