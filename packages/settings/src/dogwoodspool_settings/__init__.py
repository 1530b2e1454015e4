"""Provide the settings tree with inheritance, validation and versioned changes.

``declarations`` is not imported here: only the command line reads declaration files,
and every other process starts faster without loading a YAML parser.
"""

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
from .planning import PlannedAction, PlannedChange, plan
from .redaction import keep_secrets_of_version, redact
from .secret_sources import (
    SecretSource,
    SourceKind,
    split_secret_sources,
    with_secrets,
)
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
    "PlannedAction",
    "PlannedChange",
    "ReadOnlyTreeError",
    "RejectionCode",
    "SecretSource",
    "SettingsChange",
    "SettingsNode",
    "SettingsTree",
    "SettingsTreeError",
    "SnapshotError",
    "SourceKind",
    "Statements",
    "UnknownNodeError",
    "WriteAck",
    "keep_secrets_of_version",
    "plan",
    "redact",
    "split_secret_sources",
    "with_secrets",
]
