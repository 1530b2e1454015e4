"""First half of a promotion: end the grants of the old term and choose a primary."""

from collections.abc import Mapping, Sequence

from dogwoodspool_backend import BackendError
from dogwoodspool_common import BackendServer, ServerStatus, log_event
from expression import Result

from ..commands import ChoosePrimary
from ..const import (
    CATCH_UP_SECONDS,
    CHOICE_GRACE_SECONDS,
    RELEASE_RETRY_SECONDS,
    STATUS_POLL_SECONDS,
)
from ..grants.release import GroupRelease
from ..models import ChoiceRefusal, Promotion, PromotionReason
from ..progress import PromotionProgress
from .candidates import Choice, ChoiceInput, choose_candidate
from .dependencies import PromotionDependencies
from .failovers import FailoverPhase
from .server_poll import ServerPoll


class ChooseStep:
    """Take one promotion from its start to its committed choice.

    Another leader may repeat every step: releasing twice is harmless, and only one
    choice is committed per term.
    """

    def __init__(
        self,
        promotion: Promotion,
        dependencies: PromotionDependencies,
        progress: PromotionProgress,
    ) -> None:
        self._promotion = promotion
        self._dependencies = dependencies
        self._progress = progress
        self._changer = dependencies.role_changers.of_group(promotion.group)
        self._release = GroupRelease(
            promotion,
            self._drain_ms(),
            clock=dependencies.clock,
            table=dependencies.table,
            ages=dependencies.ages,
            client=dependencies.release_client,
            executor=dependencies.executor,
        )

    def run(self) -> None:
        """Release the grants, choose a primary and commit the choice.

        Raises:
            LeadershipLostError: the next leader continues.
            OutcomeUnknownError: read the committed state again.
            CommandRejectedError: another choice was committed.
        """
        group = self._promotion.group
        self._await_release()
        self._dependencies.timeline.mark(group, FailoverPhase.RELEASED)
        choice = self._await_choice()
        command = ChoosePrimary(
            group, self._promotion.term, choice.server, choice.offset
        )
        self._dependencies.node.commit(command)
        self._dependencies.timeline.mark(
            group, FailoverPhase.CHOSEN, server=choice.server, offset=choice.offset
        )

    def _drain_ms(self) -> int:
        if self._promotion.reason is not PromotionReason.PLANNED:
            return 0
        settings = self._dependencies.state.settings.effective(self._promotion.group)
        return settings.release_drain_ms

    def _await_release(self) -> None:
        while True:
            self._dependencies.node.require_leadership()
            proxies = self._dependencies.state.proxies
            self._release.request(proxies)
            progress = self._release.progress(proxies)
            if progress.is_done:
                return
            self._progress.record_step(
                "release", progress.waiting_for, "grants may still be valid"
            )
            self._release.wait_for_answer(min(progress.seconds, RELEASE_RETRY_SECONDS))

    def _await_choice(self) -> Choice:
        must_catch_up = self._fence_old_primary()
        began_at = self._dependencies.clock.now()
        poll = ServerPoll(
            self._dependencies.clock, self._changer, self._dependencies.executor
        )
        while True:
            self._dependencies.node.require_leadership()
            waited = self._dependencies.clock.now() - began_at
            must_catch_up = must_catch_up and waited < CATCH_UP_SECONDS
            servers = self._dependencies.state.servers_of(self._promotion.group)
            poll.request(servers)
            if poll.is_waiting:
                poll.wait_for_answer(STATUS_POLL_SECONDS)
            if self._should_wait(servers, poll, waited):
                continue
            decision = self._decide(servers, poll.statuses, must_catch_up)
            match decision:
                case Result(tag="ok", ok=choice):
                    return choice
                case Result(error=refusal):
                    self._report_refusal(refusal)

    def _should_wait(
        self, servers: Sequence[BackendServer], poll: ServerPoll, waited: float
    ) -> bool:
        """Give replicas time to answer, so that the best one can be chosen."""
        if not poll.is_waiting or waited >= CHOICE_GRACE_SECONDS:
            return False
        old_primary = self._promotion.old_primary
        answered = poll.statuses
        return any(
            server.name not in answered
            for server in servers
            if server.name != old_primary
        )

    def _decide(
        self,
        servers: Sequence[BackendServer],
        statuses: Mapping[str, ServerStatus],
        must_catch_up: bool,
    ) -> Result[Choice, ChoiceRefusal]:
        promotion = self._promotion
        group = self._dependencies.state.group(promotion.group)
        return choose_candidate(
            ChoiceInput(
                promotion=promotion,
                servers=servers,
                statuses=statuses,
                acks=self._dependencies.table.acknowledged_writes(promotion.group),
                term_starts=() if group is None else group.term_starts,
                may_keep_primary=self._may_keep_primary(),
                must_catch_up=must_catch_up,
            )
        )

    def _may_keep_primary(self) -> bool:
        # The proxies may still be unable to reach it; promoting it again would only
        # cause the next failover.
        promotion = self._promotion
        return not self._dependencies.is_failed(promotion.group, promotion.old_primary)

    def _fence_old_primary(self) -> bool:
        """Stop writes at the old primary of a planned promotion.

        Returns:
            Whether its data is final, so that a replica can catch up completely.
        """
        promotion = self._promotion
        if promotion.reason is not PromotionReason.PLANNED:
            return False
        servers = self._dependencies.state.servers
        old_primary = servers.get(promotion.old_primary)
        if old_primary is None:
            return False
        self._progress.record_step("fence", (old_primary.name,))
        try:
            self._changer.fence(old_primary, promotion.term)
        except BackendError as error:
            log_event("fence_failed", server=old_primary.name, reason=error)
            return False
        return True

    def _report_refusal(self, refusal: ChoiceRefusal) -> None:
        self._progress.record_step("choice", refusal.waiting_for, refusal.reason)
        # A proxy that was unreachable before may now report what it acknowledged.
        self._release.request(self._dependencies.state.proxies)
        self._dependencies.clock.sleep(STATUS_POLL_SECONDS)
