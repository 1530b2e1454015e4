"""The caller connections of this process."""

import threading

from dogwoodspool_common import Clock
from dogwoodspool_common.counters import Counters
from dogwoodspool_following import Coordinator, ViewStore

from .const import REAP_INTERVAL_SECONDS
from .errors import NoDatabaseError, NotReadyError
from .reads import ReadPath
from .session import PooledSession
from .transactions import TransactionPath
from .writes import WritePath


class PooledSessions(Coordinator):
    """Open a session for each caller, and end transactions that idle too long."""

    def __init__(
        self,
        views: ViewStore,
        reads: ReadPath,
        writes: WritePath,
        transactions: TransactionPath,
        counters: Counters,
        clock: Clock,
    ) -> None:
        super().__init__("transaction-reaper", clock)
        self._views = views
        self._reads = reads
        self._writes = writes
        self._transactions = transactions
        self._counters = counters
        self._lock = threading.Lock()
        self._open: set[PooledSession] = set()

    @property
    def count(self) -> int:
        """Sessions that are open."""
        with self._lock:
            return len(self._open)

    def open(self, database: str) -> PooledSession:
        """Return a session at a database.

        Raises:
            NotReadyError: what there is is not known yet.
            NoDatabaseError: there is no such database.
        """
        if not self._views.is_filled:
            raise NotReadyError("this proxy has just started")
        if database not in self._views.view.databases:
            raise NoDatabaseError(f"there is no database {database}")
        session = PooledSession(
            database,
            self._views,
            self._reads,
            self._writes,
            self._transactions,
            self._counters,
            self._clock,
            self._forget,
        )
        with self._lock:
            self._open.add(session)
        return session

    def step(self) -> float:
        """Look for idle transactions once."""
        with self._lock:
            sessions = list(self._open)
        for session in sessions:
            session.expire_transaction()
        return REAP_INTERVAL_SECONDS

    def _forget(self, session: PooledSession) -> None:
        with self._lock:
            self._open.discard(session)
