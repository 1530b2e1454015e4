"""The caller connections of this proxy."""

import threading

from dogwoodspool_common import Clock
from dogwoodspool_common.counters import Counters
from dogwoodspool_following import Coordinator, ViewStore
from dogwoodspool_gateway import CallerSession

from .caller_session import ProxySession
from .callers import CallerState
from .const import REAP_INTERVAL_SECONDS
from .reads import ReadPath
from .transactions import TransactionPath
from .writes import WritePath


class CallerSessions:
    """Open a session for each caller connection and keep track of them."""

    def __init__(
        self,
        views: ViewStore,
        reads: ReadPath,
        writes: WritePath,
        transactions: TransactionPath,
        counters: Counters,
        clock: Clock,
    ) -> None:
        self._views = views
        self._reads = reads
        self._writes = writes
        self._transactions = transactions
        self._counters = counters
        self._clock = clock
        self._lock = threading.Lock()
        self._open: set[ProxySession] = set()

    def open(self, user: str) -> CallerSession:
        """Return a session for an authenticated caller."""
        session = ProxySession(
            CallerState(user),
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

    def password_hash(self, user: str) -> str | None:
        """Return the caller's password hash in the settings in force."""
        return self._views.settings(None).users.get(user)

    def expire_transactions(self) -> None:
        """Undo transactions that are open for too long."""
        with self._lock:
            sessions = list(self._open)
        for session in sessions:
            session.expire_transaction()

    def _forget(self, session: ProxySession) -> None:
        with self._lock:
            self._open.discard(session)


class TransactionReaper(Coordinator):
    """Look for transactions that are open for too long.

    A caller that goes away without a sign keeps its transaction, and with it a
    connection to the primary and maybe locks that others wait for.
    """

    def __init__(self, sessions: CallerSessions, clock: Clock) -> None:
        super().__init__("transaction-reaper", clock)
        self._sessions = sessions

    def step(self) -> float:
        """Look once."""
        self._sessions.expire_transactions()
        return REAP_INTERVAL_SECONDS
