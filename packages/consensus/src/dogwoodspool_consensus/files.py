"""Replace files so that a crash leaves the old or the new content."""

import os
from pathlib import Path

from .const import TEMPORARY_SUFFIX


def replace_file(path: Path, content: bytes) -> None:
    """Write a file so that a crash leaves the old or the new content whole.

    The folder is synced too: until then the new name may be lost in a crash.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    with temporary.open("wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
