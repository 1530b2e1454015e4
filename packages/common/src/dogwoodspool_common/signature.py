"""Signatures of requests between processes that hold the shared key."""

import hashlib
import hmac


class RequestSigner:
    """Sign and verify requests with the shared key of the system.

    The signature covers method, target and body, so that a request cannot be
    modified in transit. It neither encrypts the content nor prevents replays: every
    endpoint is idempotent (renewals, announcements, votes and changes carry terms,
    versions or change ids).
    """

    def __init__(self, key: bytes) -> None:
        if not key:
            raise ValueError("shared key is empty")
        self._key = key

    def sign(self, method: str, target: str, body: bytes) -> str:
        """Return the HMAC-SHA256 signature of a request in hexadecimal."""
        message = b"\n".join((method.encode(), target.encode(), body))
        return hmac.new(self._key, message, hashlib.sha256).hexdigest()

    def is_valid(self, signature: str, method: str, target: str, body: bytes) -> bool:
        """Return whether the signature is valid for the request."""
        expected = self.sign(method, target, body)
        return hmac.compare_digest(expected.encode(), signature.encode())
