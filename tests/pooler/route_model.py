"""What a configuration allows its callers, and what a caller has been told."""

from dataclasses import dataclass, field

from dogwoodspool_common import ClientAccount, Endpoint, Position, key_digest
from dogwoodspool_pooler import TransactionState
from dogwoodspool_pooler.session import PooledSession

ACCOUNTS = ("shop", "bakery")


@dataclass(frozen=True)
class Route:
    """Where a caller's statements may run, and on whose behalf."""

    endpoint: Endpoint
    account: str


@dataclass(frozen=True)
class Configuration:
    """One version of the configuration: endpoints by database, accounts by key."""

    endpoints: dict[str, Endpoint]
    accounts: dict[str, str]

    def route(self, database: str, key: str) -> Route | None:
        """Return the route of a caller; None if it is not allowed any."""
        one = self.endpoints.get(database)
        if one is None:
            return None
        account = "" if one.is_public else self.accounts.get(key)
        return None if account is None else Route(one, account)

    def client_accounts(self) -> list[ClientAccount]:
        """Return the accounts with their keys."""
        return [
            ClientAccount(
                name,
                tuple(
                    key_digest(key) for key, one in self.accounts.items() if one == name
                ),
            )
            for name in ACCOUNTS
        ]


@dataclass
class ModelTransaction:
    """An open transaction.

    Attributes:
        route: the route of its first statement; None before it.
        place: server and number of its connection; None before the first statement.
    """

    is_read_only: bool
    route: Route | None = None
    place: tuple[str, int] | None = None
    has_failed: bool = False
    has_written: bool = False


@dataclass
class ModelSession:
    """A session, the values that were acknowledged to it, and its commits by group."""

    session: PooledSession
    database: str
    key: str
    values: dict[str, str] = field(default_factory=dict)
    commits: dict[str, Position] = field(default_factory=dict)
    transaction: ModelTransaction | None = None

    @property
    def state(self) -> TransactionState:
        """The state that the session must have."""
        if self.transaction is None:
            return TransactionState.IDLE
        if self.transaction.has_failed:
            return TransactionState.FAILED
        return TransactionState.OPEN
