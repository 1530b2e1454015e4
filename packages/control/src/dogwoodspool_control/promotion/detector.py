"""Detect failed primaries from the observations of all proxies."""

import threading
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from dogwoodspool_api import Observation, RenewRequest
from dogwoodspool_common import Clock, Role
from dogwoodspool_common.const import MILLISECONDS

from ..const import FRESH_RENEW_INTERVALS, MAX_TICK_GAP, MIN_OBSERVERS, TICK_SECONDS
from ..models import ProxyRecord


@dataclass(frozen=True, slots=True)
class DetectorSettings:
    """Times of the failure detector, in seconds.

    Attributes:
        failure_detect: unreachable time after which an observer reports a failure.
        down_detect: time of refused connections after which an observer reports a
            failure.
        renew_interval: time between a proxy's renewals.
    """

    failure_detect: float
    down_detect: float
    renew_interval: float


@dataclass(frozen=True, slots=True)
class ObservedRenewal:
    """The newest observations of one proxy.

    Attributes:
        received_at: time by the leader's clock; observations carry no timestamp.
    """

    failure_domain: str
    received_at: float
    observations: Mapping[str, Observation]


class FailureDetector:
    """Decide whether a backend server has failed.

    A server has failed when, in strictly more than half of the failure domains
    with registered proxies, most proxies with a recent renewal could not reach it
    for the detection time. At least two proxies must agree: a single observer
    that is cut off or faulty cannot cause a failover.

    A voter whose process was suspended finds old renewals in its sockets and would
    take them for current ones. The suspension shows as a gap between two ticks. The
    detector then discards all observations and accepts none until such renewals
    have been replaced by newer ones.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._renewals: dict[str, ObservedRenewal] = {}
        self._demoted_since: dict[tuple[str, str, int], float] = {}
        self._last_tick: float | None = None
        self._accept_from = float("inf")
        self._renew_interval = 0.0

    @property
    def renewals(self) -> Mapping[str, ObservedRenewal]:
        """The newest observations of each proxy."""
        with self._lock:
            return dict(self._renewals)

    def reset(self, renew_interval: float) -> None:
        """Discard all observations at the start of a leadership."""
        with self._lock:
            self._last_tick = self._clock.now()
            self._renew_interval = renew_interval
            self._clear()

    def tick(self) -> None:
        """Record that this voter runs; called at least every ``TICK_SECONDS``."""
        with self._lock:
            self._check_gap()
            self._last_tick = self._clock.now()

    def observe(self, request: RenewRequest) -> None:
        """Record the observations in a proxy's renewal."""
        with self._lock:
            self._check_gap()
            now = self._clock.now()
            if now < self._accept_from:
                return
            observations = {item.server: item for item in request.observations}
            self._renewals[request.proxy] = ObservedRenewal(
                request.failure_domain, now, observations
            )
            for observation in request.observations:
                self._record_role(request.proxy, observation, now)

    def is_failed(
        self,
        server: str,
        term: int,
        proxies: Iterable[ProxyRecord],
        settings: DetectorSettings,
    ) -> bool:
        """Tell whether a primary has failed.

        Args:
            server: name of the primary.
            term: its group's term.
            proxies: all registered proxies.
            settings: the group's times.
        """
        with self._lock:
            self._check_gap()
            registered = {record.name: record.failure_domain for record in proxies}
            verdicts = self._verdicts(server, term, registered, settings)
        domains = set(registered.values())
        failed = [name for name in domains if _is_majority(verdicts.get(name, []))]
        observers = sum(sum(verdicts[name]) for name in failed)
        return 2 * len(failed) > len(domains) and observers >= MIN_OBSERVERS

    def _verdicts(
        self,
        server: str,
        term: int,
        registered: Mapping[str, str],
        settings: DetectorSettings,
    ) -> dict[str, list[bool]]:
        now = self._clock.now()
        oldest = now - FRESH_RENEW_INTERVALS * settings.renew_interval
        verdicts: dict[str, list[bool]] = defaultdict(list)
        for proxy, failure_domain in registered.items():
            renewal = self._renewals.get(proxy)
            if renewal is None or renewal.received_at < oldest:
                continue
            observation = renewal.observations.get(server)
            if observation is None:
                continue
            unserved = self._unserved_seconds(proxy, term, observation, now)
            is_down = observation.down_ms / MILLISECONDS >= settings.down_detect
            is_unserved = unserved >= settings.failure_detect
            verdicts[failure_domain].append(is_down or is_unserved)
        return verdicts

    def _unserved_seconds(
        self, proxy: str, term: int, observation: Observation, now: float
    ) -> float:
        unreachable = observation.unreachable_ms / MILLISECONDS
        since = self._demoted_since.get((proxy, observation.server, term))
        return unreachable if since is None else max(unreachable, now - since)

    def _record_role(self, proxy: str, observation: Observation, now: float) -> None:
        """Record since when a server answers as a replica of its own term.

        A primary that restarted may come back as a replica. A replica that is not
        promoted yet has an older term and is not mistaken for such a primary.
        """
        status = observation.status
        known = [
            key for key in self._demoted_since if key[:2] == (proxy, observation.server)
        ]
        if status is None:
            return
        current = (proxy, observation.server, status.position.term)
        for key in known:
            if status.role is Role.PRIMARY or key != current:
                del self._demoted_since[key]
        if status.role is Role.REPLICA:
            self._demoted_since.setdefault(current, now)

    def _check_gap(self) -> None:
        now = self._clock.now()
        if self._last_tick is None:
            return
        if now - self._last_tick > MAX_TICK_GAP * TICK_SECONDS:
            self._last_tick = now
            self._clear()

    def _clear(self) -> None:
        self._renewals.clear()
        self._demoted_since.clear()
        settling_time = FRESH_RENEW_INTERVALS * self._renew_interval
        self._accept_from = self._clock.now() + settling_time


def _is_majority(verdicts: list[bool]) -> bool:
    return 2 * sum(verdicts) > len(verdicts)
