"""Errors of the pooler library."""

from dogwoodspool_common import DogwoodspoolError

from .models import StatementError


class PoolerError(DogwoodspoolError):
    """Base of the pooler's own errors."""


class NotServedError(PoolerError):
    """Report a statement that no server ran.

    Attributes:
        error: the error that the caller gets.
    """

    def __init__(self, error: StatementError) -> None:
        super().__init__(error.message)
        self.error = error


class UnknownKeyError(NotServedError):
    """Report a key that no client account holds, or holds no longer."""


class NoPrimaryError(NotServedError):
    """Report that this process cannot reach the group's primary."""


class AnswerLostError(NotServedError):
    """Report a read that a server may have run and did not answer."""


class NotReadyError(PoolerError):
    """Report that what the view lacks may exist: it may not be the newest one."""


class NoDatabaseError(PoolerError):
    """Report a database name without an endpoint."""


class NotFreshError(PoolerError):
    """Report that no known position is recent enough for what a read must reflect."""
