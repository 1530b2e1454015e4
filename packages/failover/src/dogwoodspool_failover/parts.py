"""What the steps of a change of primary share."""

from collections.abc import Callable, Iterable
from concurrent.futures import Executor, Future, wait
from dataclasses import dataclass

from dogwoodspool_common import BackendServer, Clock, log_event
from dogwoodspool_control.node import ControlNode
from dogwoodspool_control.promotion.failovers import FailoverTimeline
from dogwoodspool_control.state import ControlState

from .const import DOUBT_GRACE_SECONDS
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
        self,
        servers: Iterable[BackendServer],
        call: ServerCall,
        timeout: float,
        in_doubt: str = "",
    ) -> dict[str, ServerState]:
        """Make one call to each server at the same time; return the answers.

        Args:
            servers: whom to ask.
            call: the question or order.
            timeout: seconds after which answers that are missing are left out.
            in_doubt: a server that probably does not answer. It is waited for only
                until the others have answered, and for a moment more.
        """
        calls: dict[Future[ServerState], str] = {
            self.executor.submit(call, server): server.name for server in servers
        }
        awaited = [future for future, name in calls.items() if name != in_doubt]
        wait(awaited, timeout=timeout)
        grace = DOUBT_GRACE_SECONDS if in_doubt else 0.0
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
    """Return the newest term that any server knows or is paused for."""
    return max((max(one.term, one.paused_term) for one in states), default=0)
