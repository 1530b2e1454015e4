"""Renew grants and connection shares, and report observations to control."""

from collections.abc import Callable

from dogwoodspool_api import (
    Announcement,
    Observation,
    RenewRequest,
    RenewResponse,
)
from dogwoodspool_api.const import PATH_RENEW
from dogwoodspool_common import (
    Address,
    Clock,
    HttpError,
    JsonClient,
    PeerRefusedError,
    log_event,
)
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_following import ControlPeers, Coordinator, ViewStore
from pydantic import ValidationError

from .backends import BackendRegistry
from .const import (
    FAILING_RENEW_SECONDS,
    RENEW_TIMEOUT_SECONDS,
    RETRY_PAUSE_SECONDS,
    SHARE_EXPIRY_MARGIN_SECONDS,
)
from .grants import GrantTracker


class RenewCoordinator(Coordinator):
    """Send periodic renewals to the control leader."""

    def __init__(
        self,
        identity: RenewRequest,
        views: ViewStore,
        grants: GrantTracker,
        registry: BackendRegistry,
        peers: ControlPeers,
        client: JsonClient,
        observations: Callable[[], list[Observation]],
        announcements: Callable[[], list[Announcement]],
        clock: Clock,
    ) -> None:
        super().__init__("control-renew", clock)
        self._identity = identity
        self._views = views
        self._grants = grants
        self._registry = registry
        self._peers = peers
        self._client = client
        self._observations = observations
        self._announcements = announcements
        self._renewed_at: float | None = None
        self._is_draining = False

    @property
    def seconds_since_renewal(self) -> float | None:
        """Seconds since the last successful renewal; None before the first."""
        if self._renewed_at is None:
            return None
        return self._clock.now() - self._renewed_at

    def start_draining(self) -> None:
        """Report from now on that this proxy is shutting down."""
        self._is_draining = True
        self.wake()

    def step(self) -> float:
        """Renew once."""
        self._registry.expire_shares()
        address = self._peers.leader_or_next()
        sent_at = self._clock.now()
        try:
            response = self._renew(address)
        except PeerRefusedError as error:
            self._peers.record_refusal(address, error)
            return RETRY_PAUSE_SECONDS
        except (HttpError, ValidationError) as error:
            log_event("renewal_failed", level="DEBUG", address=address, error=error)
            self._peers.record_failure(address)
            return RETRY_PAUSE_SECONDS
        self._peers.record_leader_answer(address)
        self._adopt(response, sent_at)
        return self._interval()

    def _interval(self) -> float:
        """Return the seconds to the next renewal.

        While a server does not answer, control needs this proxy's observations
        sooner: the time to the next renewal adds to the duration of every failover.
        """
        interval = self._views.settings(None).renew_interval_ms / MILLISECONDS
        if any(seen.unreachable_ms > 0 for seen in self._observations()):
            return min(interval, FAILING_RENEW_SECONDS)
        return interval

    def _renew(self, address: Address) -> RenewResponse:
        request = self._identity.model_copy(
            update={
                "view_version": self._views.view.version,
                "is_draining": self._is_draining,
                "groups": self._grants.reports(self._views.view.groups),
                "observations": self._observations(),
                "connection_demand": self._registry.demand(),
                "announcements": self._announcements(),
            }
        )
        answer = self._client.post(
            address, PATH_RENEW, request.model_dump(mode="json"), RENEW_TIMEOUT_SECONDS
        )
        return RenewResponse.model_validate(answer)

    def _adopt(self, response: RenewResponse, sent_at: float) -> None:
        lease_seconds = response.lease_ms / MILLISECONDS
        self._grants.renew(response.grants, response.withdrawn, sent_at, lease_seconds)
        # Expiry is checked before each renewal, and one may block until its timeout.
        margin = min(SHARE_EXPIRY_MARGIN_SECONDS, lease_seconds / 2)
        until = sent_at + lease_seconds - margin
        self._registry.grant_shares(response.connection_shares, until)
        self._views.record_announced(response.view_version)
        self._renewed_at = sent_at
