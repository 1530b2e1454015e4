"""Read one YAML file into plain values."""

from pathlib import Path
from typing import Any

import yaml

from .errors import DeclarationError


class _UniqueKeyLoader(yaml.SafeLoader):
    """A safe loader that rejects a key given twice.

    PyYAML's safe loader silently keeps the last of the two, so that the value that
    the reviewer of a declaration saw might not be the one that takes effect.
    """

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Any, Any]:
        """Build a mapping; raise when a key occurs in it twice."""
        seen = set()
        for key_node, _ in node.value:
            key = key_node.value
            if key in seen:
                raise yaml.constructor.ConstructorError(
                    problem=f"the key {key!r} is given twice",
                    problem_mark=key_node.start_mark,
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def read_yaml_mapping(path: Path) -> dict[str, Any]:
    """Return the mapping in a file; an empty file is an empty mapping.

    Raises:
        DeclarationError: the file cannot be read or contains no mapping.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "it is not UTF-8 text"
        raise DeclarationError(str(path), "", reason) from error
    try:
        # A safe loader builds plain values only, as yaml.safe_load does.
        content = yaml.load(text, Loader=_UniqueKeyLoader)
    except yaml.YAMLError as error:
        raise DeclarationError(str(path), "", _reason(error)) from error
    if content is None:
        return {}
    if not isinstance(content, dict):
        raise DeclarationError(
            str(path), "", "it does not contain a mapping of settings"
        )
    for key in content:
        if not isinstance(key, str):
            raise DeclarationError(str(path), str(key), "the key is not text")
    return content


def _reason(error: yaml.YAMLError) -> str:
    # The error's own text quotes the file, which may contain a secret.
    if not isinstance(error, yaml.MarkedYAMLError) or error.problem_mark is None:
        return "it is not valid YAML"
    return f"line {error.problem_mark.line + 1}: {error.problem}"
