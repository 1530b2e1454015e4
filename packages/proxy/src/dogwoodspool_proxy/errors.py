"""Errors of the proxy program."""

from dogwoodspool_common import DogwoodspoolError


class ProxyError(DogwoodspoolError):
    """Base of the proxy's own errors."""


class NothingSentError(ProxyError):
    """Report a statement whose deadline passed before it was sent."""
