"""Sources of secrets, so that no declaration file has to contain them."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from .redaction import map_secrets


class SourceKind(StrEnum):
    """Kinds of sources that a secret is read from."""

    FILE = "file"
    ENV = "env"


@dataclass(frozen=True, slots=True)
class SecretSource:
    """A file or an environment variable that contains one secret.

    Attributes:
        name: path of the file, or name of the variable.
    """

    kind: SourceKind
    name: str


def split_secret_sources(
    overrides: Mapping[str, Any],
) -> tuple[dict[str, Any], dict[str, SecretSource]]:
    """Separate secrets that name a source from the rest of the overrides.

    Returns:
        The overrides without those secrets, and the sources by the secret's
        name, ``users.NAME`` for the hash of one user.
    """
    sources: dict[str, SecretSource] = {}

    def extract_source(name: str, value: Any) -> Any:
        source = _parse(value)
        if source is None:
            return value
        sources[name] = source
        return source

    marked = map_secrets(overrides, extract_source)
    rest = {key: value for key, value in marked.items() if key not in sources}
    return _without_sourced_users(rest, sources), sources


def with_secrets(
    overrides: Mapping[str, Any], secrets: Mapping[str, str]
) -> dict[str, Any]:
    """Return overrides with the values of their secrets filled in.

    Args:
        overrides: overrides without the secrets.
        secrets: values by the secret's name, as ``split_secret_sources`` names
            them.
    """
    result = dict(overrides)
    for name, value in secrets.items():
        section, _, user = name.partition(".")
        if user:
            result[section] = {**result.get(section, {}), user: value}
        else:
            result[section] = value
    return result


def _parse(value: Any) -> SecretSource | None:
    if not isinstance(value, Mapping) or len(value) != 1:
        return None
    ((kind, name),) = value.items()
    if kind not in tuple(SourceKind) or not isinstance(name, str) or not name:
        return None
    return SecretSource(SourceKind(kind), name)


def _without_sourced_users(
    overrides: Mapping[str, Any], sources: Mapping[str, SecretSource]
) -> dict[str, Any]:
    result = dict(overrides)
    for section in {name.partition(".")[0] for name in sources if "." in name}:
        users = result[section]
        result[section] = {
            user: value
            for user, value in users.items()
            if f"{section}.{user}" not in sources
        }
    return result
