"""Sessions of the callers that are connected to this proxy."""

from dogwoodspool_accounts import OperationLimiter
from dogwoodspool_common import Clock
from dogwoodspool_common.counters import Counters
from dogwoodspool_following import OpenSessions, ViewConfirmation, ViewStore
from dogwoodspool_gateway import CallerSession

from .accounts import CallerAccounts
from .caller_session import ProxySession
from .callers import CallerState
from .reads import ReadPath
from .transactions import TransactionPath
from .writes import WritePath


class CallerSessions(OpenSessions[ProxySession]):
    """Open a session for each caller connection."""

    def __init__(
        self,
        views: ViewStore,
        confirmation: ViewConfirmation,
        reads: ReadPath,
        writes: WritePath,
        transactions: TransactionPath,
        accounts: CallerAccounts,
        limiter: OperationLimiter,
        counters: Counters,
        clock: Clock,
    ) -> None:
        super().__init__(clock)
        self._views = views
        self._confirmation = confirmation
        self._reads = reads
        self._writes = writes
        self._transactions = transactions
        self._accounts = accounts
        self._limiter = limiter
        self._counters = counters

    def open(self, user: str) -> CallerSession:
        """Return a session for an authenticated caller."""
        session = ProxySession(
            CallerState(user),
            self._views,
            self._confirmation.refresh,
            self._reads,
            self._writes,
            self._transactions,
            self._accounts,
            self._limiter,
            self._counters,
            self._clock,
            self._remove_session,
        )
        return self._track_session(session)

    def password_hash(self, user: str) -> str | None:
        """Return the caller's password hash in the settings in force."""
        return self._views.settings(None).users.get(user)
