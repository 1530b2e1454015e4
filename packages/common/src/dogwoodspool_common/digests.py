"""Digests by which two processes compare what they hold."""

import hashlib
from collections.abc import Iterable
from typing import Final

from .models import Endpoint

ENDPOINTS_DIGEST_BYTES: Final = 8


def endpoints_digest(endpoints: Iterable[Endpoint]) -> str:
    """Return a digest of which databases there are and which groups serve them.

    It covers no other values, so that builds that represent them differently agree.

    Example:
        >>> endpoints_digest([]) == endpoints_digest(())
        True
    """
    lines = sorted(f"{one.name}\t{one.database}\t{one.group}" for one in endpoints)
    content = "\n".join(lines).encode()
    return hashlib.blake2b(content, digest_size=ENDPOINTS_DIGEST_BYTES).hexdigest()
