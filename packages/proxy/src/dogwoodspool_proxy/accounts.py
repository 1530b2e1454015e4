"""Client accounts that callers of this proxy belong to, and their rate limits."""

import threading

from dogwoodspool_accounts import LimitsRuntime, LimitTolerance, UsageCounter
from dogwoodspool_common import Clock, JsonClient, RateLimit, Route
from dogwoodspool_following import ControlPeers, ProxyView, ViewStore
from dogwoodspool_sharing import Neighbour, ProxyDirectory


class CallerAccounts:
    """Look up accounts in the settings in force.

    Attributes:
        usage: operations of the accounts at this proxy.
    """

    def __init__(self, views: ViewStore) -> None:
        self.usage = UsageCounter()
        self._views = views
        self._lock = threading.Lock()
        self._view: ProxyView | None = None
        self._by_user: dict[str, str] = {}

    def account_of(self, user: str) -> str:
        """Return the name of a user's account; empty if it belongs to none."""
        view = self._views.view
        with self._lock:
            if view is not self._view:
                accounts = view.tree.effective(None, None).accounts
                self._by_user = {
                    one: name
                    for name, account in accounts.items()
                    for one in account.users
                }
                self._view = view
            return self._by_user.get(user, "")

    def rate_limit(self, account: str) -> RateLimit | None:
        """Return an account's rate limit; None if it has none."""
        known = self._views.settings(None).accounts.get(account)
        return None if known is None else known.rate_limit


class AccountLimits:
    """Limit the operations of accounts together with the other proxies.

    Args:
        name: name of this instance.
        address: address at which other proxies reach this one, as ``HOST:PORT``.
    """

    def __init__(
        self,
        name: str,
        address: str,
        views: ViewStore,
        accounts: CallerAccounts,
        peers: ControlPeers,
        client: JsonClient,
        clock: Clock,
    ) -> None:
        self._name = name
        self._views = views
        own = Neighbour(name, address)
        self._directory = ProxyDirectory(own, 1, clock)
        self._runtime = LimitsRuntime(
            own,
            accounts.rate_limit,
            self._directory,
            LimitTolerance(),
            self._domains,
            peers,
            client,
            client,
            clock,
        )
        self.limiter = self._runtime.limiter

    def routes(self) -> list[Route]:
        """Return the endpoints for other proxies."""
        return self._runtime.routes

    def set_up(self) -> None:
        """Start to follow the registered proxies and to draw tokens."""
        self._views.add_listener(self._apply_view)
        self._runtime.set_up()

    def unload(self) -> None:
        """Stop drawing tokens."""
        self._runtime.unload()

    def _domains(self) -> int:
        locations = self._views.view.proxies.values()
        return max(1, len({one.failure_domain for one in locations}))

    def _apply_view(self, view: ProxyView) -> None:
        self._directory.adopt(
            Neighbour(name, location.address)
            for name, location in view.proxies.items()
            if location.failure_domain == self._views.failure_domain
        )
