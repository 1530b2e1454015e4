"""Redact secrets in overrides and mark secrets that a change keeps.

A redacted secret is shown as ``***``. With a key it is shown as ``***:FINGERPRINT``,
so that someone who has the same key and a secret can tell whether the two secrets are
the same without the stored one being shown. Sent back in a change, both mean *keep the
value that the node has*, and ``***@VERSION`` means *use the value that this version of
the node had*.
"""

import hashlib
import hmac
import re
from collections.abc import Callable, Mapping
from typing import Any, Final

from .const import CONF_USERS, SECRET_KEYS

MASK: Final = "***"
FINGERPRINT_LENGTH: Final = 16
_MASKED: Final = re.compile(r"\*\*\*(?:@(?P<version>[0-9]{1,18}))?(?::[0-9a-f]{16})?")


def is_masked(value: Any) -> bool:
    """Return whether a value is a mask in place of a secret."""
    return isinstance(value, str) and _MASKED.fullmatch(value) is not None


def masked_version(value: str) -> int | None:
    """Return the version that a mask refers to; None for the current one."""
    match = _MASKED.fullmatch(value)
    if match is None or match["version"] is None:
        return None
    return int(match["version"])


def redact(overrides: Mapping[str, Any], key: bytes | None = None) -> dict[str, Any]:
    """Return a copy of a node's overrides without its secrets.

    Args:
        overrides: overrides of one node.
        key: key of the fingerprints, the shared key of the system: without this
            key, guesses of a weak password cannot be tested against a fingerprint.

    Example:
        >>> redact({"deadline_ms": 800, "backend_password": "geheim"})
        {'deadline_ms': 800, 'backend_password': '***'}
    """
    return map_secrets(overrides, lambda name, value: _mask(name, value, key))


def keep_secrets_of_version(
    overrides: Mapping[str, Any], version: int
) -> dict[str, Any]:
    """Return redacted overrides whose secrets refer to one version of the node."""
    return map_secrets(
        overrides,
        lambda _name, value: f"{MASK}@{version}" if is_masked(value) else value,
    )


def map_secrets(
    overrides: Mapping[str, Any], replace: Callable[[str, Any], Any]
) -> dict[str, Any]:
    """Return a copy in which a function has replaced each secret.

    Args:
        overrides: overrides of one node.
        replace: called with the secret's name (``users.NAME`` for the hash of
            one user) and its value.
    """
    result = dict(overrides)
    for name in SECRET_KEYS & result.keys():
        result[name] = replace(name, result[name])
    users = result.get(CONF_USERS)
    if isinstance(users, Mapping):
        result[CONF_USERS] = {
            user: replace(f"{CONF_USERS}.{user}", value)
            for user, value in users.items()
        }
    return result


def _mask(name: str, value: Any, key: bytes | None) -> Any:
    if value == "" or is_masked(value):
        return value
    if key is None:
        return MASK
    content = f"{name}\n{value}".encode()
    digest = hmac.new(key, content, hashlib.sha256).hexdigest()
    return f"{MASK}:{digest[:FINGERPRINT_LENGTH]}"
