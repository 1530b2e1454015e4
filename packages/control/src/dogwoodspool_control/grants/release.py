"""Make sure that nobody holds a grant of the old term any more."""

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
    """Ask proxies to give up grants."""

    def release(self, proxy: ProxyRecord, request: ReleaseRequest) -> ReleaseResponse:
        """Return the proxy's answer; raise ``ReleaseFailedError`` for none."""
        ...


class HttpReleaseClient:
    """Ask proxies over HTTP."""

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
    """What a release still waits for.

    Attributes:
        waiting_for: proxies that may hold a grant.
        seconds: time until the last of their grants has run out.
    """

    waiting_for: tuple[str, ...]
    seconds: float

    @property
    def is_done(self) -> bool:
        """Whether no grant can be valid any more."""
        return not self.waiting_for


class GroupRelease:
    """Collect the grants of one group's old term.

    A grant has ended when its proxy's process answered that it gave it up, or
    when its lease has run out on the leader's clock with drift added. Grants of
    earlier leaders are not known here: until the last of them has run out, every
    registered proxy must have answered, and must not have been restarted lately,
    as the process before can not be asked.
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
        self._asked_at: dict[str, float] = {}

    def ask(self, proxies: dict[str, ProxyRecord]) -> None:
        """Ask each proxy that has not answered and is not being asked."""
        now = self._clock.now()
        asked = set(self._calls.values())
        for proxy in proxies.values():
            if (proxy.name, proxy.incarnation) in self._answered or proxy.name in asked:
                continue
            asked_at = self._asked_at.get(proxy.name)
            if asked_at is not None and now - asked_at < RELEASE_RETRY_SECONDS:
                continue
            self._asked_at[proxy.name] = now
            self._calls[self._executor.submit(self._call, proxy)] = proxy.name

    def wait_for_answer(self, seconds: float) -> None:
        """Wait until a call has ended, at most some seconds."""
        if not self._calls:
            self._clock.sleep(seconds)
            return
        ended, _ = wait(self._calls, timeout=seconds, return_when=FIRST_COMPLETED)
        for call in ended:
            del self._calls[call]

    def progress(self, proxies: dict[str, ProxyRecord]) -> ReleaseProgress:
        """Tell what is still waited for."""
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
