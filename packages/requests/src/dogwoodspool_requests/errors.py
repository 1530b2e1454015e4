"""Errors of requests that must run at most once."""

from dogwoodspool_common import DogwoodspoolError


class RequestError(DogwoodspoolError):
    """Base of the errors of this library."""


class RequestIdReusedError(RequestError):
    """Report a request id that was used for another statement."""


class RequestNotRunError(RequestError):
    """Report a request whose transaction is known not to have committed."""
