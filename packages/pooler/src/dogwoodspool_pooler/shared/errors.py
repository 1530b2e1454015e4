"""Errors of requests that one proxy runs for another."""

from dogwoodspool_connections import ConnectFailedError, OutcomeUnknownError

from ..errors import PoolerError


class OwnerUnavailableError(PoolerError):
    """Report that an owner did not take a request: nothing was sent to a server."""


class OwnerSilentError(OutcomeUnknownError):
    """Report that an owner took a request and gave no answer.

    It says nothing about the server's health.
    """

    suggests_unreachable = False


class OwnerLeavingError(OwnerUnavailableError):
    """Report that an owner's process ends soon."""


class OwnerFullError(OwnerUnavailableError):
    """Report that an owner has as many requests as it works on at a time."""


class UnknownLeaseError(PoolerError):
    """Report that an owner does not hold a lease: it ended, or the process did."""


class LeaseLostError(ConnectFailedError):
    """Report that an owner no longer holds a transaction's connection.

    The server has undone the transaction, or does so when the owner's connection ends.
    """

    suggests_unreachable = False
