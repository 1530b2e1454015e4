"""Recording, update and removal of announced backend servers."""

from collections.abc import Iterator
from dataclasses import replace

from dogwoodspool_common import BackendServer, Clock, Phase, Position, Role
from dogwoodspool_sessions import is_covered

from ..commands import BootstrapGroup, Command, RecordServer, RemoveServer
from ..const import (
    FRESH_RENEW_INTERVALS,
    OUTDATED_RECORD_SECONDS,
    SERVER_REMOVAL_SECONDS,
    SERVER_SILENT_SECONDS,
)
from ..promotion.server_observations import ServerObservation, ServerObservations
from ..state import ControlState


class Membership:
    """Derive commands from observations of backend servers."""

    def __init__(
        self, clock: Clock, state: ControlState, server_observations: ServerObservations
    ) -> None:
        self._clock = clock
        self._state = state
        self._server_observations = server_observations
        self._silence_positions: dict[str, tuple[float, Position]] = {}

    def due_commands(self) -> list[Command]:
        """Return the commands for differences that have lasted long enough."""
        commands: list[Command] = []
        for observation in self._server_observations.all.values():
            if observation.announced is not None:
                commands += self._due_records(observation, observation.announced)
        commands += self._due_removals()
        return commands

    def _due_records(
        self, observation: ServerObservation, announced: BackendServer
    ) -> Iterator[Command]:
        known = self._state.servers.get(announced.name)
        if known is None:
            yield RecordServer(announced)
        elif announced.is_leaving and not known.is_leaving:
            yield RecordServer(replace(known, is_leaving=True))
        elif self._differs(announced, known) and self._is_outdated(known):
            yield RecordServer(announced)
        is_first = self._state.group(announced.group) is None
        if observation.role is Role.PRIMARY and is_first:
            term = observation.position.term
            yield BootstrapGroup(announced.group, term, announced.name)

    def _differs(self, announced: BackendServer, known: BackendServer) -> bool:
        return replace(announced, is_retired=known.is_retired) != known

    def _is_outdated(self, known: BackendServer) -> bool:
        """Return whether the recorded properties are no longer announced.

        Proxies repeat announcements that they received some seconds ago. Without
        this delay, old and new announcements that arrive alternately would change
        the record back and forth.
        """
        announced_at = self._server_observations.announced_at(known)
        return self._clock.now() - announced_at >= OUTDATED_RECORD_SECONDS

    def _due_removals(self) -> Iterator[Command]:
        now = self._clock.now()
        server_observations = self._server_observations.all
        for server in self._state.servers.values():
            observation = server_observations.get(server.name)
            started_at = self._server_observations.started_at
            heard_at = started_at if observation is None else observation.heard_at
            if now - heard_at < SERVER_SILENT_SECONDS:
                self._silence_positions.pop(server.name, None)
                continue
            self._record_silence(server, heard_at)
            is_silent = now - heard_at >= SERVER_REMOVAL_SECONDS
            if is_silent and self._is_removable(server, heard_at):
                yield RemoveServer(server.name)

    def _record_silence(self, server: BackendServer, heard_at: float) -> None:
        """Record the primary's position once the server has become silent."""
        recorded = self._silence_positions.get(server.name)
        if recorded is not None and recorded[0] == heard_at:
            return
        group = self._state.group(server.group)
        if group is None or group.primary is None:
            return
        primary = self._server_observations.all.get(group.primary)
        if primary is None or primary.observed_at is None:
            return
        if primary.observed_at - heard_at >= SERVER_SILENT_SECONDS:
            self._silence_positions[server.name] = (heard_at, primary.position)

    def _is_removable(self, server: BackendServer, heard_at: float) -> bool:
        group = self._state.group(server.group)
        if group is None:
            return True
        if group.phase is not Phase.STEADY or self._is_cut_off(server):
            return False
        # The silent server may be the only replica with an acknowledged write.
        # Promotions query all recorded replicas, so it may be removed only once
        # another replica has every write that it may have helped to acknowledge.
        # A silent primary has no recorded position, because its position is unknown,
        # and is not removed.
        recorded = self._silence_positions.get(server.name)
        if recorded is None or recorded[0] != heard_at:
            return False
        others = [
            other
            for other in self._state.servers_of(server.group)
            if other.name not in (server.name, group.primary)
        ]
        return not others or any(
            self._has_writes_up_to(other, recorded[1], group.term_starts)
            for other in others
        )

    def _is_cut_off(self, server: BackendServer) -> bool:
        """Return whether no proxy in the server's failure domain reports.

        While a failure domain is cut off, its own proxies keep using its servers,
        so hearing nothing from those servers does not show that they have failed.
        """
        domains = {proxy.failure_domain for proxy in self._state.proxies.values()}
        if server.failure_domain not in domains:
            return False
        interval = self._state.settings.root.renew_interval_ms / 1000
        renewed_at = self._server_observations.renewed_at(server.failure_domain)
        return self._clock.now() - renewed_at > FRESH_RENEW_INTERVALS * interval

    def _has_writes_up_to(
        self, server: BackendServer, required: Position, starts: tuple[Position, ...]
    ) -> bool:
        observation = self._server_observations.all.get(server.name)
        if observation is None:
            return False
        return is_covered(required, observation.position, starts)
