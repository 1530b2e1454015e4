"""Errors of session tokens."""

from dogwoodspool_common import DogwoodspoolError


class SessionTokenError(DogwoodspoolError):
    """Base of the reasons for which a session token is refused."""


class TokenMalformedError(SessionTokenError):
    """Report a token that is cut short, too long or not a token at all."""


class TokenSignatureError(SessionTokenError):
    """Report a token that was signed with another key or was changed."""


class TokenVersionError(SessionTokenError):
    """Report a token of a format that this program does not know."""
