"""Answers with which the gateway itself refuses a request."""

from .const import (
    BUSY_RETRY_AFTER_MS,
    CR_SERVER_LOST,
    ER_SHUTDOWN,
    ER_TOO_MANY_USER_CONNECTIONS,
    SHUTDOWN_RETRY_AFTER_MS,
)
from .models import ErrorAnswer, Outcome


def refusal(error: tuple[int, str], message: str) -> ErrorAnswer:
    """Refuse a request that cannot run as it is."""
    return ErrorAnswer(Outcome.NOT_RUN, *error, message)


def broken_off_answer() -> ErrorAnswer:
    """Tell that a result's rows broke off."""
    return ErrorAnswer(
        Outcome.UNKNOWN, *CR_SERVER_LOST, "the backend server broke the result off"
    )


def shutdown_answer() -> ErrorAnswer:
    """Refuse a request because this proxy shuts down."""
    return ErrorAnswer(
        Outcome.NOT_RUN,
        *ER_SHUTDOWN,
        "this proxy is shutting down; connect again",
        SHUTDOWN_RETRY_AFTER_MS,
    )


def busy_answer() -> ErrorAnswer:
    """Refuse a request because every thread is taken."""
    return ErrorAnswer(
        Outcome.NOT_RUN,
        *ER_TOO_MANY_USER_CONNECTIONS,
        "this proxy runs as many statements as it may",
        BUSY_RETRY_AFTER_MS,
    )
