"""Errors of the pooler library."""

from dogwoodspool_common import DogwoodspoolError

from .models import StatementError


class PoolerError(DogwoodspoolError):
    """Base of the pooler's own errors."""


class NotServedError(PoolerError):
    """Report a statement that was not given to any server that ran it.

    Attributes:
        error: what the caller is told.
    """

    def __init__(self, error: StatementError) -> None:
        super().__init__(error.message)
        self.error = error


class NoPrimaryError(NotServedError):
    """Report that this process reaches no server that leads the group."""


class NotReadyError(PoolerError):
    """Report that nothing has come from control so far: any database may exist."""


class NoDatabaseError(PoolerError):
    """Report a database name that no endpoint has."""


class NotFreshError(PoolerError):
    """Report that no position is known that covers what a read must reflect."""
