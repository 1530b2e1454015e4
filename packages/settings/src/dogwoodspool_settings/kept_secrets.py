"""Restore the secrets that a change keeps without sending them."""

from collections.abc import Callable, Mapping
from typing import Any

from .const import CONF_USERS
from .redaction import is_masked, map_secrets, masked_version

# Returns the overrides of one version of a node; None means the current one.
OverridesAt = Callable[[int | None], Mapping[str, Any] | None]


def restore_kept_secrets(
    overrides: Mapping[str, Any], overrides_at: OverridesAt
) -> tuple[dict[str, Any], list[str]]:
    """Return overrides with masked secrets replaced, and one line per failure.

    Only control knows the secrets, so a change to another key is sent with masks in
    their place. The change's expected version determines which secret is kept.
    """
    problems: list[str] = []

    def replace(name: str, value: Any) -> Any:
        if not is_masked(value):
            return value
        kept = _find_secret(overrides_at(masked_version(value)), name)
        if kept is None:
            problems.append(f"{name}: there is no earlier value to keep")
        return kept

    return map_secrets(overrides, replace), problems


def _find_secret(overrides: Mapping[str, Any] | None, name: str) -> Any:
    if overrides is None:
        return None
    section, _, user = name.partition(".")
    if section == CONF_USERS:
        return overrides.get(CONF_USERS, {}).get(user)
    return overrides.get(name)
