"""What proxies lately said of each backend server."""

import threading
from dataclasses import dataclass, replace

from dogwoodspool_api import Announcement, Observation, RenewRequest
from dogwoodspool_common import BackendServer, Clock, Position, Role
from dogwoodspool_common.const import NEVER

from ..const import MAX_SERVERS


@dataclass(frozen=True, slots=True)
class ServerObservation:
    """The latest news of one backend server, by the leader's time of receipt.

    Attributes:
        heard_at: when a proxy last had an answer or an announcement of it.
        announced: what it announced last; None when only probes tell of it.
        observed_at: when ``role`` and ``position`` came from a probe; None when
            they come from an announcement, which may be seconds old.
    """

    heard_at: float
    role: Role
    position: Position
    announced: BackendServer | None = None
    observed_at: float | None = None


class ServerObservations:
    """Collect announcements and observations from renewals."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._server_observations: dict[str, ServerObservation] = {}
        self._announced_at: dict[tuple[str, BackendServer], float] = {}
        self._renewed_at: dict[str, float] = {}
        self._started_at = clock.now()

    @property
    def started_at(self) -> float:
        """Time since which everything was recorded."""
        with self._lock:
            return self._started_at

    @property
    def all(self) -> dict[str, ServerObservation]:
        """The latest sightings by server."""
        with self._lock:
            return dict(self._server_observations)

    def reset(self) -> None:
        """Forget everything, as at the beginning of a leadership."""
        with self._lock:
            self._server_observations.clear()
            self._announced_at.clear()
            self._renewed_at.clear()
            self._started_at = self._clock.now()

    def observe(self, request: RenewRequest) -> None:
        """Take what a renewal tells."""
        now = self._clock.now()
        with self._lock:
            self._renewed_at[request.failure_domain] = now
            for announcement in request.announcements:
                self._note_announcement(announcement, now)
            for observation in request.observations:
                self._note_observation(observation, now)

    def announced_at(self, server: BackendServer) -> float:
        """Return when exactly these properties were last announced."""
        with self._lock:
            return self._announced_at.get((server.name, server), NEVER)

    def renewed_at(self, failure_domain: str) -> float:
        """Return when a proxy of a failure domain last renewed."""
        with self._lock:
            return self._renewed_at.get(failure_domain, NEVER)

    def _note_announcement(self, announcement: Announcement, now: float) -> None:
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

    def _note_observation(self, observation: Observation, now: float) -> None:
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
