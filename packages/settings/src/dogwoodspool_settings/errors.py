"""Errors of the settings library."""

from dogwoodspool_common import DogwoodspoolError


class SettingsTreeError(DogwoodspoolError):
    """Base of the errors of the settings tree and its declarations."""


class InvalidPathError(SettingsTreeError):
    """Report a text that is not a valid node path."""


class UnknownNodeError(SettingsTreeError):
    """Report a path at which no node exists."""


class ReadOnlyTreeError(SettingsTreeError):
    """Report a change to a read-only mirror of another tree."""


class SnapshotError(SettingsTreeError):
    """Report a snapshot that cannot be restored."""


class DeclarationError(SettingsTreeError):
    """Report an invalid declaration in a file.

    Attributes:
        file: the invalid file or folder.
        key: the invalid key; empty when the file as a whole is invalid.
        reason: what is wrong, without the value, which may be a secret.
    """

    def __init__(self, file: str, key: str, reason: str) -> None:
        where = f"{file}: {key}" if key else file
        super().__init__(f"{where}: {reason}")
        self.file = file
        self.key = key
        self.reason = reason
