"""Session tokens: opaque, signed and small."""

import base64
import binascii
import hashlib
import hmac
import json
from collections.abc import Mapping
from typing import Any

from dogwoodspool_common import Position

from .const import (
    MAX_TOKEN_GROUPS,
    MAX_TOKEN_LENGTH,
    MIN_KEY_BYTES,
    SIGNATURE_BYTES,
    TOKEN_SEPARATOR,
    TOKEN_VERSION,
)
from .errors import TokenMalformedError, TokenSignatureError, TokenVersionError


class TokenCodec:
    """Encode and decode session tokens with one key.

    A token contains, for each database group that the session has used, the
    position that its reads must reach. All proxies have the same key, so a session
    can continue at another proxy with its token.

    Example:
        >>> codec = TokenCodec(bytes(32))
        >>> codec.decode(codec.encode({"orders": Position(2, 7)}))
        {'orders': Position(term=2, offset=7)}
    """

    def __init__(self, key: bytes) -> None:
        if len(key) < MIN_KEY_BYTES:
            raise ValueError(
                f"token key too short: {len(key)} bytes, minimum {MIN_KEY_BYTES}"
            )
        self._key = key

    def encode(self, positions: Mapping[str, Position]) -> str:
        """Return the token of a session's positions."""
        groups = {
            group: [position.term, position.offset]
            for group, position in sorted(positions.items())[:MAX_TOKEN_GROUPS]
        }
        content = {"v": TOKEN_VERSION, "g": groups}
        payload = _to_text(json.dumps(content, separators=(",", ":")).encode())
        return payload + TOKEN_SEPARATOR + _to_text(self._signature(payload))

    def decode(self, token: str) -> dict[str, Position]:
        """Return the positions in a token.

        Raises:
            TokenMalformedError: the text is not a complete token.
            TokenSignatureError: the signature does not match this key.
            TokenVersionError: the format version is not supported.
        """
        if len(token) > MAX_TOKEN_LENGTH:
            raise TokenMalformedError(
                f"session token too long: {len(token)} characters, "
                f"maximum {MAX_TOKEN_LENGTH}"
            )
        payload, separator, signature = token.partition(TOKEN_SEPARATOR)
        if not separator:
            raise TokenMalformedError("session token truncated: signature is missing")
        if not hmac.compare_digest(self._signature(payload), _from_text(signature)):
            raise TokenSignatureError("session token signature does not match")
        return _read_positions(_from_text(payload))

    def _signature(self, payload: str) -> bytes:
        digest = hmac.new(self._key, payload.encode(), hashlib.sha256).digest()
        return digest[:SIGNATURE_BYTES]


def _read_positions(content: bytes) -> dict[str, Position]:
    fields: dict[str, Any] = json.loads(content)
    if fields.get("v") != TOKEN_VERSION:
        raise TokenVersionError(
            f"session token has unsupported version {fields.get('v')}, "
            f"expected {TOKEN_VERSION}"
        )
    return {
        group: Position(term, offset) for group, (term, offset) in fields["g"].items()
    }


def _to_text(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _from_text(text: str) -> bytes:
    padded = text + "=" * (-len(text) % 4)
    try:
        return base64.b64decode(padded.encode("ascii"), altchars=b"-_", validate=True)
    except (binascii.Error, ValueError) as error:
        raise TokenMalformedError("session token is not valid base64") from error
