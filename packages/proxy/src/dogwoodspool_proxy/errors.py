"""Errors of the proxy program."""

from dogwoodspool_common import DogwoodspoolError


class ProxyError(DogwoodspoolError):
    """Base of the proxy's own errors."""


class UnknownGroupError(ProxyError):
    """Report a database group that control does not know."""
