"""Wire the parts together that limit the operations of accounts at a proxy."""

from collections.abc import Callable

from dogwoodspool_common import Clock, JsonClient, RateLimit, Route
from dogwoodspool_following import ControlPeers
from dogwoodspool_sharing import Neighbour, ProxyDirectory

from .allocation import Allocator, LimitTolerance
from .domain_allowance import DomainAllowance
from .limit_owner import LimitOwner
from .limiter import AccountLimiter
from .message_client import MessageClient
from .owners import LimitOwners
from .refill import RefillCoordinator
from .returns import ReturnCoordinator


class LimitsRuntime:
    """Create, start and stop the parts of a proxy that limit operations.

    Args:
        own: this process.
        limit_of: returns an account's limit, None if it has none.
        directory: the neighbours of this process.
        tolerance: how far operations may exceed a limit.
        domains: returns the number of failure domains.
        peers: the control processes.
        client: calls control.
        neighbours: calls other proxies of the failure domain.
    """

    def __init__(
        self,
        own: Neighbour,
        limit_of: Callable[[str], RateLimit | None],
        directory: ProxyDirectory,
        tolerance: LimitTolerance,
        domains: Callable[[], int],
        peers: ControlPeers,
        client: JsonClient,
        neighbours: MessageClient,
        clock: Clock,
    ) -> None:
        allocator = Allocator(limit_of, tolerance, domains)
        owners = LimitOwners(directory)
        allowance = DomainAllowance(
            allocator, clock, lambda account: owners.is_first(account, own.name)
        )
        self._refill = RefillCoordinator(allowance, peers, client, clock)
        self._owner = LimitOwner(allowance, self._refill)
        self._returns = ReturnCoordinator(
            own, directory, self._owner, neighbours, clock
        )
        self._limiter = AccountLimiter(
            own, limit_of, directory, self._owner, self._returns, neighbours, clock
        )

    @property
    def limiter(self) -> AccountLimiter:
        """The limiter for the operations of this proxy's callers."""
        return self._limiter

    @property
    def routes(self) -> list[Route]:
        """The endpoints for other proxies."""
        return self._owner.routes()

    def set_up(self) -> None:
        """Start to draw and return tokens."""
        self._refill.set_up()
        self._returns.set_up()

    def unload(self) -> None:
        """Stop all parts."""
        self._returns.unload()
        self._refill.unload()
