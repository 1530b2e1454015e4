"""Error answers with the codes and messages that callers receive."""

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
    """Return the answer to a request that did not run because of a limit."""
    return ErrorAnswer(
        Outcome.NOT_RUN, *ER_TOO_MANY_USER_CONNECTIONS, message, retry_after_ms
    )


def no_primary(message: str, retry_after_ms: int) -> ErrorAnswer:
    """Return the answer to a request for which no usable primary is known."""
    return ErrorAnswer(
        Outcome.NOT_RUN, *ER_OPTION_PREVENTS_STATEMENT, message, retry_after_ms
    )


def not_run(error: tuple[int, str], message: str) -> ErrorAnswer:
    """Return the answer to a request that cannot run in its present form."""
    return ErrorAnswer(Outcome.NOT_RUN, *error, message)


def rolled_back(message: str, retry_after_ms: int = 0) -> ErrorAnswer:
    """Return the answer to a statement whose whole transaction was rolled back."""
    return ErrorAnswer(
        Outcome.NOT_RUN, *ER_TRANSACTION_ROLLED_BACK, message, retry_after_ms
    )


def unknown(message: str) -> ErrorAnswer:
    """Return the answer to a request that was sent and whose outcome is unknown."""
    return ErrorAnswer(Outcome.UNKNOWN, *CR_SERVER_LOST, message)


def failed(error: StatementFailedError) -> ErrorAnswer:
    """Return the answer to a request that the database rejected with an error."""
    return ErrorAnswer(Outcome.FAILED, error.number, error.sqlstate, error.message)


def failed_with(error: tuple[int, str], message: str) -> ErrorAnswer:
    """Return the answer to a request that the proxy rejects permanently."""
    return ErrorAnswer(Outcome.FAILED, *error, message)
