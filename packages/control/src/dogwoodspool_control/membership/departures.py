"""Planned promotions for primaries that announce that they leave."""

from collections.abc import Iterator

from dogwoodspool_common import Clock, GroupState, Phase, log_event

from ..commands import BeginPromotion
from ..const import DEPARTURE_RETRY_SECONDS
from ..models import PromotionReason
from ..state import ControlState


class Departures:
    """Begin a planned promotion in groups whose primary announces that it leaves.

    A leaving server gets no new work after a few seconds. Proxies skip leaving
    replicas, but writes need another primary. A promotion that fails because no
    replica can take over is retried only after a pause, because each attempt stops
    writes for a moment.
    """

    def __init__(self, clock: Clock, state: ControlState) -> None:
        self._clock = clock
        self._state = state
        self._attempted_at: dict[str, float] = {}

    def due_commands(self) -> Iterator[BeginPromotion]:
        """Yield the promotions that are due."""
        now = self._clock.now()
        for group in self._state.groups.values():
            if not self._needs_switchover(group):
                continue
            attempted_at = self._attempted_at.get(group.name)
            if (
                attempted_at is not None
                and now - attempted_at < DEPARTURE_RETRY_SECONDS
            ):
                continue
            self._attempted_at[group.name] = now
            log_event("primary_leaves", group=group.name, server=group.primary)
            yield BeginPromotion(group.name, group.term, PromotionReason.PLANNED)

    def _needs_switchover(self, group: GroupState) -> bool:
        if group.phase is not Phase.STEADY or group.primary is None:
            return False
        servers = self._state.servers
        primary = servers.get(group.primary)
        if primary is None or not primary.is_leaving:
            return False
        return any(
            server.group == group.name and not server.is_leaving
            for server in servers.values()
        )
