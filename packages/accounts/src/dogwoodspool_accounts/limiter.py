"""Ask for a token before each operation of an account that has a rate limit."""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from dogwoodspool_api import Message
from dogwoodspool_common import (
    Clock,
    HttpError,
    PeerRefusedError,
    RateLimit,
    log_rate_limited,
    span,
)
from dogwoodspool_sharing import Neighbour, ProxyDirectory
from pydantic import ValidationError

from .const import (
    ACQUIRE_SECONDS,
    ACQUIRE_TIMEOUT,
    EXCHANGE_ATTEMPTS,
    EXCHANGE_TIMEOUT,
    FORGOTTEN_DEMAND,
    LOCAL_HOLD_SECONDS,
    NEIGHBOURS_WAIT_SECONDS,
    PATH_ACQUIRE,
    PATH_EXCHANGE,
    RETURN_AGE_SECONDS,
)
from .demand import Demand
from .errors import RateLimitedError
from .limit_owner import LimitOwner
from .message_client import MessageClient
from .messages import AcquireRequest, AcquireResponse, ExchangeRequest
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

    def exchange(self, account: str, age: float) -> None:
        """Exchange a token that has become old before its operation reached a server.

        Args:
            account: name of the account.
            age: seconds since the operation arrived.

        Raises:
            RateLimitedError: there is no other token; the operation must not run. The
                old one is still to be given back.
        """
        ...

    def give_back(self, account: str, age: float) -> None:
        """Return the token of an operation that did not run, after some seconds."""
        ...


class NoLimits:
    """Admit every operation; implements ``OperationLimiter``."""

    def acquire(self, account: str) -> None:
        """Admit the operation."""

    def exchange(self, account: str, age: float) -> None:
        """Do nothing."""

    def give_back(self, account: str, age: float) -> None:
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
            raise _exceeded(account, limit, response)
        self._keep_local(account, response.granted - 1)

    def exchange(self, account: str, age: float) -> None:
        """Exchange a token; see ``OperationLimiter``."""
        limit = self._limit_of(account)
        if limit is None:
            return
        response = self._exchange(ExchangeRequest(account=account, age=age))
        if response.granted == 0:
            raise _exceeded(account, limit, response)

    def give_back(self, account: str, age: float) -> None:
        """Return the token of an operation that did not run; an old one is lost."""
        if age <= RETURN_AGE_SECONDS and self._limit_of(account) is not None:
            self._returns.add(account)

    def _exchange(self, request: ExchangeRequest) -> AcquireResponse:
        """Ask the owners for an exchange, each for a short time only.

        An owner that does not answer in this time may only be slow, so it is not
        recorded as failed.
        """
        for owner in self._owners.order(request.account)[:EXCHANGE_ATTEMPTS]:
            if owner.name == self._own.name:
                break
            try:
                return self._exchange_at(owner, request)
            except (HttpError, ValidationError) as error:
                log_rate_limited(
                    "limit_exchange_failed", owner=owner.name, reason=error
                )
        return self._owner.exchange(request)

    def _exchange_at(
        self, owner: Neighbour, request: ExchangeRequest
    ) -> AcquireResponse:
        try:
            return self._ask(owner, PATH_EXCHANGE, request, EXCHANGE_TIMEOUT)
        except PeerRefusedError:
            # An owner of an earlier build does not know exchanges. The old token is
            # lost.
            another = AcquireRequest(account=request.account)
            return self._ask(owner, PATH_ACQUIRE, another, EXCHANGE_TIMEOUT)

    def _ask_owners(self, account: str) -> AcquireResponse:
        give_up_at = self._clock.now() + ACQUIRE_SECONDS
        request = AcquireRequest(account=account, count=self._wanted(account))
        for owner in self._owners.order(account):
            if owner.name == self._own.name or self._clock.now() >= give_up_at:
                break
            try:
                return self._ask(owner, PATH_ACQUIRE, request, ACQUIRE_TIMEOUT)
            except (HttpError, ValidationError) as error:
                log_rate_limited("limit_owner_failed", owner=owner.name, reason=error)
                self._directory.record_owner_failure(owner.name)
        return self._owner.acquire(request)

    def _ask(
        self, owner: Neighbour, path: str, request: Message, timeout: float
    ) -> AcquireResponse:
        content = request.model_dump(mode="json", exclude_defaults=True)
        with span("limit.acquire", owner=owner.name):
            answer = self._client.post(owner.endpoint, path, content, timeout)
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


def _exceeded(
    account: str, limit: RateLimit, response: AcquireResponse
) -> RateLimitedError:
    return RateLimitedError(
        f"client account {account} exceeds its limit of "
        f"{limit.per_second:g} operations per second",
        response.retry_after_ms,
    )
