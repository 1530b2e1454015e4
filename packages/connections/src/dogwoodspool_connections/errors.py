"""Errors of connections to backend servers."""

from typing import ClassVar

from dogwoodspool_common import DogwoodspoolError


class BackendError(DogwoodspoolError):
    """Base of the errors of work on backend servers.

    Attributes:
        suggests_unreachable: whether the server gave no answer although one was due.
        is_sign_of_life: whether the server itself answered, though with an error. A
            server that refuses a connection because of its connection limit, or does
            not know a statement, must not be considered failed.
    """

    suggests_unreachable: ClassVar[bool] = False
    is_sign_of_life: ClassVar[bool] = False


class ConnectFailedError(BackendError):
    """Report that no usable connection was available: nothing was sent."""

    suggests_unreachable = True


class ConnectionLimitError(ConnectFailedError):
    """Report that the server accepts no more connections (MySQL error 1040)."""

    suggests_unreachable = False
    is_sign_of_life = True


class ServerNotReachedError(ConnectFailedError):
    """Report that no new connection to the server could be opened."""


class ServerDownError(ServerNotReachedError):
    """Report that nothing listens at the server's address.

    A missing answer may also be caused by a slow network or a busy server. Here the
    machine itself refused the connection, so it is running and the server is not.
    """


class DeadlinePassedError(ConnectFailedError):
    """Report that a request's deadline passed before anything was sent.

    It says nothing about the server's health.
    """

    suggests_unreachable = False


class PoolClosedError(ConnectFailedError):
    """Report that the pool is closed: nothing was sent."""

    suggests_unreachable = False


class PoolTimeoutError(BackendError):
    """Report that no connection became free in time: nothing was sent.

    It says nothing about the server's health.
    """


class OutcomeUnknownError(BackendError):
    """Report that a statement was sent and no complete answer was received.

    The statement may or may not have run. Its connection is closed.
    """

    suggests_unreachable = True
