"""Counts of statements over all connections."""

import threading


class StatementCounters:
    """Count from many threads at once."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._statements = 0
        self._writes = 0

    @property
    def statements(self) -> int:
        """Statements of callers, the stand-in's own not counted."""
        return self._statements

    @property
    def writes(self) -> int:
        """Write transactions that callers committed."""
        return self._writes

    def count_statement(self) -> None:
        """Count one statement of a caller."""
        with self._lock:
            self._statements += 1

    def count_write(self) -> None:
        """Count one committed write transaction of a caller."""
        with self._lock:
            self._writes += 1
