"""Carry out one change of primary, from its committed start to its end."""

from collections.abc import Iterable, Sequence
from dataclasses import replace

from dogwoodspool_common import BackendServer, Position, PrimaryEpoch, Role, log_event
from dogwoodspool_control.commands import (
    AbandonSwitchover,
    AdoptPrimary,
    BeginPromotion,
    ChoosePrimary,
    EndPromotion,
)
from dogwoodspool_control.models import Promotion, PromotionReason
from dogwoodspool_control.promotion.failovers import FailoverPhase
from dogwoodspool_control.promotion.worker import PromotionWorker

from .basis import ChoiceBasis
from .choice import (
    FailoverInput,
    SwitchoverInput,
    choose_primary,
    choose_successor,
    is_switchover_safe,
)
from .const import (
    FENCE_RETRY_SECONDS,
    PROMOTION_RETRY_SECONDS,
    SERVER_CALL_TIMEOUT,
    SWITCHOVER_TIMEOUT_SECONDS,
)
from .dependencies import ChangeDependencies, newest_term
from .ended import EndedServers
from .fencing import GroupFencing
from .models import Choice, ServerState
from .promotion_calls import PromotionCalls
from .takeover import Takeover
from .writers import is_newest_lead, sole_writer


class PrimaryChange(PromotionWorker):
    """Change the primary of one group: fence and choose, then promote."""

    def __init__(
        self,
        group: str,
        dependencies: ChangeDependencies,
        ended: EndedServers | None = None,
    ) -> None:
        super().__init__(
            group,
            dependencies.clock,
            dependencies.node,
            dependencies.state,
            dependencies.timeline,
        )
        self._dependencies = dependencies
        self._fencing = GroupFencing(dependencies)
        self._ended = ended or EndedServers(dependencies)
        self._basis: ChoiceBasis | None = None
        self._calls = PromotionCalls(group, dependencies)
        self._takeover = Takeover(group, dependencies, self._calls, self._progress)

    def servers_changed(self) -> None:
        """Fence servers that have joined since the choice; see ``PromotionWorker``."""
        basis = self._basis
        if basis is not None:
            basis.fence_joined()

    def advance(self, promotion: Promotion) -> None:
        """Carry out the step after the committed one; see ``PromotionWorker``."""
        if promotion.chosen is None:
            self._choose(promotion)
        else:
            self._promote(promotion)

    def _choose(self, promotion: Promotion) -> None:
        is_switchover = promotion.reason is PromotionReason.PLANNED
        if is_switchover:
            choice = self._await_switchover(promotion)
        else:
            choice = self._await_failover(promotion)
        if choice is None:
            return
        chosen = replace(promotion, chosen=choice.server)
        self._basis = self._basis_of(
            chosen, choice.members, is_switchover=is_switchover
        )
        self._log_basis(promotion, choice)
        command = ChoosePrimary(
            self._group, promotion.term, choice.server, choice.received.offset
        )
        self._dependencies.node.commit(command)
        self._dependencies.timeline.mark(
            self._group,
            FailoverPhase.CHOSEN,
            server=choice.server,
            offset=choice.received.offset,
        )

    def _basis_of(
        self,
        promotion: Promotion,
        members: Iterable[BackendServer],
        *,
        is_switchover: bool,
    ) -> ChoiceBasis:
        return ChoiceBasis(
            promotion,
            promotion.chosen or "",
            self._dependencies,
            self._fencing,
            members=members,
            is_switchover=is_switchover,
            ended=self._ended,
            failover_input=lambda known: self._failover_input(promotion, known),
        )

    def _failover_input(
        self, promotion: Promotion, members: Sequence[BackendServer]
    ) -> FailoverInput:
        fenced = self._fencing.fenced(members)
        group = self._dependencies.state.group(self._group)
        epoch = None if group is None else group.epoch
        ended = () if group is None else group.ended
        called = self._called()
        until_end = {} if epoch is None else self._fencing.fenced_until_end(members)
        return FailoverInput(
            members=members,
            fenced=fenced,
            fenced_until_end=until_end,
            writers=self._writers(promotion),
            sole_writer=sole_writer(epoch, members, fenced, called),
            refusing=self._fencing.refusing(members),
            is_newest_lead=is_newest_lead(epoch, members, fenced, called),
            ended=[
                one.name
                for one in members
                if one.is_gone and (one.name, one.incarnation) in ended
            ],
            epoch_start=None if epoch is None else epoch.start,
            unwanted=(promotion.old_primary,),
        )

    def _log_basis(self, promotion: Promotion, choice: Choice) -> None:
        fenced = self._fencing.fenced(choice.members)
        log_event(
            "choice_basis",
            group=self._group,
            term=promotion.term,
            reason=promotion.reason,
            old_primary=promotion.old_primary,
            chosen=choice.server,
            received=_text(choice.received),
            servers=",".join(
                f"{one.name}:{one.incarnation}:"
                + (_text(fenced[one.name].received) if one.name in fenced else "-")
                for one in choice.members
            ),
        )

    def _members(self) -> list[BackendServer]:
        return self._dependencies.state.servers_of(self._group)

    def _await_switchover(self, promotion: Promotion) -> Choice | None:
        """Choose while the old primary keeps serving; None if no switchover works.

        The change then goes on as a failover. That is committed first, as proxies must
        not pass on what the old primary acknowledges from now on.

        No write has to wait: the old primary serves until the platform has moved
        the primary role, and its acknowledged writes are on the successor by then.
        """
        clock = self._dependencies.clock
        deadline = clock.now() + SWITCHOVER_TIMEOUT_SECONDS
        while clock.now() < deadline:
            self._dependencies.node.require_leadership()
            choice = self._try_switchover(promotion)
            if choice is not None:
                return choice
            clock.sleep(FENCE_RETRY_SECONDS)
        log_event("handover_not_possible", group=self._group, term=promotion.term)
        self._dependencies.node.commit(AbandonSwitchover(self._group, promotion.term))
        return None

    def _try_switchover(self, promotion: Promotion) -> Choice | None:
        members = self._members()
        # Before the primary is asked, which then has all that they have confirmed.
        ended = [one.name for one in members if self._ended.has_ended(one)]
        states = self._states(members)
        primary = states.pop(promotion.old_primary, None)
        if primary is None or primary.role is not Role.PRIMARY:
            return None
        self._fencing.advance_term({**states, promotion.old_primary: primary})
        given = SwitchoverInput(
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
            if one.name not in (promotion.old_primary, successor, *ended)
        ]
        paused = self._fencing.pause(others)
        successor_states = self._states(
            [one for one in members if one.name == successor]
        )
        if successor not in successor_states:
            return None
        given = SwitchoverInput(
            promotion.old_primary,
            members,
            {**states, successor: successor_states[successor]},
            promotion.candidate,
            ended,
            primary.received,
        )
        if not is_switchover_safe(given, successor, paused):
            waiting = tuple(one.name for one in others if one.name not in paused)
            self._progress.record_step("handover", waiting, "replicas are not paused")
            return None
        received = successor_states[successor].received
        return Choice(successor, received, tuple(members))

    def _await_failover(self, promotion: Promotion) -> Choice | None:
        """Fence the group and choose; None if another server is primary already."""
        while True:
            self._dependencies.node.require_leadership()
            members = self._members()
            states = self._fencing.ask_all(members, promotion.old_primary)
            # Before the fencing, which would demote it.
            new_primary = self._find_new_primary(promotion, states)
            if new_primary is not None:
                if self._adopt(promotion, new_primary):
                    return None
                self._dependencies.clock.sleep(PROMOTION_RETRY_SECONDS)
                continue
            self._fencing.fence_all(members, states, promotion.old_primary)
            chosen = choose_primary(self._failover_input(promotion, members))
            if chosen.is_ok():
                return replace(chosen.ok, members=tuple(members))
            refusal = chosen.error
            self._progress.record_step("freeze", refusal.waiting_for, refusal.reason)
            if not self._is_current(promotion):
                return None
            self._dependencies.clock.sleep(FENCE_RETRY_SECONDS)

    def _find_new_primary(
        self, promotion: Promotion, states: dict[str, ServerState]
    ) -> str | None:
        """Return a server that has become primary under a newer term, if any.

        The platform may carry out a promotion request that got no answer after the
        control leader that sent it has abandoned the attempt. A server that calls
        itself the primary while another one knows a newer term has been replaced.
        """
        newest = newest_term(states.values())
        epoch = self._epoch()
        for name, one in states.items():
            if one.role is not Role.PRIMARY or one.term < newest:
                continue
            is_known = epoch is not None and one.term <= epoch.term
            if is_known or (epoch is None and name == promotion.old_primary):
                continue
            return name
        return None

    def _adopt(self, promotion: Promotion, name: str) -> bool:
        """Record a server that leads already; return whether that is certain."""
        server = self._dependencies.state.servers.get(name)
        self._ended.ask(self._members())
        lead = None if server is None else self._takeover.adopt(promotion, server)
        if lead is None:
            return False
        self._calls.report("adopted", promotion.term)
        self._dependencies.node.commit(
            AdoptPrimary(
                self._group,
                promotion.term,
                name,
                lead.epoch,
                lead.token,
                self._ended.names(self._members()),
            )
        )
        log_event(
            "primary_adopted",
            group=self._group,
            server=name,
            term=promotion.term,
            server_term=lead.epoch.term,
            fence=lead.token,
        )
        return True

    def _called(self) -> tuple[str, ...]:
        """Return the servers that calls of this change have named."""
        current = self._dependencies.state.promotion(self._group)
        return () if current is None else current.called

    def _epoch(self) -> PrimaryEpoch | None:
        group = self._dependencies.state.group(self._group)
        return None if group is None else group.epoch

    def _is_current(self, promotion: Promotion) -> bool:
        """Return whether no later step than that of a promotion is committed."""
        current = self._dependencies.state.promotion(self._group)
        return current is not None and (
            current.term,
            current.chosen,
            current.reason,
        ) == (promotion.term, promotion.chosen, promotion.reason)

    def _writers(self, promotion: Promotion) -> tuple[str, ...]:
        # The server chosen by an attempt that did not complete may be primary too.
        if promotion.term > promotion.old_term + 1:
            return tuple(one.name for one in self._members())
        return (promotion.old_primary,)

    def _states(self, servers: list[BackendServer]) -> dict[str, ServerState]:
        return self._dependencies.call_all(
            [one for one in servers if not one.is_gone],
            lambda server: self._dependencies.servers.status(
                server, SERVER_CALL_TIMEOUT
            ),
            SERVER_CALL_TIMEOUT,
        )

    def _promote(self, promotion: Promotion) -> None:
        server = self._dependencies.state.servers.get(promotion.chosen or "")
        basis = self._basis
        if basis is None or not basis.is_of(promotion):
            # An earlier leader committed the choice.
            is_switchover = promotion.reason is PromotionReason.PLANNED
            basis = self._basis_of(promotion, (), is_switchover=is_switchover)
            self._basis = basis
        lead = None
        self._ended.ask(self._members())
        if server is not None and not server.is_gone:
            lead = self._takeover.promote(promotion, server, basis)
        if lead is None:
            self._basis = None
            self._calls.report("restarted", promotion.term)
            self._restart(promotion)
            return
        self._basis = None
        self._calls.report("promoted", promotion.term)
        self._dependencies.executor.submit(self._log_positions, promotion)
        self._dependencies.timeline.mark(
            self._group, FailoverPhase.PROMOTED, term=promotion.term
        )
        # The group's servers track the branch offset of the term themselves, so the
        # offset is committed as 0.
        self._dependencies.node.commit(
            EndPromotion(
                self._group,
                promotion.term,
                0,
                lead.epoch,
                lead.token,
                self._ended.names(self._members()),
            )
        )
        self._dependencies.timeline.mark(
            self._group, FailoverPhase.ENDED, term=promotion.term
        )

    def _log_positions(self, promotion: Promotion) -> None:
        """Log the positions of all servers; the choice relied on the fenced ones."""
        group = self._dependencies.state.group(self._group)
        starts = () if group is None else group.term_starts
        fenced = self._fencing.fenced(self._members())
        for one in self._members():
            if one.is_gone:
                continue
            state = self._dependencies.state_of(one)
            if state is None:
                continue
            log_event(
                "position_after_change",
                group=self._group,
                term=promotion.term,
                server=one.name,
                is_chosen=one.name == promotion.chosen,
                role=state.role,
                server_term=state.term,
                paused_term=state.paused_term,
                fenced_at=_text(fenced[one.name].received)
                if one.name in fenced
                else "-",
                received=_text(state.received),
                chosen_at=starts[-1].offset if starts else None,
            )

    def _restart(self, promotion: Promotion) -> None:
        command = BeginPromotion(
            group=self._group,
            expected_term=promotion.term,
            reason=PromotionReason.FAILED,
            is_retry=True,
        )
        self._dependencies.node.commit(command)


def _text(position: Position) -> str:
    return f"{position.term}.{position.offset}"
