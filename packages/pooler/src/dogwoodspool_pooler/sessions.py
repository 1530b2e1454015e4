"""The caller sessions of this process."""

from dogwoodspool_accounts import OperationLimiter
from dogwoodspool_common import Clock
from dogwoodspool_common.counters import Counters
from dogwoodspool_following import OpenSessions, ProxyView, ViewStore

from .const import FIRST_VIEW_DUE_SECONDS, FIRST_VIEW_WAIT_SECONDS
from .databases import Confirmer, Databases
from .errors import NotReadyError
from .operations import OperationCounter
from .removals import RemovalLog
from .session import PooledSession
from .statements import Statements
from .transactions import TransactionPath


class PooledSessions(OpenSessions[PooledSession]):
    """Open a session for each caller."""

    def __init__(
        self,
        views: ViewStore,
        confirmer: Confirmer,
        statements: Statements,
        transactions: TransactionPath,
        limiter: OperationLimiter,
        counters: Counters,
        clock: Clock,
    ) -> None:
        super().__init__(clock)
        self._views = views
        self._databases = Databases(views, confirmer)
        self._statements = statements
        self._transactions = transactions
        self._operations = OperationCounter(limiter, counters, clock)
        self._removals = RemovalLog(clock)
        views.add_listener(self._record_removals)
        self._counters = counters
        self._first_view_due = clock.now() + FIRST_VIEW_DUE_SECONDS

    def open(self, database: str, key_digest: str = "") -> PooledSession:
        """Return a new session at a database for the caller with a key.

        Shortly after its start the process lets callers wait for the first view. When
        all proxies start together after a power loss, callers that are refused at once
        would use up their attempts on one proxy after another before any can serve.

        Raises:
            NotReadyError: no view has arrived, or control has not confirmed that the
                newest one lacks the database or the key.
            NoDatabaseError: there is no such database.
            UnknownKeyError: the database needs a key, and no account holds this one.
        """
        remaining = self._first_view_due - self._clock.now()
        if not self._views.wait_filled(min(remaining, FIRST_VIEW_WAIT_SECONDS)):
            raise NotReadyError("this proxy has no configuration from control yet")
        self._databases.resolve(database, key_digest)
        session = PooledSession(
            database,
            key_digest,
            self._views,
            self._databases,
            self._statements,
            self._transactions,
            self._operations,
            self._removals,
            self._counters,
            self._clock,
            self._remove_session,
        )
        return self._track_session(session)

    def _record_removals(self, view: ProxyView) -> None:
        self._removals.record(view, self._all)
