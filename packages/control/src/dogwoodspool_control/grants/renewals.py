"""Answer renewals, the periodic message of each proxy to the leader."""

import threading
from collections.abc import Callable, Mapping

from dogwoodspool_api import RenewRequest, RenewResponse
from dogwoodspool_common import Address, BackendServer, Clock
from dogwoodspool_settings import EffectiveSettings

from ..command_queue import CommandQueue
from ..commands import RegisterProxy
from ..const import MAX_RENEWALS_PER_SECOND, RENEWAL_BURST
from ..errors import LeadershipLostError, TooManyRenewalsError
from ..models import Lease, PromotionReason, ProxyRecord
from ..node import ControlNode
from ..promotion.detector import FailureDetector
from ..promotion.server_observations import ServerObservations
from ..state import ControlState
from .grants import GrantTable
from .shares import ServerLimits, ShareLedger, ShareRequest, divide_connections


class RenewalRate:
    """Limit how often each proxy renews, with one token bucket per proxy."""

    def __init__(self, clock: Clock, limit: int) -> None:
        self._clock = clock
        self._limit = limit
        self._lock = threading.Lock()
        self._buckets: dict[str, tuple[float, float]] = {}

    def check(self, proxy: str) -> None:
        """Take one token; raise ``TooManyRenewalsError`` if none is left."""
        now = self._clock.now()
        with self._lock:
            if proxy not in self._buckets and len(self._buckets) >= self._limit:
                self._buckets.clear()
            tokens, filled_at = self._buckets.get(proxy, (RENEWAL_BURST, now))
            tokens += (now - filled_at) * MAX_RENEWALS_PER_SECOND
            tokens = min(tokens, RENEWAL_BURST)
            self._buckets[proxy] = (max(0.0, tokens - 1), now)
        if tokens < 1:
            raise TooManyRenewalsError(
                f"{proxy} renews more than {MAX_RENEWALS_PER_SECOND} times a second"
            )


class Renewals:
    """Record what a proxy reports and issue grants and shares to it."""

    def __init__(
        self,
        clock: Clock,
        node: ControlNode,
        state: ControlState,
        *,
        table: GrantTable,
        ledger: ShareLedger,
        detector: FailureDetector,
        server_observations: ServerObservations,
        queue: CommandQueue,
        rate: RenewalRate,
        on_unreachable: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._node = node
        self._state = state
        self._table = table
        self._ledger = ledger
        self._detector = detector
        self._server_observations = server_observations
        self._queue = queue
        self._rate = rate
        self._on_unreachable = on_unreachable
        self._lock = threading.Lock()
        self._renewed_at: dict[str, tuple[float, int]] = {}

    @property
    def latest(self) -> Mapping[str, tuple[float, int]]:
        """Time and reported view version of each proxy's latest renewal."""
        with self._lock:
            return dict(self._renewed_at)

    def renew(self, request: RenewRequest) -> RenewResponse:
        """Answer one renewal.

        Raises:
            LeadershipLostError: another voter leads.
            StaleIncarnationError: a newer process of the proxy runs.
            TooManyRenewalsError: the proxy renews too often.
        """
        received_at = self._clock.now()
        leadership = self._node.require_leadership()
        self._rate.check(request.proxy)
        lease = self._table.renew(request, received_at)
        self._register(request)
        if lease.is_registered:
            self._detector.observe(request)
            self._record_renewal(request, received_at)
            if any(item.unreachable_ms > 0 for item in request.observations):
                self._on_unreachable()
        self._server_observations.observe(request)
        shares = self._renew_shares(request, lease) if lease.is_registered else {}
        if self._node.require_leadership().term != leadership.term:
            raise LeadershipLostError
        return RenewResponse(
            lease_ms=lease.lease_ms,
            grants=list(lease.grants),
            withdrawn=self._withdrawn(request),
            connection_shares=shares,
            view_version=self._state.version,
        )

    def _register(self, request: RenewRequest) -> None:
        record = self._state.proxies.get(request.proxy)
        address = Address.parse(request.address)
        reported = (request.incarnation, request.failure_domain, address)
        if record is not None and reported == _registration_of(record):
            return
        self._queue.offer(RegisterProxy(request.proxy, *reported))

    def _record_renewal(self, request: RenewRequest, received_at: float) -> None:
        with self._lock:
            self._renewed_at[request.proxy] = (received_at, request.view_version)

    def _withdrawn(self, request: RenewRequest) -> list[str]:
        """Return the groups whose grant the proxy loses now.

        While a planned promotion drains writes in flight, its release determines
        when the grant ends.
        """
        promotions = self._state.promotions
        return [
            report.group
            for report in request.groups
            if report.held_term is not None
            and report.group in promotions
            and promotions[report.group].reason is PromotionReason.FAILED
        ]

    def _renew_shares(self, request: RenewRequest, lease: Lease) -> dict[str, int]:
        leadership = self._node.require_leadership()
        share_request = ShareRequest(
            request.proxy,
            request.incarnation,
            request.connection_demand,
            lease.expires_at,
        )
        return self._ledger.renew(
            share_request,
            self._limits(),
            leadership.term,
            self._table.predecessor_expiry,
        )

    def _limits(self) -> dict[str, ServerLimits]:
        proxies = self._state.proxies
        return {
            server.name: self._server_limits(server, proxies)
            for server in self._state.servers.values()
        }

    def _server_limits(
        self, server: BackendServer, proxies: Mapping[str, ProxyRecord]
    ) -> ServerLimits:
        settings = self._state.settings
        by_proxy: dict[str, EffectiveSettings] = {
            name: settings.effective(server.group, record.failure_domain)
            for name, record in proxies.items()
        }
        group = settings.effective(server.group)
        return divide_connections(server.connections, group, by_proxy)


def _registration_of(record: ProxyRecord) -> tuple[str, str, Address]:
    return record.incarnation, record.failure_domain, record.address
