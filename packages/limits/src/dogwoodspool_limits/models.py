"""Data classes of the limits library."""

from dataclasses import dataclass
from enum import Enum, IntEnum, StrEnum, auto


class Priority(IntEnum):
    """Priority of a waiting statement; a lower number goes first."""

    WRITE = 0
    READ_PRIMARY = 1
    READ = 2


class AdmissionOutcome(Enum):
    """How an admitted statement ended.

    Attributes:
        ANSWERED: the server ran it, whether with a result or with an error.
        NO_WORK: it was not sent, or answered without work, so it says nothing about
            the server's load.
        OVERLOADED: the server refused it because of its load.
        UNANSWERED: no complete answer came.
    """

    ANSWERED = auto()
    NO_WORK = auto()
    OVERLOADED = auto()
    UNANSWERED = auto()


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
        retry_after_ms: milliseconds after which the caller should retry.
        reason: why it was not admitted.
        estimated_wait_ms: milliseconds that it was expected to wait.
    """

    retry_after_ms: int
    reason: RefusalReason
    estimated_wait_ms: int = 0
