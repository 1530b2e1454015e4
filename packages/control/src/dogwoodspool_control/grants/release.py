"""Ensure that no proxy holds a grant of the old term any more."""

from concurrent.futures import FIRST_COMPLETED, Future, ThreadPoolExecutor, wait
from dataclasses import dataclass
from typing import Protocol

from dogwoodspool_api import ReleaseRequest, ReleaseResponse
from dogwoodspool_api.const import PATH_RELEASE
from dogwoodspool_common import (
    Clock,
    HttpError,
    JsonClient,
    log_event,
)
from dogwoodspool_common.const import MILLISECONDS
from pydantic import ValidationError

from ..const import RELEASE_RETRY_SECONDS, RELEASE_TIMEOUT, REMOVED_PROXIES
from ..errors import ReleaseFailedError
from ..membership.incarnations import IncarnationAges
from ..models import Promotion, ProxyRecord, Release
from .grants import GrantTable


class ReleaseClient(Protocol):
    """Request the release of grants from proxies."""

    def release(self, proxy: ProxyRecord, request: ReleaseRequest) -> ReleaseResponse:
        """Return the proxy's answer; raise ``ReleaseFailedError`` if there is none."""
        ...


class HttpReleaseClient:
    """Send release requests over HTTP."""

    def __init__(self, client: JsonClient) -> None:
        self._client = client

    def release(self, proxy: ProxyRecord, request: ReleaseRequest) -> ReleaseResponse:
        """Return the proxy's answer; see ``ReleaseClient``."""
        timeout = RELEASE_TIMEOUT + request.drain_ms / MILLISECONDS
        try:
            answer = self._client.post(
                proxy.address, PATH_RELEASE, request.model_dump(mode="json"), timeout
            )
            return ReleaseResponse.model_validate(answer)
        except (HttpError, ValidationError) as error:
            raise ReleaseFailedError(f"{proxy.name}: {error}") from error


@dataclass(frozen=True, slots=True)
class ReleaseProgress:
    """What a release is still waiting for.

    Attributes:
        waiting_for: proxies that may hold a grant.
        seconds: time until the last of their grants has expired.
    """

    waiting_for: tuple[str, ...]
    seconds: float

    @property
    def is_done(self) -> bool:
        """Whether no grant can be valid any more."""
        return not self.waiting_for


class GroupRelease:
    """Release the grants of one group's old term.

    A grant has ended when its proxy's process answered that it released it, or when
    its lease has expired on the leader's clock with drift added. Grants of earlier
    leaders are not known here: until the last of them has expired, every registered
    proxy must have answered, and must not have restarted within the longest lease,
    as its previous process cannot be called.
    """

    def __init__(
        self,
        promotion: Promotion,
        drain_ms: int,
        *,
        clock: Clock,
        table: GrantTable,
        ages: IncarnationAges,
        client: ReleaseClient,
        executor: ThreadPoolExecutor,
    ) -> None:
        self._promotion = promotion
        self._clock = clock
        self._table = table
        self._ages = ages
        self._client = client
        self._executor = executor
        self._request = ReleaseRequest(
            group=promotion.group, term=promotion.old_term, drain_ms=drain_ms
        )
        self._answered: set[tuple[str, str]] = set()
        self._calls: dict[Future[None], str] = {}
        self._requested_at: dict[str, float] = {}

    def request(self, proxies: dict[str, ProxyRecord]) -> None:
        """Call each proxy that has not answered and has no call in flight.

        A failed call is retried after ``RELEASE_RETRY_SECONDS``.
        """
        now = self._clock.now()
        in_flight = set(self._calls.values())
        for proxy in proxies.values():
            if (
                proxy.name,
                proxy.incarnation,
            ) in self._answered or proxy.name in in_flight:
                continue
            requested_at = self._requested_at.get(proxy.name)
            if requested_at is not None and now - requested_at < RELEASE_RETRY_SECONDS:
                continue
            self._requested_at[proxy.name] = now
            self._calls[self._executor.submit(self._call, proxy)] = proxy.name

    def wait_for_answer(self, seconds: float) -> None:
        """Wait at most ``seconds`` until a call has ended."""
        if not self._calls:
            self._clock.sleep(seconds)
            return
        ended, _ = wait(self._calls, timeout=seconds, return_when=FIRST_COMPLETED)
        for call in ended:
            del self._calls[call]

    def progress(self, proxies: dict[str, ProxyRecord]) -> ReleaseProgress:
        """Return what the release is still waiting for."""
        now = self._clock.now()
        waiting = {
            holding.proxy: holding.expires_at
            for holding in self._table.holdings(self._promotion.group)
        }
        predecessor_expiry = self._table.predecessor_expiry
        if now < predecessor_expiry:
            if not self._ages.are_removed_proxies_expired(self._table.longest_lease):
                waiting[REMOVED_PROXIES] = predecessor_expiry
            for name, proxy in proxies.items():
                if not self._has_released(proxy):
                    waiting[name] = max(waiting.get(name, 0.0), predecessor_expiry)
        last = max(waiting.values(), default=now)
        return ReleaseProgress(tuple(sorted(waiting)), last - now)

    def _has_released(self, proxy: ProxyRecord) -> bool:
        if (proxy.name, proxy.incarnation) not in self._answered:
            return False
        return self._ages.are_replaced_processes_expired(
            proxy, self._table.longest_lease
        )

    def _call(self, proxy: ProxyRecord) -> None:
        try:
            answer = self._client.release(proxy, self._request)
        except ReleaseFailedError as error:
            log_event("release_failed", proxy=proxy.name, reason=error)
            return
        group, term = self._request.group, self._request.term
        acked = None if answer.acked is None else answer.acked.value()
        released = Release(proxy.name, answer.incarnation, group, term, acked)
        self._table.release(released)
        self._answered.add((proxy.name, answer.incarnation))
