"""Options of callers, and the results of their attempts at a request."""

from dataclasses import dataclass
from typing import Final

import pymysql

from .const import ROAM_PROBABILITY
from .models import Outcome, RowSeen

NO_ANSWER: Final = "no answer: "


@dataclass(frozen=True, slots=True)
class CallerOptions:
    """How callers behave.

    Attributes:
        interval: mean seconds between the times at which requests are due (open
            loop); 0 sends each request as soon as the previous one ended (closed
            loop).
        max_attempts: maximum number of attempts of one request.
        deadline_ms: sent to the proxy with each request; None uses the deadline
            of the settings.
        roam_probability: probability that a request first picks a proxy at random
            instead of using that of the previous request.
    """

    interval: float
    max_attempts: int
    deadline_ms: int | None = None
    roam_probability: float = ROAM_PROBABILITY


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of one attempt."""

    outcome: Outcome
    message: str = ""
    error_number: int = 0
    rows: tuple[RowSeen, ...] = ()


def classify(error: pymysql.MySQLError) -> AttemptResult:
    """Derive an attempt's outcome from the error that ended it.

    If the connection broke or timed out after the statement was sent, no outcome
    was received, so that it is unknown whether the statement ran.
    """
    number = int(error.args[0]) if error.args else 0
    message = str(error.args[-1]) if error.args else repr(error)
    for outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.FAILED):
        if message.startswith(f"{outcome}:"):
            return AttemptResult(outcome, message, number)
    return AttemptResult(Outcome.UNKNOWN, f"{NO_ANSWER}{message}", number)
