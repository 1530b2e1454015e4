"""Answers that do not carry data, in the words callers see."""

from dogwoodspool_backend import StatementFailedError
from dogwoodspool_gateway import (
    CR_SERVER_LOST,
    ER_OPTION_PREVENTS_STATEMENT,
    ER_TOO_MANY_USER_CONNECTIONS,
    ErrorAnswer,
    Outcome,
)

from .const import ER_TRANSACTION_ROLLED_BACK


def refused(message: str, retry_after_ms: int) -> ErrorAnswer:
    """Answer a request that a limit kept from running."""
    return ErrorAnswer(
        Outcome.NOT_RUN, *ER_TOO_MANY_USER_CONNECTIONS, message, retry_after_ms
    )


def no_primary(message: str, retry_after_ms: int) -> ErrorAnswer:
    """Answer a request that needs the primary while there is none for it."""
    return ErrorAnswer(
        Outcome.NOT_RUN, *ER_OPTION_PREVENTS_STATEMENT, message, retry_after_ms
    )


def not_run(error: tuple[int, str], message: str) -> ErrorAnswer:
    """Answer a request that cannot run as it is."""
    return ErrorAnswer(Outcome.NOT_RUN, *error, message)


def rolled_back(message: str, retry_after_ms: int = 0) -> ErrorAnswer:
    """Answer a statement whose transaction was undone as a whole."""
    return ErrorAnswer(
        Outcome.NOT_RUN, *ER_TRANSACTION_ROLLED_BACK, message, retry_after_ms
    )


def unknown(message: str) -> ErrorAnswer:
    """Answer a request that was sent and whose outcome cannot be told."""
    return ErrorAnswer(Outcome.UNKNOWN, *CR_SERVER_LOST, message)


def failed(error: StatementFailedError) -> ErrorAnswer:
    """Answer a request that the database refused."""
    return ErrorAnswer(Outcome.FAILED, error.number, error.sqlstate, error.message)


def failed_with(error: tuple[int, str], message: str) -> ErrorAnswer:
    """Answer a request that the proxy refuses for good."""
    return ErrorAnswer(Outcome.FAILED, *error, message)
