"""Proof that a request between processes comes from a holder of the shared key."""

import hashlib
import hmac


class RequestSigner:
    """Sign and check requests with the shared key of the system.

    The signature covers method, target and body, so that a request cannot be
    changed on its way. It does not hide the content and does not stop a replay:
    every endpoint is safe to repeat (renewals, announcements, votes and changes
    carry terms, versions or change ids).
    """

    def __init__(self, key: bytes) -> None:
        if not key:
            raise ValueError("the shared key is empty")
        self._key = key

    def sign(self, method: str, target: str, body: bytes) -> str:
        """Return the signature of one request as hexadecimal text."""
        message = b"\n".join((method.encode(), target.encode(), body))
        return hmac.new(self._key, message, hashlib.sha256).hexdigest()

    def is_valid(self, signature: str, method: str, target: str, body: bytes) -> bool:
        """Tell whether the signature belongs to the request."""
        expected = self.sign(method, target, body)
        return hmac.compare_digest(expected.encode(), signature.encode())
