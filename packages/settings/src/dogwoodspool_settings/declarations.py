"""Read declarations, a folder of YAML files that mirrors the tree.

``root.yaml``, ``SERVICE/service.yaml``, ``SERVICE/GROUP/group.yaml`` and
``SERVICE/GROUP/FAILURE_DOMAIN.yaml`` each contain the overrides of one node.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from .const import Level
from .errors import DeclarationError, InvalidPathError
from .overrides import validate_overrides
from .paths import join_path, split_path
from .secret_sources import SecretSource, split_secret_sources
from .yaml_file import read_yaml_mapping

YAML_SUFFIX: Final = ".yaml"
ROOT_FILE: Final = "root.yaml"
SERVICE_FILE: Final = "service.yaml"
GROUP_FILE: Final = "group.yaml"


@dataclass(frozen=True, slots=True)
class DeclaredNode:
    """One node as declared in a file.

    Attributes:
        file: the file, relative to the folder of the declarations.
        overrides: the overrides without the secrets that have a source.
        secret_sources: where the other secrets come from, by the secret's name.
    """

    path: str
    file: str
    overrides: dict[str, Any]
    secret_sources: dict[str, SecretSource]


def load_declarations(folder: Path) -> list[DeclaredNode]:
    """Read the declarations in a folder, parents before children.

    The file of each level must exist, even if it is empty: a folder that lost its
    ``root.yaml``, or the wrong folder, must not be taken for "delete everything".

    Raises:
        DeclarationError: with file, key and reason of the first fault.
    """
    if not folder.is_dir():
        raise DeclarationError(str(folder), "", "it is not a folder")
    return [_load(folder, file, names) for file, names in _walk_root(folder)]


def _walk_root(folder: Path) -> Iterator[tuple[Path, tuple[str, ...]]]:
    yield _require_file(folder, ROOT_FILE), ()
    for service in _subfolders(folder, ROOT_FILE):
        yield _require_file(service, SERVICE_FILE), (service.name,)
        for group in _subfolders(service, SERVICE_FILE):
            yield from _walk_group(group, (service.name, group.name))


def _walk_group(
    folder: Path, names: tuple[str, ...]
) -> Iterator[tuple[Path, tuple[str, ...]]]:
    yield _require_file(folder, GROUP_FILE), names
    for file in _entries(folder):
        if file.name == GROUP_FILE:
            continue
        if not file.is_file() or file.suffix != YAML_SUFFIX:
            reason = f"only FAILURE_DOMAIN{YAML_SUFFIX} files belong here"
            raise DeclarationError(str(file), "", reason)
        yield file, (*names, file.stem)


def _require_file(folder: Path, name: str) -> Path:
    file = folder / name
    if not file.is_file():
        raise DeclarationError(str(file), "", "the file is missing")
    return file


def _subfolders(folder: Path, level_file: str) -> Iterator[Path]:
    for entry in _entries(folder):
        if entry.is_dir():
            yield entry
        elif entry.name != level_file:
            reason = f"only {level_file} and folders belong here"
            raise DeclarationError(str(entry), "", reason)


def _entries(folder: Path) -> list[Path]:
    entries = (entry for entry in folder.iterdir() if not entry.name.startswith("."))
    return sorted(entries)


def _load(folder: Path, file: Path, names: tuple[str, ...]) -> DeclaredNode:
    path = join_path(*names)
    shown = str(file.relative_to(folder))
    try:
        level = Level(len(split_path(path)))
    except InvalidPathError as error:
        raise DeclarationError(shown, "", str(error)) from error
    given, sources = split_secret_sources(read_yaml_mapping(file))
    overrides, problems = validate_overrides(given, level)
    for problem in problems:
        key, _, reason = problem.partition(": ")
        raise DeclarationError(shown, key, reason)
    return DeclaredNode(path, shown, overrides, sources)
