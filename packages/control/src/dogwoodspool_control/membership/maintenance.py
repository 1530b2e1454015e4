"""Maintenance of the restrictions that earlier settings left behind."""

from collections.abc import Callable

from dogwoodspool_backend import BackendError
from dogwoodspool_common import BackendServer, Clock, GroupState, Phase, Role
from dogwoodspool_common.const import MILLISECONDS, NEVER
from dogwoodspool_sessions import is_covered

from ..commands import Command, LowerLeaseBound, SettleWriteAcks
from ..const import AUDIT_SECONDS, FRESH_RENEW_INTERVALS
from ..grants.grants import GrantTable
from ..promotion.dependencies import RoleChangers
from ..promotion.server_observations import ServerObservations
from ..state import ControlState


class LeaseBoundMaintenance:
    """Lower the lease bound after the configured lease was shortened."""

    def __init__(self, clock: Clock, state: ControlState, table: GrantTable) -> None:
        self._clock = clock
        self._state = state
        self._table = table
        self._lowerable_since: tuple[int, float] | None = None

    def due_command(self) -> Command | None:
        """Return the command once every longer lease has expired.

        By then this leader has issued only shorter leases for longer than the bound,
        and the leases issued by earlier leaders have expired as well.
        """
        settings = self._state.settings
        if not settings.is_lease_bound_lowerable:
            self._lowerable_since = None
            return None
        now = self._clock.now()
        if self._lowerable_since is None or self._lowerable_since[0] != settings.index:
            self._lowerable_since = (settings.index, now)
        has_waited = (
            now - self._lowerable_since[1] > settings.lease_bound_ms / MILLISECONDS
        )
        if not has_waited or now < self._table.predecessor_expiry:
            return None
        return LowerLeaseBound(settings.index)


class AckAudit:
    """Bound the writes acknowledged without a replica by the primary's position.

    This applies only to groups in which the primary acknowledges writes alone, or
    did so until the settings changed. Their primary is queried once per
    ``AUDIT_SECONDS``.
    """

    def __init__(
        self,
        clock: Clock,
        state: ControlState,
        *,
        table: GrantTable,
        server_observations: ServerObservations,
        role_changers: RoleChangers,
        submit: Callable[[Callable[[], None]], object],
    ) -> None:
        self._clock = clock
        self._state = state
        self._table = table
        self._server_observations = server_observations
        self._role_changers = role_changers
        self._submit = submit
        self._queried_at: dict[str, float] = {}
        self._followed_since: dict[str, tuple[int, float]] = {}

    def run(self) -> None:
        """Query the primaries that are due, in the executor."""
        now = self._clock.now()
        for name in self._state.settings.unsettled_groups:
            group = self._state.group(name)
            if group is None or group.phase is not Phase.STEADY:
                continue
            if now - self._queried_at.get(name, NEVER) < AUDIT_SECONDS:
                continue
            server = self._state.servers.get(group.primary or "")
            if server is not None:
                self._queried_at[name] = now
                self._submit(self._primary_query(group, server))

    def due_commands(self) -> list[Command]:
        """Return the commands for groups whose acknowledged writes are replicated."""
        settings = self._state.settings
        return [
            SettleWriteAcks(name, settings.index)
            for name in settings.unsettled_groups
            if settings.requires_replica_ack(name)
            and self._is_replicated(name, settings.index)
        ]

    def _primary_query(
        self, group: GroupState, server: BackendServer
    ) -> Callable[[], None]:
        return lambda: self._query_primary(group, server)

    def _query_primary(self, group: GroupState, server: BackendServer) -> None:
        queried_at = self._clock.now()
        try:
            status = self._role_changers.of_group(group.name).status(server)
        except BackendError:
            return
        if status.role is Role.PRIMARY and status.position.term == group.term:
            self._table.record_primary_position(group.name, status.position, queried_at)

    def _is_replicated(self, name: str, settings_index: int) -> bool:
        """Return whether one replica has all writes acknowledged without a replica."""
        group = self._state.group(name)
        if group is None or not self._is_strict_everywhere(name, settings_index):
            return False
        acks = self._table.acknowledged_writes(name)
        server_observations = self._server_observations.all
        return self._table.is_history_known(name) and any(
            server.name != group.primary
            and server.name in server_observations
            and all(
                is_covered(
                    acked, server_observations[server.name].position, group.term_starts
                )
                for acked in acks.positions
            )
            for server in self._state.servers_of(name)
        )

    def _is_strict_everywhere(self, name: str, settings_index: int) -> bool:
        """Return whether the primary alone no longer acknowledges any write.

        Every proxy must have followed the stricter setting for long enough that
        each write begun before it has ended and was reported.
        """
        if not self._table.all_proxies_reached(settings_index):
            self._followed_since.pop(name, None)
            return False
        now = self._clock.now()
        index, since = self._followed_since.get(name, (settings_index, now))
        if index != settings_index:
            since = now
        self._followed_since[name] = (settings_index, since)
        settings = self._state.settings.effective(name)
        longest_write = settings.max_transaction_ms + settings.deadline_ms
        report_delay = FRESH_RENEW_INTERVALS * settings.renew_interval_ms
        return now - since > (longest_write + report_delay) / MILLISECONDS
