"""Lead servers that follow an older term to their group's primary."""

from concurrent.futures import ThreadPoolExecutor

from dogwoodspool_common import BackendServer, Clock, GroupState, Phase, Role
from dogwoodspool_common.const import NEVER

from ..const import FOLLOW_RETRY_SECONDS
from ..state import ControlState
from .dependencies import RoleChangers
from .promote_step import follow
from .server_observations import ServerObservation, ServerObservations


class Reconciler:
    """Tell servers to follow that show another primary or an older term.

    A primary that was replaced while it was cut off comes back believing in its
    role. No proxy holds a grant for it any more; told to follow, it drops its
    entries past the branch and serves reads again. Servers refuse older terms,
    so a command sent late does no harm.
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
        self._told_at: dict[str, float] = {}

    def run(self) -> None:
        """Look at all servers once; commands run in the executor."""
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
                    self._tell(server, primary, group.term)

    def _should_follow(
        self, server: BackendServer, group: GroupState, observation: ServerObservation
    ) -> bool:
        if server.name == group.primary:
            return False
        is_behind = observation.position.term < group.term
        if not is_behind and observation.role is not Role.PRIMARY:
            return False
        told_at = self._told_at.get(server.name, NEVER)
        return self._clock.now() - told_at >= FOLLOW_RETRY_SECONDS

    def _tell(self, server: BackendServer, primary: BackendServer, term: int) -> None:
        self._told_at[server.name] = self._clock.now()
        changer = self._role_changers.of_group(server.group)
        self._executor.submit(follow, changer, server, primary.address, term)
