"""Errors of the callers' protocol."""

from dogwoodspool_common import DogwoodspoolError


class GatewayError(DogwoodspoolError):
    """Base of the gateway's errors."""


class BadRequestPropertyError(GatewayError):
    """Report a request property whose value is no value of its kind."""


class PacketTooLargeError(GatewayError):
    """Report a caller's packet above the size limit."""


class CallerNotAuthenticatedError(GatewayError):
    """Report a caller whose name or password was refused."""


class CallerLimitError(GatewayError):
    """Report that the proxy holds all the caller connections it may."""
