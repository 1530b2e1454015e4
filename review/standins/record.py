"""Record of what was sent, answered and run in a scenario."""

import threading
import time
from pathlib import Path


class Record:
    """Write events with the seconds since the scenario began.

    Args:
        path: the file to write, which is replaced.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began_at = time.monotonic()

    def seconds(self, at: float) -> float:
        """Return the seconds of a ``time.monotonic()`` time."""
        return at - self._began_at

    def write(self, text: str) -> None:
        """Write one event."""
        with self._lock:
            self._file.write(f"{self.seconds(time.monotonic()):8.3f} {text}\n")
            self._file.flush()
