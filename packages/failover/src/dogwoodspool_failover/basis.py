"""The servers that the choice of a new primary rests on."""

import threading
from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum

from dogwoodspool_common import BackendServer, Role, log_event
from dogwoodspool_control.models import Promotion

from .choice import (
    FailoverInput,
    SwitchoverInput,
    choose_primary,
    is_qualified,
    is_switchover_safe,
)
from .const import FENCE_GRACE_SECONDS, SERVER_CALL_TIMEOUT
from .dependencies import ChangeDependencies
from .ended import EndedServers
from .errors import ServerCallError
from .fencing import GroupFencing
from .models import ServerState


class Confirmation(StrEnum):
    """Whether a choice still holds.

    Attributes:
        HOLDS: the chosen server has every acknowledged write.
        OPEN: servers that have joined must be fenced first, or the chosen server must
            reach their positions.
        BROKEN: another server must be chosen.
    """

    HOLDS = "holds"
    OPEN = "open"
    BROKEN = "broken"


class ChoiceBasis:
    """Keep a choice valid until the chosen server is the primary.

    A server that joins the group or restarts after the choice is not fenced: the old
    primary can acknowledge writes with it that the chosen server never receives. Such
    a server is fenced as soon as it is recorded, and the choice is confirmed with it
    before each promotion request.

    Args:
        promotion: the promotion.
        chosen: the chosen server.
        members: the servers that were considered in the choice. None of them is known
            if an earlier leader made it, and all servers then count as joined.
        is_switchover: whether the old primary serves until the promotion.
        ended: tells which members have ended for good.
        failover_input: returns the input of the choice for the group's members.
    """

    def __init__(
        self,
        promotion: Promotion,
        chosen: str,
        dependencies: ChangeDependencies,
        fencing: GroupFencing,
        *,
        members: Iterable[BackendServer],
        is_switchover: bool,
        ended: EndedServers,
        failover_input: Callable[[Sequence[BackendServer]], FailoverInput],
    ) -> None:
        self._promotion = promotion
        self._chosen = chosen
        self._dependencies = dependencies
        self._fencing = fencing
        self._is_switchover = is_switchover
        self._ended = ended
        self._failover_input = failover_input
        self._lock = threading.Lock()
        self._known = {(one.name, one.incarnation) for one in members}
        self._is_inherited = not self._known
        # Servers that are asked during a switchover and not fenced.
        self._serving = {chosen}
        if self._is_inherited:
            self._serving.add(promotion.old_primary)
        self._in_flight: set[tuple[str, int]] = set()

    @property
    def has_joined(self) -> bool:
        """Return whether servers have joined that the choice does not consider."""
        return bool(self._joined(self._members()))

    def is_of(self, promotion: Promotion) -> bool:
        """Return whether this is the basis of a promotion's committed choice."""
        is_same_term = promotion.term == self._promotion.term
        return is_same_term and promotion.chosen == self._chosen

    def fence_joined(self) -> None:
        """Fence servers that have joined; return without waiting for their answers.

        A repeated call fences those that did not answer before.
        """
        members = self._members()
        fenced = self._fencing.fenced(members)
        for server in self._joined(members):
            key = server.name, server.incarnation
            with self._lock:
                if key in self._in_flight or server.name in fenced:
                    continue
                if server.name == self._chosen:
                    continue
                self._in_flight.add(key)
            self._dependencies.executor.submit(self._fence_in_background, server)

    def confirm(self) -> Confirmation:
        """Fence the servers that have joined and check the choice with them."""
        members = self._members()
        joined = self._joined(members)
        if not joined:
            return Confirmation.HOLDS
        if self._is_switchover and any(one.name == self._chosen for one in joined):
            # It has restarted, and may lack what was acknowledged with it alone.
            return Confirmation.BROKEN
        answers = self._fence(members, joined)
        result = self._check(members, answers)
        for server in joined:
            self._log_joined(server, result)
        if result is Confirmation.HOLDS:
            # One that is not fenced was counted as such in the check.
            with self._lock:
                self._known |= {(one.name, one.incarnation) for one in joined}
        return result

    def _members(self) -> list[BackendServer]:
        return self._dependencies.state.servers_of(self._promotion.group)

    def _joined(self, members: Iterable[BackendServer]) -> list[BackendServer]:
        with self._lock:
            known = set(self._known)
        exempt = set()
        if self._is_switchover:
            exempt = {self._promotion.old_primary}
            if all(name != self._chosen for name, _ in known):
                exempt.add(self._chosen)
        return [
            one
            for one in members
            if not one.is_gone
            and one.name not in exempt
            and (one.name, one.incarnation) not in known
        ]

    def _fence(
        self, members: list[BackendServer], joined: list[BackendServer]
    ) -> dict[str, ServerState]:
        fenced = self._fencing.fenced(members)
        called = [one for one in joined if one.name not in fenced]
        if self._is_switchover:
            # What was acknowledged with a server that has ended is on the old primary.
            if any(one.is_gone for one in members):
                self._serving.add(self._promotion.old_primary)
            called += [one for one in members if one.name in self._serving]
        return self._dependencies.call_all(
            called,
            self._fence_or_ask,
            SERVER_CALL_TIMEOUT + FENCE_GRACE_SECONDS,
            "" if self._is_switchover else self._promotion.old_primary,
        )

    def _fence_or_ask(self, server: BackendServer) -> ServerState:
        if self._is_switchover and server.name in self._serving:
            return self._dependencies.servers.status(server, SERVER_CALL_TIMEOUT)
        return self._fencing.fence_joined(
            server, may_step_down=self._may_step_down(server), may_raise_term=True
        )

    def _may_step_down(self, server: BackendServer) -> bool:
        return not self._is_switchover and server.name != self._chosen

    def _check(
        self, members: list[BackendServer], answers: dict[str, ServerState]
    ) -> Confirmation:
        fenced = self._fencing.fenced(members)
        if self._is_switchover:
            if self._chosen not in answers:
                return Confirmation.OPEN
            if self._is_inherited and self._promotion.old_primary not in answers:
                return Confirmation.BROKEN
            if self._is_inherited and not self._has_caught_up(answers):
                return Confirmation.OPEN
            states = {self._chosen: answers[self._chosen]}
            old_primary = answers.get(self._promotion.old_primary)
            given = SwitchoverInput(
                self._promotion.old_primary,
                members,
                states,
                ended=[one.name for one in members if self._ended.has_ended(one)],
                primary_received=None if old_primary is None else old_primary.received,
            )
            is_safe = is_switchover_safe(given, self._chosen, fenced)
            return Confirmation.HOLDS if is_safe else Confirmation.OPEN
        failover = self._failover_input(members)
        if is_qualified(failover, self._chosen):
            return Confirmation.HOLDS
        is_other = choose_primary(failover).is_ok()
        return Confirmation.BROKEN if is_other else Confirmation.OPEN

    def _has_caught_up(self, answers: dict[str, ServerState]) -> bool:
        """Return whether the chosen server has what the old primary had.

        It may have restarted without its log while the leader changed, and be the only
        one with which the old primary acknowledged a write.
        """
        old_primary = answers[self._promotion.old_primary]
        return answers[self._chosen].received >= old_primary.received

    def _fence_in_background(self, server: BackendServer) -> None:
        try:
            answer = self._fencing.fence_joined(
                server, may_step_down=self._may_step_down(server), may_raise_term=False
            )
        except ServerCallError as error:
            log_event("server_call_failed", server=server.name, reason=error)
        else:
            log_event(
                "server_joined_fenced",
                group=server.group,
                server=server.name,
                incarnation=server.incarnation,
                is_paused=bool(answer.paused_term),
                is_primary=answer.role is Role.PRIMARY,
                received=f"{answer.received.term}.{answer.received.offset}",
            )
        finally:
            with self._lock:
                self._in_flight.discard((server.name, server.incarnation))

    def _log_joined(self, server: BackendServer, result: Confirmation) -> None:
        state = self._fencing.fenced([server]).get(server.name)
        position = state and f"{state.received.term}.{state.received.offset}"
        log_event(
            "server_joined_change",
            group=server.group,
            term=self._promotion.term,
            chosen=self._chosen,
            server=server.name,
            incarnation=server.incarnation,
            received=position,
            choice=result,
        )
