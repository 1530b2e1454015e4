"""Run load and experiments; record and check histories of concurrent callers."""

from .checker import check_history
from .errors import HistoryError, LoadError, ScheduleError
from .history import HistoryRecorder, read_history
from .models import (
    Answer,
    FinalRow,
    GroupFinal,
    Invocation,
    Outcome,
    RequestKind,
    RowSeen,
    Rule,
    Table,
    Violation,
)

__all__ = [
    "Answer",
    "FinalRow",
    "GroupFinal",
    "HistoryError",
    "HistoryRecorder",
    "Invocation",
    "LoadError",
    "Outcome",
    "RequestKind",
    "RowSeen",
    "Rule",
    "ScheduleError",
    "Table",
    "Violation",
    "check_history",
    "read_history",
]
