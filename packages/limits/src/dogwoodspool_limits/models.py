"""Data classes of the limits library."""

from dataclasses import dataclass
from enum import IntEnum, StrEnum


class Priority(IntEnum):
    """Who goes first when statements wait; lower goes first."""

    WRITE = 0
    READ_PRIMARY = 1
    READ = 2


class RefusalReason(StrEnum):
    """Why a statement was not admitted."""

    QUEUE_FULL = "queue_full"
    WAIT_TOO_LONG = "wait_too_long"
    DEADLINE_PASSED = "deadline_passed"
    DISPLACED = "displaced"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A statement that was not admitted and did not run.

    Attributes:
        retry_after_ms: when the caller's turn to come back is.
        reason: why.
    """

    retry_after_ms: int
    reason: RefusalReason
