"""Data classes of requests that must run at most once."""

import hashlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Protocol, Self

from .const import FINGERPRINT_BYTES


@dataclass(frozen=True, slots=True)
class RequestIdentity:
    """What makes two requests the same one.

    Attributes:
        request_id: given by the caller, unique in its database group.
        fingerprint: digest of the statement, to tell a resend from a reused id.
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
    """How a request ended.

    Attributes:
        is_replay: the request had run before; this is its first outcome.
    """

    affected_rows: int
    last_insert_id: int
    is_replay: bool


class ResultLike(Protocol):
    """What this library reads of a statement's result."""

    @property
    def rows(self) -> Iterator[Sequence[bytes | str | None]]:
        """The rows of a result set."""
        ...

    @property
    def affected_rows(self) -> int:
        """Rows changed by a write."""
        ...

    @property
    def last_insert_id(self) -> int:
        """First generated key of a write."""
        ...
