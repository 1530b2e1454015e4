"""Statement counters for all connections of a server."""

import threading
from collections import deque

from .const import RECENT_STATEMENTS


class StatementCounters:
    """Thread-safe statement counters."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._statements = 0
        self._recent: deque[str] = deque(maxlen=RECENT_STATEMENTS)
        self._writes = 0

    @property
    def statements(self) -> int:
        """Number of statements of callers, without the stand-in's own statements."""
        return self._statements

    @property
    def recent(self) -> list[str]:
        """The most recent statements of callers, oldest first."""
        with self._lock:
            return list(self._recent)

    @property
    def writes(self) -> int:
        """Number of write transactions that callers committed."""
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
