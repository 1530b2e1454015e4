"""Errors of connections to backend servers."""

from typing import ClassVar

from dogwoodspool_common import DogwoodspoolError


class BackendError(DogwoodspoolError):
    """Base of the errors of work on backend servers.

    Attributes:
        suggests_unreachable: the server gave no answer where one was due.
        is_sign_of_life: the server itself answered, though not as hoped. A server
            that refuses a connection for want of room, or knows no such statement,
            must not be taken for a failed one.
    """

    suggests_unreachable: ClassVar[bool] = False
    is_sign_of_life: ClassVar[bool] = False


class ConnectFailedError(BackendError):
    """Report that no usable connection was there: nothing was sent."""

    suggests_unreachable = True


class ConnectionLimitError(ConnectFailedError):
    """Report that the server takes no more connections (MySQL's 1040)."""

    suggests_unreachable = False
    is_sign_of_life = True


class ServerNotReachedError(ConnectFailedError):
    """Report that no new connection to the server came up."""


class ServerDownError(ServerNotReachedError):
    """Report that nothing listens at the server's address.

    Unlike silence, which a slow network or a busy server makes as well, this is
    the word of a machine that runs without the server.
    """


class DeadlinePassedError(ConnectFailedError):
    """Report that a request's time was over before anything was sent.

    It says nothing about the server's health.
    """

    suggests_unreachable = False


class PoolClosedError(ConnectFailedError):
    """Report that the pool was unloaded: nothing was sent."""

    suggests_unreachable = False


class PoolTimeoutError(BackendError):
    """Report that no connection came free in time: nothing was sent.

    It says nothing about the server's health.
    """


class OutcomeUnknownError(BackendError):
    """Report that a statement was sent and no complete answer came.

    The statement may or may not have run. Its connection is closed.
    """

    suggests_unreachable = True
