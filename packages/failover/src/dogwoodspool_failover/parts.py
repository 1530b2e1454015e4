"""What the steps of a change of primary share."""

from collections.abc import Callable, Iterable
from concurrent.futures import Executor, Future, wait
from dataclasses import dataclass

from dogwoodspool_common import BackendServer, Clock, log_event
from dogwoodspool_control.failovers import FailoverTimeline
from dogwoodspool_control.node import ControlNode
from dogwoodspool_control.state import ControlState

from .errors import ServerCallError
from .heartbeats import HeartbeatBook
from .models import ServerState
from .servers import GroupServers, PromotionService

ServerCall = Callable[[BackendServer], ServerState]


@dataclass(frozen=True, slots=True)
class ChangeParts:
    """The objects that changes of primary work with.

    Attributes:
        holder: name of this voter towards the platform.
        executor: runs calls to backend servers.
    """

    clock: Clock
    node: ControlNode
    state: ControlState
    heartbeats: HeartbeatBook
    servers: GroupServers
    service: PromotionService
    holder: str
    timeline: FailoverTimeline
    executor: Executor

    def ask_all(
        self, servers: Iterable[BackendServer], call: ServerCall, timeout: float
    ) -> dict[str, ServerState]:
        """Make one call to each server at the same time; return the answers."""
        calls: dict[Future[ServerState], str] = {
            self.executor.submit(call, server): server.name for server in servers
        }
        ended, _ = wait(calls, timeout=timeout)
        answers = {}
        for future in ended:
            try:
                answers[calls[future]] = future.result()
            except ServerCallError as error:
                log_event("server_call_failed", server=calls[future], reason=error)
        return answers


def newest_term(states: Iterable[ServerState]) -> int:
    """Return the newest term that any server knows or is paused for."""
    return max((max(one.term, one.paused_term) for one in states), default=0)
