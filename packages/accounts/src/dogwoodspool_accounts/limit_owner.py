"""Serve the proxies of a failure domain with the tokens of accounts."""

from collections.abc import Mapping

from dogwoodspool_common import JsonRequest, JsonResponse, Route
from dogwoodspool_common.const import MILLISECONDS

from .const import (
    EXCHANGE_WAIT_SECONDS,
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    PATH_ACQUIRE,
    PATH_EXCHANGE,
    PATH_RETURN,
    RETURN_AGE_SECONDS,
    RETURN_PAUSE_SECONDS,
    TOKEN_AGE_MARGIN,
    TOKEN_WAIT_SECONDS,
)
from .domain_allowance import DomainAllowance
from .messages import AcquireRequest, AcquireResponse, ExchangeRequest, ReturnRequest
from .refill import RefillCoordinator


class LimitOwner:
    """Grant tokens of this process's allowance, to itself and to its neighbours."""

    def __init__(self, allowance: DomainAllowance, refill: RefillCoordinator) -> None:
        self._allowance = allowance
        self._refill = refill

    def routes(self) -> list[Route]:
        """Return the routes that it serves."""
        return [
            Route("POST", PATH_ACQUIRE, self._acquire),
            Route("POST", PATH_EXCHANGE, self._exchange),
            Route("POST", PATH_RETURN, self._return),
        ]

    def acquire(self, request: AcquireRequest) -> AcquireResponse:
        """Grant tokens; wait for one if there is none."""
        account = request.account
        granted = self._allowance.take(account, request.count)
        if granted:
            return AcquireResponse(granted=granted)
        self._refill.wake()
        granted = self._allowance.take_later(account, TOKEN_WAIT_SECONDS)
        if granted:
            return AcquireResponse(granted=granted)
        return self._refusal(account)

    def exchange(self, request: ExchangeRequest) -> AcquireResponse:
        """Exchange a token; wait only shortly, as a server's slot is held meanwhile."""
        account, age = request.account, request.age + TOKEN_AGE_MARGIN
        if self._allowance.exchange(account, age):
            return AcquireResponse(granted=1)
        self._refill.wake()
        if self._allowance.exchange(account, age, EXCHANGE_WAIT_SECONDS):
            return AcquireResponse(granted=1)
        return self._refusal(account)

    def give_back(self, unused: Mapping[str, int]) -> None:
        """Take back tokens of operations that did not run, by account."""
        age = RETURN_AGE_SECONDS + RETURN_PAUSE_SECONDS + TOKEN_AGE_MARGIN
        for account, count in unused.items():
            self._allowance.give_back(account, count, age)

    def _refusal(self, account: str) -> AcquireResponse:
        wait = self._allowance.retry_seconds(account)
        wait = max(MIN_RETRY_SECONDS, min(wait, MAX_RETRY_SECONDS))
        return AcquireResponse(granted=0, retry_after_ms=round(wait * MILLISECONDS))

    def _return(self, request: JsonRequest) -> JsonResponse:
        self.give_back(ReturnRequest.model_validate(request.body).unused)
        return JsonResponse()

    def _acquire(self, request: JsonRequest) -> JsonResponse:
        response = self.acquire(AcquireRequest.model_validate(request.body))
        return JsonResponse(response.model_dump(mode="json"))

    def _exchange(self, request: JsonRequest) -> JsonResponse:
        response = self.exchange(ExchangeRequest.model_validate(request.body))
        return JsonResponse(response.model_dump(mode="json"))
