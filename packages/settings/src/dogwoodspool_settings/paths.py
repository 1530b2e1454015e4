"""Node paths, from ``/`` down to ``/service/group/failure_domain``."""

import re
from typing import Final

from dogwoodspool_api.const import MAX_NAME_LENGTH

from .const import PATH_SEPARATOR, ROOT_PATH, Level
from .errors import InvalidPathError

# No leading dot: a name is also a file name in declarations, where dot files
# are skipped.
_NAME: Final = re.compile(r"[A-Za-z0-9_-][A-Za-z0-9._-]*")


def split_path(path: str) -> tuple[str, ...]:
    """Return the names in a path.

    Raises:
        InvalidPathError: the text is not a valid path of the tree's four levels.

    Example:
        >>> split_path("/chat-core/chat1")
        ('chat-core', 'chat1')
    """
    if path == ROOT_PATH:
        return ()
    if not path.startswith(PATH_SEPARATOR):
        raise InvalidPathError(f"{path!r} does not begin with {ROOT_PATH!r}")
    names = tuple(path[1:].split(PATH_SEPARATOR))
    if len(names) > Level.FAILURE_DOMAIN:
        raise InvalidPathError(f"{path!r} has more than {Level.FAILURE_DOMAIN} names")
    for name in names:
        if len(name) > MAX_NAME_LENGTH or not _NAME.fullmatch(name):
            raise InvalidPathError(f"{path!r} holds the bad name {name!r}")
    return names


def join_path(*names: str) -> str:
    """Return the path that consists of the given names.

    Example:
        >>> join_path("chat-core", "chat1")
        '/chat-core/chat1'
    """
    return ROOT_PATH + PATH_SEPARATOR.join(names)


def level_of(path: str) -> Level:
    """Return the level of a path; raise ``InvalidPathError`` for an invalid one."""
    return Level(len(split_path(path)))


def parent_of(path: str) -> str:
    """Return the path one level up; the root is its own parent."""
    return join_path(*split_path(path)[:-1])


def lineage_of(path: str) -> tuple[str, ...]:
    """Return the paths from the root down to and including this one.

    Example:
        >>> lineage_of("/chat-core/chat1")
        ('/', '/chat-core', '/chat-core/chat1')
    """
    names = split_path(path)
    return tuple(join_path(*names[:depth]) for depth in range(len(names) + 1))
