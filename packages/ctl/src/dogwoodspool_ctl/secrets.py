"""Read the secrets of declarations from files and environment variables."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from dogwoodspool_settings import SecretSource, SourceKind, with_secrets

from .errors import BadArgumentError


class SecretReader:
    """Read secrets; paths of files are relative to one folder."""

    def __init__(self, folder: Path, environment: Mapping[str, str]) -> None:
        self._folder = folder
        self._environment = environment

    def resolve(
        self, overrides: Mapping[str, Any], sources: Mapping[str, SecretSource]
    ) -> dict[str, Any]:
        """Return overrides with their secrets inserted.

        Raises:
            BadArgumentError: names the secret and its source, never its value.
        """
        secrets = {name: self._read(name, source) for name, source in sources.items()}
        return with_secrets(overrides, secrets)

    def _read(self, name: str, source: SecretSource) -> str:
        if source.kind is SourceKind.ENV:
            value = self._environment.get(source.name, "")
            if not value:
                raise BadArgumentError(
                    f"{name}: environment variable {source.name} is unset or empty"
                )
            return value
        try:
            text = (self._folder / source.name).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            reason = getattr(error, "strerror", None) or "it is not UTF-8 text"
            raise BadArgumentError(f"{name}: file {source.name}: {reason}") from error
        value = text.rstrip("\r\n")
        if not value:
            raise BadArgumentError(f"{name}: file {source.name} is empty")
        return value
