"""Dependencies shared by the steps of a change of primary."""

from collections.abc import Callable, Iterable
from concurrent.futures import Executor, Future, wait
from dataclasses import dataclass

from dogwoodspool_common import BackendServer, Clock, log_event
from dogwoodspool_control.node import ControlNode
from dogwoodspool_control.promotion.failovers import FailoverTimeline
from dogwoodspool_control.state import ControlState

from .const import SERVER_CALL_TIMEOUT, SUSPECT_GRACE_SECONDS
from .errors import ServerCallError
from .heartbeats import HeartbeatTracker
from .models import ServerState
from .servers import GroupServers, PromotionService

ServerCall = Callable[[BackendServer], ServerState]


@dataclass(frozen=True, slots=True)
class ChangeDependencies:
    """Dependencies of the changes of primary.

    Attributes:
        holder: name under which this voter requests promotions from the platform.
        executor: runs calls to backend servers.
    """

    clock: Clock
    node: ControlNode
    state: ControlState
    heartbeats: HeartbeatTracker
    servers: GroupServers
    service: PromotionService
    holder: str
    timeline: FailoverTimeline
    executor: Executor

    def state_of(self, server: BackendServer) -> ServerState | None:
        """Ask a server for its state; None if it does not answer, which is logged."""
        try:
            return self.servers.status(server, SERVER_CALL_TIMEOUT)
        except ServerCallError as error:
            log_event("server_call_failed", server=server.name, reason=error)
            return None

    def call_all(
        self,
        servers: Iterable[BackendServer],
        call: ServerCall,
        timeout: float,
        suspected: str = "",
    ) -> dict[str, ServerState]:
        """Call all servers concurrently; return the answers by server name.

        Args:
            servers: the servers to call.
            call: the status request or command.
            timeout: seconds after which missing answers are omitted.
            suspected: a server that probably does not answer. It is waited for only
                until the others have answered, plus ``SUSPECT_GRACE_SECONDS``.
        """
        calls: dict[Future[ServerState], str] = {
            self.executor.submit(call, server): server.name for server in servers
        }
        awaited = [future for future, name in calls.items() if name != suspected]
        wait(awaited, timeout=timeout)
        grace = SUSPECT_GRACE_SECONDS if suspected else 0.0
        wait(calls, timeout=grace)
        ended = [future for future in calls if future.done()]
        answers = {}
        for future in ended:
            try:
                answers[calls[future]] = future.result()
            except ServerCallError as error:
                log_event("server_call_failed", server=calls[future], reason=error)
        return answers


def newest_term(states: Iterable[ServerState]) -> int:
    """Return the newest term that any server knows."""
    return max((one.term for one in states), default=0)
