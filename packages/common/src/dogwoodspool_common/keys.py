"""Digests of the keys that identify callers."""

import hashlib
from typing import Final

DIGEST_BYTES: Final = 16


def key_digest(key: str) -> str:
    """Return the digest under which a key is stored, distributed and looked up.

    A lookup by digest takes the same time for every wrong key, so that response times
    reveal nothing about the keys that exist.

    Example:
        >>> len(key_digest("h5mgjy5rcpihhacrudde"))
        32
    """
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).hexdigest()
