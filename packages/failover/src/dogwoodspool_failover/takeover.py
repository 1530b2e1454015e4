"""Make a server the primary, and be certain that it stays the only one."""

from collections.abc import Callable
from dataclasses import dataclass

from dogwoodspool_common import BackendServer, PrimaryEpoch, Role, log_event
from dogwoodspool_control.models import Promotion
from dogwoodspool_control.progress import PromotionProgress

from .basis import ChoiceBasis, Confirmation
from .const import (
    FENCE_RETRY_SECONDS,
    PROMOTION_COMPLETION_SECONDS,
    PROMOTION_EFFECT_SECONDS,
    PROMOTION_POLL_SECONDS,
    PROMOTION_RETRY_SECONDS,
)
from .dependencies import ChangeDependencies
from .models import ServerState, epoch_of
from .promotion_calls import CallAnswer, PromotionCalls


@dataclass(frozen=True, slots=True)
class Lead:
    """A primary that no open promotion call can replace.

    Attributes:
        token: token of the accepted call that ruled out all earlier ones.
    """

    epoch: PrimaryEpoch
    token: int


class Takeover:
    """Request a server's promotion until it leads and no other call is open.

    A call that got no answer may be carried out seconds later. It is rejected from the
    time at which a call with a higher token is accepted, so that a takeover is complete
    only then, also if the server leads already: the platform accepts a call for the
    present primary and changes nothing.
    """

    def __init__(
        self,
        group: str,
        dependencies: ChangeDependencies,
        calls: PromotionCalls,
        progress: PromotionProgress,
    ) -> None:
        self._group = group
        self._dependencies = dependencies
        self._calls = calls
        self._progress = progress

    def promote(
        self, promotion: Promotion, server: BackendServer, basis: ChoiceBasis
    ) -> Lead | None:
        """Promote the chosen server; None if another choice is needed."""
        clock = self._dependencies.clock
        deadline = clock.now() + PROMOTION_COMPLETION_SECONDS
        while clock.now() < deadline:
            self._dependencies.node.require_leadership()
            confirmation = self._confirm(server, basis)
            if confirmation is Confirmation.BROKEN:
                return None
            if confirmation is Confirmation.OPEN:
                self._progress.record_step("confirm", (server.name,))
                clock.sleep(FENCE_RETRY_SECONDS)
                continue
            token = self._calls.issue(server, promotion.term)
            if basis.has_joined and not self._leads(server):
                continue
            self._progress.record_step("promote", (server.name,))
            answer = self._calls.send(server, token)
            if answer is CallAnswer.ACCEPTED:
                return self._await_lead(server, token)
            clock.sleep(PROMOTION_RETRY_SECONDS)
            if answer is CallAnswer.REFUSED and not self._leads(server):
                return None
        return None

    def adopt(self, promotion: Promotion, server: BackendServer) -> Lead | None:
        """Rule out all open calls beside a server that leads already.

        None if that is not certain yet.
        """
        token = self._calls.issue(server, promotion.term)
        self._progress.record_step("adopt", (server.name,))
        if self._calls.send(server, token) is not CallAnswer.ACCEPTED:
            return None
        return self._await_lead(server, token)

    def _confirm(self, server: BackendServer, basis: ChoiceBasis) -> Confirmation:
        """Confirm the choice with the servers that have joined since.

        An earlier call may have been carried out. They then follow the new primary.
        """
        if not basis.has_joined or self._leads(server):
            return Confirmation.HOLDS
        return basis.confirm()

    def _await_lead(self, server: BackendServer, token: int) -> Lead | None:
        """Wait until a server whose promotion was accepted leads."""
        clock = self._dependencies.clock
        deadline = clock.now() + PROMOTION_COMPLETION_SECONDS
        state = self._await(server, lambda: clock.now() >= deadline)
        if state is None:
            return None
        if self._calls.has_rivals(server):
            # A call for another server may have been accepted just before, and takes
            # effect some time after that.
            clock.sleep(PROMOTION_EFFECT_SECONDS)
            term, state = state.term, self._dependencies.state_of(server)
            if state is None or state.role is not Role.PRIMARY or state.term != term:
                log_event("lead_not_kept", group=self._group, server=server.name)
                return None
        return Lead(epoch_of(server, state), token)

    def _await(
        self, server: BackendServer, is_over: Callable[[], bool]
    ) -> ServerState | None:
        while True:
            self._dependencies.node.require_leadership()
            state = self._dependencies.state_of(server)
            if state is not None and state.role is Role.PRIMARY:
                return state
            if is_over():
                return None
            self._dependencies.clock.sleep(PROMOTION_POLL_SECONDS)

    def _leads(self, server: BackendServer) -> bool:
        state = self._dependencies.state_of(server)
        return state is not None and state.role is Role.PRIMARY
