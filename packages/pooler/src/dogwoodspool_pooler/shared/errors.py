"""Errors of requests that one proxy runs for another."""

from dogwoodspool_connections import ConnectFailedError, OutcomeUnknownError

from ..errors import PoolerError


class OwnerUnavailableError(PoolerError):
    """Report that an owner did not accept a request: nothing was sent to a server."""


class OwnerSilentError(OutcomeUnknownError):
    """Report that an owner accepted a request and did not answer it.

    This is no evidence about the health of the backend server.
    """

    suggests_unreachable = False


class OwnerLeavingError(OwnerUnavailableError):
    """Report that an owner refused a request because its process is shutting down."""


class OwnerFailedError(PoolerError):
    """Report that an owner failed on a request that it may have run."""


class OwnerFullError(OwnerUnavailableError):
    """Report that an owner already serves its maximum number of new requests."""


class OwnerBehindError(OwnerUnavailableError):
    """Report that an owner's view is older than that of the proxy that asks it."""


class UnknownLeaseError(PoolerError):
    """Report that an owner does not hold a lease: it expired or the owner restarted."""


class LeaseLostError(ConnectFailedError):
    """Report that an owner no longer holds a transaction's connection.

    The server has rolled the transaction back, or does so when the owner's connection
    to it ends.
    """

    suggests_unreachable = False
