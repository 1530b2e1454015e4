"""Carry one change of primary from its committed beginning to its end."""

from dogwoodspool_common import BackendServer, Role, log_event
from dogwoodspool_control.commands import (
    AdoptPrimary,
    BeginPromotion,
    ChoosePrimary,
    EndPromotion,
    IssueToken,
)
from dogwoodspool_control.models import Promotion, PromotionReason
from dogwoodspool_control.promotion.failovers import FailoverPhase
from dogwoodspool_control.promotion.worker import PromotionWorker

from .choice import (
    FailoverInput,
    HandoverInput,
    choose_primary,
    choose_successor,
    is_handover_safe,
)
from .const import (
    FREEZE_RETRY_SECONDS,
    HANDOVER_FREEZE_SECONDS,
    PROMOTION_CALL_TIMEOUT,
    PROMOTION_RETRY_SECONDS,
    SERVER_CALL_TIMEOUT,
    TAKE_OVER_POLL_SECONDS,
    TAKE_OVER_SECONDS,
)
from .errors import PromotionRefusedError, PromotionUnknownError, ServerCallError
from .freeze import GroupFreeze
from .models import Choice, ServerState
from .parts import ChangeParts


class PrimaryChange(PromotionWorker):
    """Work on one group's change of primary: freeze and choose, then promote."""

    def __init__(self, group: str, parts: ChangeParts) -> None:
        super().__init__(group, parts.clock, parts.node, parts.state, parts.timeline)
        self._parts = parts
        self._freeze = GroupFreeze(parts)

    def carry_on(self, promotion: Promotion) -> None:
        """Do what follows the committed step; see ``PromotionWorker``."""
        if promotion.chosen is None:
            self._choose(promotion)
        else:
            self._promote(promotion)

    def _choose(self, promotion: Promotion) -> None:
        choice = None
        if promotion.reason is PromotionReason.PLANNED:
            choice = self._await_handover(promotion)
        if choice is None:
            choice = self._await_failover(promotion)
        if choice is None:
            return
        command = ChoosePrimary(
            self._group, promotion.term, choice.server, choice.received.offset
        )
        self._parts.node.commit(command)
        self._parts.timeline.mark(
            self._group,
            FailoverPhase.CHOSEN,
            server=choice.server,
            offset=choice.received.offset,
        )

    def _members(self) -> list[BackendServer]:
        return self._parts.state.servers_of(self._group)

    def _await_handover(self, promotion: Promotion) -> Choice | None:
        """Choose while the old primary goes on; None where that does not work.

        No write has to wait: the old primary serves until the platform has moved
        the lead, and its acknowledged writes are on the successor by then.
        """
        clock = self._parts.clock
        deadline = clock.now() + HANDOVER_FREEZE_SECONDS
        while clock.now() < deadline:
            self._parts.node.require_leadership()
            choice = self._try_handover(promotion)
            if choice is not None:
                return choice
            clock.sleep(FREEZE_RETRY_SECONDS)
        log_event("handover_not_possible", group=self._group, term=promotion.term)
        return None

    def _try_handover(self, promotion: Promotion) -> Choice | None:
        members = self._members()
        states = self._states(members)
        primary = states.pop(promotion.old_primary, None)
        if primary is None or primary.role is not Role.PRIMARY:
            return None
        self._freeze.learn_terms({**states, promotion.old_primary: primary})
        given = HandoverInput(
            promotion.old_primary, members, states, promotion.candidate
        )
        chosen = choose_successor(given)
        if chosen.is_error():
            self._progress.record_step(
                "handover", chosen.error.waiting_for, chosen.error.reason
            )
            return None
        successor = chosen.ok.server
        others = [
            one
            for one in members
            if one.name not in (promotion.old_primary, successor) and not one.is_gone
        ]
        paused = self._freeze.pause(others)
        reached = self._states([one for one in members if one.name == successor])
        if successor not in reached:
            return None
        given = HandoverInput(
            promotion.old_primary,
            members,
            {**states, successor: reached[successor]},
            promotion.candidate,
        )
        if not is_handover_safe(given, successor, paused):
            waiting = tuple(one.name for one in others if one.name not in paused)
            self._progress.record_step("handover", waiting, "replicas are not paused")
            return None
        return Choice(successor, reached[successor].received)

    def _await_failover(self, promotion: Promotion) -> Choice | None:
        """Freeze the group and choose; None where another server leads already."""
        while True:
            self._parts.node.require_leadership()
            members = self._members()
            states = self._freeze.try_all(members, promotion.old_primary)
            if self._adopt_leading(promotion, states):
                return None
            chosen = choose_primary(
                FailoverInput(
                    members=members,
                    frozen=self._freeze.frozen(members),
                    writers=self._writers(promotion),
                    unwanted=(promotion.old_primary,),
                )
            )
            if chosen.is_ok():
                return chosen.ok
            refusal = chosen.error
            self._progress.record_step("freeze", refusal.waiting_for, refusal.reason)
            if self._parts.state.promotion(self._group) != promotion:
                return None
            self._parts.clock.sleep(FREEZE_RETRY_SECONDS)

    def _adopt_leading(
        self, promotion: Promotion, states: dict[str, ServerState]
    ) -> bool:
        """Record a server that leads a newer term than the old primary's.

        An order without an answer may have been carried out after its leader had
        given it up.
        """
        leading = {
            name: one
            for name, one in states.items()
            if one.role is Role.PRIMARY and name != promotion.old_primary
        }
        if not leading:
            return False
        newest = max(leading, key=lambda name: leading[name].term)
        self._parts.node.commit(AdoptPrimary(self._group, promotion.term, newest))
        log_event("primary_adopted", group=self._group, server=newest)
        return True

    def _writers(self, promotion: Promotion) -> tuple[str, ...]:
        # After an attempt that did not end, the server chosen then may lead too.
        if promotion.term > promotion.old_term + 1:
            return tuple(one.name for one in self._members())
        return (promotion.old_primary,)

    def _states(self, servers: list[BackendServer]) -> dict[str, ServerState]:
        return self._parts.ask_all(
            [one for one in servers if not one.is_gone],
            lambda server: self._parts.servers.status(server, SERVER_CALL_TIMEOUT),
            SERVER_CALL_TIMEOUT,
        )

    def _promote(self, promotion: Promotion) -> None:
        server = self._parts.state.servers.get(promotion.chosen or "")
        if server is None or server.is_gone or not self._order(promotion, server):
            self._begin_again(promotion)
            return
        self._parts.timeline.mark(
            self._group, FailoverPhase.PROMOTED, term=promotion.term
        )
        # The branch is known to the group's servers themselves.
        self._parts.node.commit(EndPromotion(self._group, promotion.term, 0))
        self._parts.timeline.mark(self._group, FailoverPhase.ENDED, term=promotion.term)

    def _order(self, promotion: Promotion, server: BackendServer) -> bool:
        """Order the promotion and wait until the server leads."""
        clock = self._parts.clock
        deadline = clock.now() + TAKE_OVER_SECONDS
        while clock.now() < deadline:
            self._parts.node.require_leadership()
            token = self._issue_token()
            self._progress.record_step("promote", (server.name,))
            try:
                self._parts.service.promote(
                    server, self._parts.holder, token, PROMOTION_CALL_TIMEOUT
                )
            except PromotionRefusedError as error:
                log_event(
                    "promotion_refused", server=server.name, fence=token, reason=error
                )
                return self._leads(server)
            except PromotionUnknownError as error:
                log_event(
                    "promotion_unknown", server=server.name, fence=token, reason=error
                )
                clock.sleep(PROMOTION_RETRY_SECONDS)
                continue
            log_event("promotion_ordered", server=server.name, fence=token)
            return self._await_lead(server, deadline)
        return False

    def _issue_token(self) -> int:
        """Commit a fencing token before the call that it stands for.

        Whoever calls after this, here or at the next leader, has a higher one, so
        that a call which is carried out late loses against it.
        """
        command = IssueToken(self._group, self._parts.holder)
        return self._parts.node.commit(command).version

    def _await_lead(self, server: BackendServer, deadline: float) -> bool:
        clock = self._parts.clock
        while True:
            self._parts.node.require_leadership()
            if self._leads(server):
                return True
            if clock.now() >= deadline:
                return False
            clock.sleep(TAKE_OVER_POLL_SECONDS)

    def _leads(self, server: BackendServer) -> bool:
        if self._parts.heartbeats.role(server) is Role.PRIMARY:
            return True
        try:
            state = self._parts.servers.status(server, SERVER_CALL_TIMEOUT)
        except ServerCallError as error:
            log_event("server_call_failed", server=server.name, reason=error)
            return False
        return state.role is Role.PRIMARY

    def _begin_again(self, promotion: Promotion) -> None:
        command = BeginPromotion(
            group=self._group,
            expected_term=promotion.term,
            reason=PromotionReason.FAILED,
            is_retry=True,
        )
        self._parts.node.commit(command)
