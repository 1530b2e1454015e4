"""Hold the settings tree: inheritance, validation, changes, declarations."""

from dogwoodspool_api import SettingsNode

from .const import FROM_DEFAULT, RETAINED_CHANGE_IDS, RETAINED_HISTORY, ROOT_PATH
from .errors import (
    DeclarationError,
    InvalidPathError,
    ReadOnlyTreeError,
    SettingsTreeError,
    SnapshotError,
    UnknownNodeError,
)
from .models import (
    ChangeAccepted,
    ChangeRejected,
    EffectiveSettings,
    ExplainedValue,
    HistoryEntry,
    RejectionCode,
    SettingsChange,
    Statements,
    WriteAck,
)
from .redaction import keep_secrets_of_version, redact
from .tree import SettingsTree

__all__ = [
    "FROM_DEFAULT",
    "RETAINED_CHANGE_IDS",
    "RETAINED_HISTORY",
    "ROOT_PATH",
    "ChangeAccepted",
    "ChangeRejected",
    "DeclarationError",
    "EffectiveSettings",
    "ExplainedValue",
    "HistoryEntry",
    "InvalidPathError",
    "ReadOnlyTreeError",
    "RejectionCode",
    "SettingsChange",
    "SettingsNode",
    "SettingsTree",
    "SettingsTreeError",
    "SnapshotError",
    "Statements",
    "UnknownNodeError",
    "WriteAck",
    "keep_secrets_of_version",
    "redact",
]
