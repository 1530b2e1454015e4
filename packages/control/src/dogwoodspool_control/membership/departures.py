"""Move the primary away from a backend server that leaves."""

from collections.abc import Iterator

from dogwoodspool_common import Clock, GroupState, Phase, log_event

from ..commands import BeginPromotion
from ..const import DEPARTURE_RETRY_SECONDS
from ..models import PromotionReason
from ..state import ControlState


class Departures:
    """Begin a planned promotion where the primary announces that it leaves.

    A leaving server gets no new work after a few seconds. Replicas are simply
    passed over by the proxies; writes need another primary. Where no promotion
    succeeds, because no replica can take over, it is tried again after a pause:
    each try stops writes for a moment.
    """

    def __init__(self, clock: Clock, state: ControlState) -> None:
        self._clock = clock
        self._state = state
        self._tried_at: dict[str, float] = {}

    def due_commands(self) -> Iterator[BeginPromotion]:
        """Return the promotions that should begin now."""
        now = self._clock.now()
        for group in self._state.groups.values():
            if not self._must_move(group):
                continue
            tried_at = self._tried_at.get(group.name)
            if tried_at is not None and now - tried_at < DEPARTURE_RETRY_SECONDS:
                continue
            self._tried_at[group.name] = now
            log_event("primary_leaves", group=group.name, server=group.primary)
            yield BeginPromotion(group.name, group.term, PromotionReason.PLANNED)

    def _must_move(self, group: GroupState) -> bool:
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
