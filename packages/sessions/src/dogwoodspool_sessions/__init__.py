"""Encode session tokens and decide which position a read must reach."""

from .const import NEW_SESSION
from .errors import (
    SessionTokenError,
    TokenMalformedError,
    TokenSignatureError,
    TokenVersionError,
)
from .history import is_covered, is_lost
from .models import ReadPosition, SessionRefusal
from .session import Session
from .token import TokenCodec

__all__ = [
    "NEW_SESSION",
    "ReadPosition",
    "Session",
    "SessionRefusal",
    "SessionTokenError",
    "TokenCodec",
    "TokenMalformedError",
    "TokenSignatureError",
    "TokenVersionError",
    "is_covered",
    "is_lost",
]
