"""Errors of session tokens."""

from dogwoodspool_common import DogwoodspoolError


class SessionTokenError(DogwoodspoolError):
    """Base of the errors of refused session tokens."""


class TokenMalformedError(SessionTokenError):
    """Report a token that is truncated, too long or not a token at all."""


class TokenSignatureError(SessionTokenError):
    """Report a token that was signed with another key or modified."""


class TokenVersionError(SessionTokenError):
    """Report a token in a format version that this program does not support."""
