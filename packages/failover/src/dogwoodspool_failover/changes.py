"""Run the changes of primary that are in progress, one thread for each group."""

from dogwoodspool_common import Phase, log_event
from dogwoodspool_control.promotion.worker import PromotionRunner

from .change import PrimaryChange
from .const import RESUME_ATTEMPTS, RESUME_RETRY_SECONDS, SERVER_CALL_TIMEOUT
from .errors import ServerCallError
from .parts import ChangeParts


class PrimaryChanges(PromotionRunner):
    """Carry on each promotion of the committed state while this voter leads."""

    def __init__(self, parts: ChangeParts) -> None:
        super().__init__(
            parts.state,
            lambda group: PrimaryChange(group, parts),
            self.resume_replicas,
        )
        self._parts = parts

    def resume_replicas(self, group: str) -> None:
        """Let the replicas of a steady group receive again.

        The leader that paused them may have ended before it could resume them.
        """
        state = self._parts.state.group(group)
        if state is None or state.phase is not Phase.STEADY:
            return
        for server in self._parts.state.servers_of(group):
            if server.name != state.primary and not server.is_gone:
                self._parts.executor.submit(
                    self._resume, group, state.term, server.name
                )

    def _resume(self, group: str, term: int, name: str) -> None:
        """Resume one replica, again and again while its group stays as it is."""
        parts = self._parts
        for _attempt in range(RESUME_ATTEMPTS):
            state, server = parts.state.group(group), parts.state.servers.get(name)
            is_steady = state is not None and state.phase is Phase.STEADY
            if server is None or state is None or not is_steady or state.term != term:
                return
            if parts.node.leadership() is None:
                return
            try:
                parts.servers.resume(server, SERVER_CALL_TIMEOUT)
            except ServerCallError as error:
                log_event("resume_failed", server=name, reason=error)
                parts.clock.sleep(RESUME_RETRY_SECONDS)
            else:
                return
