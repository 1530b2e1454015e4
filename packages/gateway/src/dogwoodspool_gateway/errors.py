"""Errors of the gateway."""

from dogwoodspool_common import DogwoodspoolError


class GatewayError(DogwoodspoolError):
    """Base class of the gateway's errors."""


class BadRequestPropertyError(GatewayError):
    """Report a request property with an invalid value."""


class PacketTooLargeError(GatewayError):
    """Report a request from a caller that exceeds the size limit."""


class CallerNotAuthenticatedError(GatewayError):
    """Report a caller whose authentication failed."""
