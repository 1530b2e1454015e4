"""Errors of the settings library."""

from dogwoodspool_common import DogwoodspoolError


class SettingsTreeError(DogwoodspoolError):
    """Base of the errors of the settings tree and its declarations."""


class InvalidPathError(SettingsTreeError):
    """Report a text that is no path of a node."""


class UnknownNodeError(SettingsTreeError):
    """Report a path at which no node exists."""


class ReadOnlyTreeError(SettingsTreeError):
    """Report a change of a tree that only mirrors another one."""


class SnapshotError(SettingsTreeError):
    """Report a snapshot that cannot be restored."""


class DeclarationError(SettingsTreeError):
    """Report a declaration in a file that cannot be used.

    Attributes:
        file: the file or folder at fault.
        key: the key at fault, empty for the file as a whole.
        reason: what is wrong with it, without any value.
    """

    def __init__(self, file: str, key: str, reason: str) -> None:
        where = f"{file}: {key}" if key else file
        super().__init__(f"{where}: {reason}")
        self.file = file
        self.key = key
        self.reason = reason
