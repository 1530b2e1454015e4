"""Stop processes during an emulation and start them again."""

import math
import random
from collections.abc import Callable
from functools import partial

from dogwoodspool_sharing import PoolRole

from .const import (
    DEAD_CONNECTION_SECONDS,
    FIRST_PRESENCE_SECONDS,
    FIRST_PRESENCE_SPREAD_SECONDS,
    LOST_PROXY_SECONDS,
    PRESENCES_PER_SECOND,
)
from .models import Disturbance, DisturbanceKind, LossTarget
from .proxies import Proxy
from .timeline import Timeline


class ProcessLosses:
    """Stop proxies, start them again, and have their neighbours learn of it.

    Args:
        proxies: all proxies by name; one that starts again takes the place of its
            predecessor.
        build: returns a new proxy of a name that has just started.
        prepare: gives a proxy the limits of all groups.
    """

    def __init__(
        self,
        proxies: dict[str, Proxy],
        build: Callable[[str], Proxy],
        prepare: Callable[[Proxy], None],
        timeline: Timeline,
        seed: int,
    ) -> None:
        self._proxies = proxies
        self._build = build
        self._prepare = prepare
        self._timeline = timeline
        self._random = random.Random(seed)
        self._lost_at: dict[str, float] = {}

    def set_up(self) -> None:
        """Begin to report the neighbours to each proxy in regular intervals."""
        for name in self._proxies:
            delay = self._random.uniform(0, self._interval())
            self._timeline.after(delay, partial(self._report, name))

    def begin(self, disturbance: Disturbance, groups: list[str]) -> None:
        """Stop the processes that a disturbance affects."""
        now = self._timeline.now()
        for name in self._targets(disturbance, groups):
            proxy = self._proxies[name]
            proxy.stop()
            self._lost_at[name] = now
            if disturbance.kind is DisturbanceKind.POWER_LOSS:
                proxy.mark_connections()
                self._timeline.after(DEAD_CONNECTION_SECONDS, proxy.drop_connections)

    def end(self, disturbance: Disturbance) -> None:
        """Start the processes again after a power loss."""
        if disturbance.kind is not DisturbanceKind.POWER_LOSS:
            return
        for name in list(self._lost_at):
            del self._lost_at[name]
            self._proxies[name] = self._build(name)
            delay = FIRST_PRESENCE_SECONDS + self._random.uniform(
                0, FIRST_PRESENCE_SPREAD_SECONDS
            )
            self._timeline.after(delay, partial(self._introduce, name))

    def _targets(self, disturbance: Disturbance, groups: list[str]) -> list[str]:
        domains = sorted({one.failure_domain for one in self._proxies.values()})
        affected = domains[: disturbance.domains]
        proxies = [
            one for one in self._proxies.values() if one.failure_domain in affected
        ]
        if disturbance.target is LossTarget.PROXIES:
            names = [one.neighbour.name for one in proxies]
        else:
            roles = {PoolRole.OWNER}
            if disturbance.target is LossTarget.ALL_OWNERS:
                roles.add(PoolRole.RESERVE)
            names = [
                one.neighbour.name
                for one in proxies
                if any(one.role(group) in roles for group in groups)
            ]
        count = math.ceil(len(names) * disturbance.share)
        return self._random.sample(sorted(names), count)

    def _introduce(self, name: str) -> None:
        proxy = self._proxies[name]
        self._adopt(proxy)
        self._prepare(proxy)

    def _report(self, name: str) -> None:
        proxy = self._proxies[name]
        if proxy.is_up and proxy.directory.count > 1:
            self._adopt(proxy)
        self._timeline.after(self._interval(), partial(self._report, name))

    def _adopt(self, proxy: Proxy) -> None:
        now = self._timeline.now()
        proxy.directory.adopt(
            one.neighbour
            for name, one in self._proxies.items()
            if one.failure_domain == proxy.failure_domain
            and now - self._lost_at.get(name, now) < LOST_PROXY_SECONDS
        )

    def _interval(self) -> float:
        return max(1.0, len(self._proxies) / PRESENCES_PER_SECOND)
