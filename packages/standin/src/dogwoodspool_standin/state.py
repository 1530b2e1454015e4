"""Durable storage of one server's role, term and fence."""

import sqlite3
from pathlib import Path
from typing import Final

from dogwoodspool_common import Address, Role

from .const import FILE_STATE, FOLDER_LOCK_TIMEOUT
from .errors import StorageError
from .models import DurableState

_CREATE: Final = (
    "CREATE TABLE IF NOT EXISTS state (id INTEGER PRIMARY KEY CHECK (id = 1), "
    "role TEXT NOT NULL, term INTEGER NOT NULL, fenced_term INTEGER NOT NULL, "
    "follow TEXT, follow_term INTEGER NOT NULL)"
)
_SAVE: Final = "INSERT OR REPLACE INTO state VALUES (1, ?, ?, ?, ?, ?)"
_LOAD: Final = "SELECT role, term, fenced_term, follow, follow_term FROM state"


class StateStore:
    """Keep ``DurableState`` in a SQLite file of its own.

    If the state were in the file of the rows, a fence would wait for an open
    transaction of a caller that holds SQLite's write lock, possibly forever.
    """

    def __init__(self, folder: Path) -> None:
        self._connection = sqlite3.connect(
            folder / FILE_STATE,
            timeout=FOLDER_LOCK_TIMEOUT,
            isolation_level=None,
            check_same_thread=False,
        )
        # Two processes on one data folder would both act as the same server. The
        # second one fails on this lock, which lasts as long as the first process.
        self._connection.execute("PRAGMA locking_mode = EXCLUSIVE")
        try:
            self._connection.execute("PRAGMA synchronous = FULL")
            self._connection.execute("BEGIN EXCLUSIVE")
            self._connection.execute(_CREATE)
            self._connection.execute("COMMIT")
        except sqlite3.Error as error:
            self._connection.close()
            raise StorageError(
                f"{folder} is not usable as data folder: {error}"
            ) from error

    def load(self) -> DurableState | None:
        """Return the last saved state, None at the first start."""
        row = self._connection.execute(_LOAD).fetchone()
        if row is None:
            return None
        role, term, fenced_term, follow, follow_term = row
        address = Address.parse(follow) if follow else None
        return DurableState(Role(role), term, fenced_term, address, follow_term)

    def save(self, state: DurableState) -> None:
        """Save the state; once this returns, it survives the end of the process."""
        follow = str(state.follow) if state.follow else None
        self._connection.execute(
            _SAVE,
            (state.role, state.term, state.fenced_term, follow, state.follow_term),
        )

    def close(self) -> None:
        """Close the file."""
        self._connection.close()
