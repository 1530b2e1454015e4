"""Counts of statements over all connections."""

import threading
from collections import deque

from .const import RECENT_STATEMENTS


class StatementCounters:
    """Count from many threads at once."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._statements = 0
        self._recent: deque[str] = deque(maxlen=RECENT_STATEMENTS)
        self._writes = 0

    @property
    def statements(self) -> int:
        """Statements of callers, the stand-in's own not counted."""
        return self._statements

    @property
    def recent(self) -> list[str]:
        """The newest statements of callers, the oldest first."""
        with self._lock:
            return list(self._recent)

    @property
    def writes(self) -> int:
        """Write transactions that callers committed."""
        return self._writes

    def count_statement(self, sql: str) -> None:
        """Count one statement of a caller."""
        with self._lock:
            self._statements += 1
            self._recent.append(sql)

    def count_write(self) -> None:
        """Count one committed write transaction of a caller."""
        with self._lock:
            self._writes += 1
