"""Redirect servers with an outdated role or term to their group's primary."""

from concurrent.futures import ThreadPoolExecutor

from dogwoodspool_common import BackendServer, Clock, GroupState, Phase, Role
from dogwoodspool_common.const import NEVER

from ..const import FOLLOW_RETRY_SECONDS
from ..state import ControlState
from .dependencies import RoleChangers
from .promote_step import follow
from .server_observations import ServerObservation, ServerObservations


class Reconciler:
    """Tell servers that are outdated primaries or have an older term to follow.

    A primary that was replaced while it was cut off still acts as primary when it
    returns. No proxy holds a grant for it any more. Told to follow, it discards its
    entries past the branch position and serves reads again. Servers reject older
    terms, so a delayed command is harmless.
    """

    def __init__(
        self,
        clock: Clock,
        state: ControlState,
        server_observations: ServerObservations,
        role_changers: RoleChangers,
        executor: ThreadPoolExecutor,
    ) -> None:
        self._clock = clock
        self._state = state
        self._server_observations = server_observations
        self._role_changers = role_changers
        self._executor = executor
        self._requested_at: dict[str, float] = {}

    def run(self) -> None:
        """Check all servers once; commands run in the executor."""
        servers = self._state.servers
        server_observations = self._server_observations.all
        for group in self._state.groups.values():
            primary = servers.get(group.primary or "")
            if group.phase is not Phase.STEADY or primary is None:
                continue
            for server in servers.values():
                observation = server_observations.get(server.name)
                if server.group != group.name or observation is None:
                    continue
                if self._should_follow(server, group, observation):
                    self._request_follow(server, primary, group.term)

    def _should_follow(
        self, server: BackendServer, group: GroupState, observation: ServerObservation
    ) -> bool:
        if server.name == group.primary:
            return False
        is_behind = observation.position.term < group.term
        if not is_behind and observation.role is not Role.PRIMARY:
            return False
        requested_at = self._requested_at.get(server.name, NEVER)
        return self._clock.now() - requested_at >= FOLLOW_RETRY_SECONDS

    def _request_follow(
        self, server: BackendServer, primary: BackendServer, term: int
    ) -> None:
        self._requested_at[server.name] = self._clock.now()
        changer = self._role_changers.of_group(server.group)
        self._executor.submit(follow, changer, server, primary.address, term)
