"""Attempts of a request: how callers behave and how an attempt ended."""

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
        interval: seconds between due requests (open loop); 0 sends the next one
            at once (closed loop).
        max_attempts: attempts of one request.
        deadline_ms: stated to the proxy; None leaves it to the settings.
        roam_probability: chance that a request goes to another proxy than the
            last one.
    """

    interval: float
    max_attempts: int
    deadline_ms: int | None = None
    roam_probability: float = ROAM_PROBABILITY


@dataclass(frozen=True, slots=True)
class Attempted:
    """How one attempt ended."""

    outcome: Outcome
    message: str = ""
    error_number: int = 0
    rows: tuple[RowSeen, ...] = ()


def classify(error: pymysql.MySQLError) -> Attempted:
    """Tell an attempt's outcome from the error that ended it.

    A connection that broke or stayed silent after the statement was sent brought
    no outcome, so nobody knows whether it ran.
    """
    number = int(error.args[0]) if error.args else 0
    message = str(error.args[-1]) if error.args else repr(error)
    for outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.FAILED):
        if message.startswith(f"{outcome}:"):
            return Attempted(outcome, message, number)
    return Attempted(Outcome.UNKNOWN, f"{NO_ANSWER}{message}", number)
