"""Planned changes of primary requested by operators."""

from dogwoodspool_api import PromoteRequest
from dogwoodspool_backend import BackendError
from dogwoodspool_common import BackendServer, Clock, Phase

from ..commands import BeginPromotion
from ..const import CODE_CONFLICT, CODE_INVALID, MAX_PLANNED_LAG_MS
from ..errors import CommandRejectedError
from ..models import PromotionReason
from ..node import ControlNode
from ..state import ControlState
from .dependencies import RoleChangers
from .failovers import FailoverTimeline


class PlannedPromotions:
    """Begin planned promotions and wait for their completion."""

    def __init__(
        self,
        clock: Clock,
        node: ControlNode,
        state: ControlState,
        role_changers: RoleChangers,
        timeline: FailoverTimeline,
    ) -> None:
        self._clock = clock
        self._node = node
        self._state = state
        self._role_changers = role_changers
        self._timeline = timeline

    def begin(self, request: PromoteRequest) -> int:
        """Commit the start of a promotion and return its term.

        A repeated change id returns the first outcome.

        Raises:
            CommandRejectedError: it did not begin.
            LeadershipLostError: another voter leads.
            OutcomeUnknownError: it may have begun; retry with the same id.
        """
        recorded = self._state.change_outcome(request.change_id)
        if recorded is not None:
            if not recorded.is_accepted:
                raise CommandRejectedError(recorded.code, recorded.message)
            return recorded.version
        self._node.require_leadership()
        group = self._state.group(request.group)
        if group is None:
            raise CommandRejectedError(CODE_INVALID, f"no group {request.group}")
        if group.phase is Phase.STEADY:
            self._check_candidate(request)
        self._timeline.begin(group.name, PromotionReason.PLANNED)
        command = BeginPromotion(
            group=group.name,
            expected_term=group.term,
            reason=PromotionReason.PLANNED,
            candidate=request.candidate,
            change_id=request.change_id,
        )
        return self._node.commit(command).version

    def wait_ended(self, group: str, term: int, seconds: float) -> bool:
        """Wait until a promotion has ended; return False on time-out."""
        deadline = self._clock.now() + seconds
        while True:
            version = self._state.version
            state = self._state.group(group)
            is_steady = state is not None and state.phase is Phase.STEADY
            if is_steady and state is not None and state.term >= term:
                return True
            remaining = deadline - self._clock.now()
            if remaining <= 0:
                return False
            self._state.wait_newer(version, remaining)

    def _check_candidate(self, request: PromoteRequest) -> None:
        """Reject a candidate that would block writes while it catches up."""
        if request.candidate is None:
            return
        server = self._state.servers.get(request.candidate)
        if server is None or server.group != request.group:
            message = f"{request.candidate} is not a server of group {request.group}"
            raise CommandRejectedError(CODE_INVALID, message)
        lag_ms = self._lag_ms(server)
        if lag_ms is None or lag_ms > MAX_PLANNED_LAG_MS:
            message = (
                f"{server.name} does not answer or lags by more than "
                f"{MAX_PLANNED_LAG_MS:.0f} ms"
            )
            raise CommandRejectedError(CODE_CONFLICT, message)

    def _lag_ms(self, server: BackendServer) -> float | None:
        try:
            return self._role_changers.of_group(server.group).status(server).lag_ms
        except BackendError:
            return None
