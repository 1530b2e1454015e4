"""Errors of statements on backend servers."""

from dogwoodspool_connections.errors import (
    BackendError,
    ConnectFailedError,
    ConnectionLimitError,
    OutcomeUnknownError,
    PoolClosedError,
    PoolTimeoutError,
    ServerDownError,
)

from .const import CONNECTION_LOST_ERRORS

__all__ = [
    "BackendError",
    "ConnectFailedError",
    "ConnectionLimitError",
    "OutcomeUnknownError",
    "PoolClosedError",
    "PoolTimeoutError",
    "ServerDownError",
    "StatementFailedError",
    "UnreadableStatusError",
]


class StatementFailedError(BackendError):
    """Report that the database answered a statement with an error.

    Attributes:
        number: the database's error number.
        sqlstate: the five-character SQLSTATE.
        message: the database's error message.
    """

    is_sign_of_life = True

    def __init__(self, number: int, sqlstate: str, message: str) -> None:
        super().__init__(f"({number}, {sqlstate}) {message}")
        self.number = number
        self.sqlstate = sqlstate
        self.message = message

    @property
    def is_connection_lost(self) -> bool:
        """Return whether the server closes the connection after this error."""
        return self.number in CONNECTION_LOST_ERRORS


class UnreadableStatusError(BackendError):
    """Report that the answer to the status statement is not a valid status."""

    is_sign_of_life = True
