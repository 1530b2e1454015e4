"""Ask for a token before each operation of an account that has a rate limit."""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from dogwoodspool_common import (
    Clock,
    HttpError,
    RateLimit,
    log_rate_limited,
    span,
)
from dogwoodspool_sharing import Neighbour, ProxyDirectory
from pydantic import ValidationError

from .const import (
    ACQUIRE_SECONDS,
    ACQUIRE_TIMEOUT,
    FORGOTTEN_DEMAND,
    LOCAL_HOLD_SECONDS,
    NEIGHBOURS_WAIT_SECONDS,
    PATH_ACQUIRE,
)
from .demand import Demand
from .errors import RateLimitedError
from .limit_owner import LimitOwner
from .message_client import MessageClient
from .messages import AcquireRequest, AcquireResponse
from .owners import LimitOwners
from .returns import ReturnCoordinator


class OperationLimiter(Protocol):
    """Interface that admits the operations of accounts."""

    def acquire(self, account: str) -> None:
        """Take a token for one operation.

        Raises:
            RateLimitedError: there is none; the operation must not run.
        """
        ...

    def give_back(self, account: str) -> None:
        """Return the token of an operation that did not run."""
        ...


class NoLimits:
    """Admit every operation; implements ``OperationLimiter``."""

    def acquire(self, account: str) -> None:
        """Admit the operation."""

    def give_back(self, account: str) -> None:
        """Do nothing."""


@dataclass(slots=True)
class _LocalTokens:
    """Tokens of one account that this proxy was granted and has not used."""

    demand: Demand
    tokens: int = 0
    valid_until: float = 0.0


class AccountLimiter:
    """Take tokens from the limit owners of this failure domain.

    Implements ``OperationLimiter``. An owner that does not answer is passed over; the
    last one asked is this process itself, which then has only what an owner starts
    with.

    Args:
        own: this process.
        limit_of: returns an account's limit, None if it has none.
        owner: grants the tokens that this process itself owns.
        returns: returns the tokens of operations that did not run.
    """

    def __init__(
        self,
        own: Neighbour,
        limit_of: Callable[[str], RateLimit | None],
        directory: ProxyDirectory,
        owner: LimitOwner,
        returns: ReturnCoordinator,
        client: MessageClient,
        clock: Clock,
    ) -> None:
        self._own = own
        self._limit_of = limit_of
        self._directory = directory
        self._owner = owner
        self._returns = returns
        self._owners = LimitOwners(directory)
        self._client = client
        self._clock = clock
        self._lock = threading.Lock()
        self._local: dict[str, _LocalTokens] = {}

    def acquire(self, account: str) -> None:
        """Take a token for one operation; see ``OperationLimiter``."""
        limit = self._limit_of(account)
        if limit is None or self._take_local(account):
            return
        self._directory.wait_known(NEIGHBOURS_WAIT_SECONDS)
        response = self._ask_owners(account)
        if response.granted == 0:
            raise RateLimitedError(
                f"client account {account} exceeds its limit of "
                f"{limit.per_second:g} operations per second",
                response.retry_after_ms,
            )
        self._keep_local(account, response.granted - 1)

    def give_back(self, account: str) -> None:
        """Return the token of an operation that did not run."""
        if self._limit_of(account) is not None:
            self._returns.add(account)

    def _ask_owners(self, account: str) -> AcquireResponse:
        give_up_at = self._clock.now() + ACQUIRE_SECONDS
        request = AcquireRequest(account=account, count=self._wanted(account))
        for owner in self._owners.order(account):
            if owner.name == self._own.name or self._clock.now() >= give_up_at:
                break
            try:
                return self._ask(owner, request)
            except (HttpError, ValidationError) as error:
                log_rate_limited("limit_owner_failed", owner=owner.name, reason=error)
                self._directory.record_owner_failure(owner.name)
        return self._owner.acquire(request)

    def _ask(self, owner: Neighbour, request: AcquireRequest) -> AcquireResponse:
        content = request.model_dump(mode="json", exclude_defaults=True)
        with span("limit.acquire", owner=owner.name):
            answer = self._client.post(
                owner.endpoint, PATH_ACQUIRE, content, ACQUIRE_TIMEOUT
            )
        return AcquireResponse.model_validate(answer)

    def _take_local(self, account: str) -> bool:
        now = self._clock.now()
        with self._lock:
            local = self._local.get(account)
            if local is None:
                self._drop_idle(now)
                local = self._local[account] = _LocalTokens(Demand(now))
            local.demand.record(now)
            if local.tokens == 0 or now >= local.valid_until:
                local.tokens = 0
                return False
            local.tokens -= 1
            return True

    def _drop_idle(self, now: float) -> None:
        """Forget accounts without recent operations, which may have been removed."""
        idle = [
            account
            for account, local in self._local.items()
            if local.demand.per_second(now) < FORGOTTEN_DEMAND
        ]
        for account in idle:
            del self._local[account]

    def _keep_local(self, account: str, count: int) -> None:
        if count <= 0:
            return
        with self._lock:
            local = self._local.setdefault(
                account, _LocalTokens(Demand(self._clock.now()))
            )
            local.tokens += count
            local.valid_until = self._clock.now() + LOCAL_HOLD_SECONDS

    def _wanted(self, account: str) -> int:
        now = self._clock.now()
        with self._lock:
            local = self._local.get(account)
            demand = 0.0 if local is None else local.demand.per_second(now)
        return 1 + int(demand * LOCAL_HOLD_SECONDS)
