"""The latest reports of proxies on each backend server."""

import threading
from dataclasses import dataclass, replace

from dogwoodspool_api import Announcement, Observation, RenewRequest
from dogwoodspool_common import BackendServer, Clock, Position, Role
from dogwoodspool_common.const import NEVER

from ..const import MAX_SERVERS


@dataclass(frozen=True, slots=True)
class ServerObservation:
    """The latest observation of one backend server.

    All times are of the receipt, by the leader's clock.

    Attributes:
        heard_at: when a proxy last reported an answer or an announcement from it.
        announced: what it announced last; None if it is known from probes only.
        observed_at: when ``role`` and ``position`` were reported by a probe; None if
            they come from an announcement, which may be seconds old.
    """

    heard_at: float
    role: Role
    position: Position
    announced: BackendServer | None = None
    observed_at: float | None = None


class ServerObservations:
    """Collect the announcements and observations in proxies' renewals."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._server_observations: dict[str, ServerObservation] = {}
        self._announced_at: dict[tuple[str, BackendServer], float] = {}
        self._renewed_at: dict[str, float] = {}
        self._started_at = clock.now()

    @property
    def started_at(self) -> float:
        """Time since which observations have been recorded."""
        with self._lock:
            return self._started_at

    @property
    def all(self) -> dict[str, ServerObservation]:
        """The latest observations by server."""
        with self._lock:
            return dict(self._server_observations)

    def reset(self) -> None:
        """Discard all observations at the start of a leadership."""
        with self._lock:
            self._server_observations.clear()
            self._announced_at.clear()
            self._renewed_at.clear()
            self._started_at = self._clock.now()

    def observe(self, request: RenewRequest) -> None:
        """Record the announcements and observations in a renewal."""
        now = self._clock.now()
        with self._lock:
            self._renewed_at[request.failure_domain] = now
            for announcement in request.announcements:
                self._record_announcement(announcement, now)
            for observation in request.observations:
                self._record_observation(observation, now)

    def announced_at(self, server: BackendServer) -> float:
        """Return when exactly these properties were last announced."""
        with self._lock:
            return self._announced_at.get((server.name, server), NEVER)

    def renewed_at(self, failure_domain: str) -> float:
        """Return when a proxy of a failure domain last renewed."""
        with self._lock:
            return self._renewed_at.get(failure_domain, NEVER)

    def _record_announcement(self, announcement: Announcement, now: float) -> None:
        known = self._server_observations.get(announcement.server)
        if known is None and len(self._server_observations) >= MAX_SERVERS:
            return
        server = announcement.backend_server()
        self._announced_at[server.name, server] = now
        if known is not None and known.observed_at is not None:
            server_observation = replace(known, heard_at=now, announced=server)
        else:
            position = announcement.position.value()
            server_observation = ServerObservation(
                now, announcement.role, position, server
            )
        self._server_observations[server.name] = server_observation

    def _record_observation(self, observation: Observation, now: float) -> None:
        status = observation.status
        if status is None or observation.unreachable_ms > 0:
            return
        known = self._server_observations.get(observation.server)
        if known is None and len(self._server_observations) >= MAX_SERVERS:
            return
        self._server_observations[observation.server] = ServerObservation(
            heard_at=now,
            role=status.role,
            position=status.position.value(),
            announced=None if known is None else known.announced,
            observed_at=now,
        )
