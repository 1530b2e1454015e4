"""Atomic replacement of files."""

import os
from pathlib import Path

from .const import TEMPORARY_SUFFIX


def replace_file(path: Path, content: bytes) -> None:
    """Replace a file atomically: a crash leaves its old or its new content.

    The folder is synced too, as a crash before that may undo the rename.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    with temporary.open("wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_folder(path.parent)


def sync_folder(path: Path) -> None:
    """Make the names of a folder's files durable."""
    folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def create_folder(path: Path) -> None:
    """Create a folder and its missing parents, and make their names durable."""
    missing = [one for one in (path, *path.parents) if not one.exists()]
    path.mkdir(parents=True, exist_ok=True)
    for folder in missing:
        sync_folder(folder.parent)
