"""Let go of what earlier settings still bind, once it has ended."""

from collections.abc import Callable

from dogwoodspool_backend import BackendError
from dogwoodspool_common import BackendServer, Clock, GroupState, Phase, Role
from dogwoodspool_common.const import MILLISECONDS, NEVER
from dogwoodspool_sessions import is_covered

from ..commands import Command, LowerLeaseBound, SettleWriteAcks
from ..const import AUDIT_SECONDS, FRESH_RENEW_INTERVALS
from ..grants.grants import GrantTable
from ..promotion.parts import RoleChangers
from ..promotion.sightings import Sightings
from ..state import ControlState


class LeaseBoundUpkeep:
    """Lower the bound of leases after a longer lease went out of use."""

    def __init__(self, clock: Clock, state: ControlState, table: GrantTable) -> None:
        self._clock = clock
        self._state = state
        self._table = table
        self._seen: tuple[int, float] | None = None

    def due_command(self) -> Command | None:
        """Return the command once every longer lease has run out.

        This leader has then given shorter leases only, for longer than the
        bound, and the leases of its predecessors have run out too.
        """
        settings = self._state.settings
        if not settings.is_lease_bound_lowerable:
            self._seen = None
            return None
        now = self._clock.now()
        if self._seen is None or self._seen[0] != settings.index:
            self._seen = (settings.index, now)
        has_waited = now - self._seen[1] > settings.lease_bound_ms / MILLISECONDS
        if not has_waited or now < self._table.predecessor_expiry:
            return None
        return LowerLeaseBound(settings.index)


class AckAudit:
    """Bound what proxies acknowledged without a replica by the primary's position.

    Only for groups whose primary acknowledges alone, or did so until a change of
    settings: the primary is asked once per ``AUDIT_SECONDS``.
    """

    def __init__(
        self,
        clock: Clock,
        state: ControlState,
        *,
        table: GrantTable,
        sightings: Sightings,
        role_changers: RoleChangers,
        submit: Callable[[Callable[[], None]], object],
    ) -> None:
        self._clock = clock
        self._state = state
        self._table = table
        self._sightings = sightings
        self._role_changers = role_changers
        self._submit = submit
        self._asked_at: dict[str, float] = {}
        self._followed_since: dict[str, tuple[int, float]] = {}

    def run(self) -> None:
        """Ask the primaries that are due; answers are taken in the executor."""
        now = self._clock.now()
        for name in self._state.settings.unsettled_groups:
            group = self._state.group(name)
            if group is None or group.phase is not Phase.STEADY:
                continue
            if now - self._asked_at.get(name, NEVER) < AUDIT_SECONDS:
                continue
            server = self._state.servers.get(group.primary or "")
            if server is not None:
                self._asked_at[name] = now
                self._submit(self._asking(group, server))

    def due_commands(self) -> list[Command]:
        """Return the commands for groups whose writes are all replicated."""
        settings = self._state.settings
        return [
            SettleWriteAcks(name, settings.index)
            for name in settings.unsettled_groups
            if settings.requires_replica_ack(name)
            and self._is_replicated(name, settings.index)
        ]

    def _asking(self, group: GroupState, server: BackendServer) -> Callable[[], None]:
        return lambda: self._ask(group, server)

    def _ask(self, group: GroupState, server: BackendServer) -> None:
        asked_at = self._clock.now()
        try:
            status = self._role_changers.of_group(group.name).status(server)
        except BackendError:
            return
        if status.role is Role.PRIMARY and status.position.term == group.term:
            self._table.note_primary(group.name, status.position, asked_at)

    def _is_replicated(self, name: str, settings_index: int) -> bool:
        """Tell whether one replica holds all that was acknowledged without one."""
        group = self._state.group(name)
        if group is None or not self._is_in_force(name, settings_index):
            return False
        acks = self._table.knowledge(name)
        sightings = self._sightings.all
        return self._table.is_history_known(name) and any(
            server.name != group.primary
            and server.name in sightings
            and all(
                is_covered(acked, sightings[server.name].position, group.term_starts)
                for acked in acks.positions
            )
            for server in self._state.servers_of(name)
        )

    def _is_in_force(self, name: str, settings_index: int) -> bool:
        """Tell whether no write is acknowledged by the primary alone any more.

        Every proxy must follow the stricter setting, and for so long that a
        write which began before has ended and was reported.
        """
        if not self._table.all_follow(settings_index):
            self._followed_since.pop(name, None)
            return False
        now = self._clock.now()
        index, since = self._followed_since.get(name, (settings_index, now))
        if index != settings_index:
            since = now
        self._followed_since[name] = (settings_index, since)
        settings = self._state.settings.effective(name)
        longest = settings.max_transaction_ms + settings.deadline_ms
        report = FRESH_RENEW_INTERVALS * settings.renew_interval_ms
        return now - since > (longest + report) / MILLISECONDS
