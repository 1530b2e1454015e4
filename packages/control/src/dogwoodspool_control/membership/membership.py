"""Which announced backend servers to record, change or remove."""

from collections.abc import Iterator
from dataclasses import replace

from dogwoodspool_common import BackendServer, Clock, Phase, Position, Role
from dogwoodspool_sessions import is_covered

from ..commands import BootstrapGroup, Command, RecordServer, RemoveServer
from ..const import (
    FRESH_RENEW_INTERVALS,
    SERVER_HOLD_SECONDS,
    SERVER_SILENCE_SECONDS,
    SILENCE_MARK_SECONDS,
)
from ..promotion.server_observations import ServerObservation, ServerObservations
from ..state import ControlState


class Membership:
    """Turn sightings of backend servers into commands."""

    def __init__(
        self, clock: Clock, state: ControlState, server_observations: ServerObservations
    ) -> None:
        self._clock = clock
        self._state = state
        self._server_observations = server_observations
        self._silence_marks: dict[str, tuple[float, Position]] = {}

    def due_commands(self) -> list[Command]:
        """Return what differs from the committed state for long enough."""
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
        elif announced != known and self._has_ended(known):
            yield RecordServer(announced)
        is_first = self._state.group(announced.group) is None
        if observation.role is Role.PRIMARY and is_first:
            term = observation.position.term
            yield BootstrapGroup(announced.group, term, announced.name)

    def _has_ended(self, known: BackendServer) -> bool:
        """Tell whether nobody announces the recorded properties any more.

        Proxies repeat what they heard some seconds ago. Without this wait an old
        and a new announcement in turn would change the record back and forth.
        """
        announced_at = self._server_observations.announced_at(known)
        return self._clock.now() - announced_at >= SERVER_HOLD_SECONDS

    def _due_removals(self) -> Iterator[Command]:
        now = self._clock.now()
        server_observations = self._server_observations.all
        for server in self._state.servers.values():
            observation = server_observations.get(server.name)
            started_at = self._server_observations.started_at
            heard_at = started_at if observation is None else observation.heard_at
            if now - heard_at < SILENCE_MARK_SECONDS:
                self._silence_marks.pop(server.name, None)
                continue
            self._mark_silence(server, heard_at)
            is_silent = now - heard_at >= SERVER_SILENCE_SECONDS
            if is_silent and self._is_removable(server, heard_at):
                yield RemoveServer(server.name)

    def _mark_silence(self, server: BackendServer, heard_at: float) -> None:
        """Remember how far the primary was when the server had fallen silent."""
        marked = self._silence_marks.get(server.name)
        if marked is not None and marked[0] == heard_at:
            return
        group = self._state.group(server.group)
        if group is None or group.primary is None:
            return
        primary = self._server_observations.all.get(group.primary)
        if primary is None or primary.observed_at is None:
            return
        if primary.observed_at - heard_at >= SILENCE_MARK_SECONDS:
            self._silence_marks[server.name] = (heard_at, primary.position)

    def _is_removable(self, server: BackendServer, heard_at: float) -> bool:
        group = self._state.group(server.group)
        if group is None:
            return True
        if group.phase is not Phase.STEADY or self._is_cut_off(server):
            return False
        # The silent server may be the only replica with an acknowledged write.
        # Promotions ask all recorded replicas; it may leave that set only once
        # another one holds all that was acknowledged with its help.
        # A silent primary has no mark: nobody knows how far it is.
        marked = self._silence_marks.get(server.name)
        if marked is None or marked[0] != heard_at:
            return False
        others = [
            one
            for one in self._state.servers_of(server.group)
            if one.name not in (server.name, group.primary)
        ]
        return not others or any(
            self._covers(one, marked[1], group.term_starts) for one in others
        )

    def _is_cut_off(self, server: BackendServer) -> bool:
        """Tell whether no proxy next to the server reports at this time.

        While a failure domain is cut off, its own proxies go on using its
        servers; their silence here says nothing.
        """
        domains = {one.failure_domain for one in self._state.proxies.values()}
        if server.failure_domain not in domains:
            return False
        interval = self._state.settings.root.renew_interval_ms / 1000
        renewed_at = self._server_observations.renewed_at(server.failure_domain)
        return self._clock.now() - renewed_at > FRESH_RENEW_INTERVALS * interval

    def _covers(
        self, server: BackendServer, mark: Position, starts: tuple[Position, ...]
    ) -> bool:
        observation = self._server_observations.all.get(server.name)
        if observation is None:
            return False
        return is_covered(mark, observation.position, starts)
