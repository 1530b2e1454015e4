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

from .const import CONNECTION_LOST_NUMBERS

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
    """Report that the database answered with an error.

    Attributes:
        number: the database's error number.
        sqlstate: its SQLSTATE, five characters.
        message: its message.
    """

    is_sign_of_life = True

    def __init__(self, number: int, sqlstate: str, message: str) -> None:
        super().__init__(f"({number}, {sqlstate}) {message}")
        self.number = number
        self.sqlstate = sqlstate
        self.message = message

    @property
    def is_connection_lost(self) -> bool:
        """Tell whether the server closes the connection after this error."""
        return self.number in CONNECTION_LOST_NUMBERS


class UnreadableStatusError(BackendError):
    """Report an answer to the status statement that is no status."""

    is_sign_of_life = True
