"""Second half of a promotion: promote the chosen server to the new term."""

from dogwoodspool_backend import BackendError, RoleChanger
from dogwoodspool_common import Address, BackendServer, Role, ServerStatus, log_event

from ..commands import BeginPromotion, EndPromotion
from ..const import PROMOTE_ATTEMPT_SECONDS, PROMOTE_RETRY_SECONDS
from ..models import Promotion, PromotionReason
from ..progress import PromotionProgress
from .dependencies import PromotionDependencies
from .failovers import FailoverPhase


class PromoteStep:
    """Take one promotion from its committed choice to its end."""

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

    def run(self) -> None:
        """Promote the chosen server and end the promotion.

        If it does not answer for ``PROMOTE_ATTEMPT_SECONDS``, the promotion restarts
        under the next term. Errors as for ``ChooseStep.run``.
        """
        group, term = self._promotion.group, self._promotion.term
        status = self._await_promoted()
        if status is None:
            self._restart()
            return
        self._dependencies.timeline.mark(group, FailoverPhase.PROMOTED, term=term)
        self._request_follow()
        self._dependencies.node.commit(
            EndPromotion(group, term, status.position.offset)
        )
        self._dependencies.timeline.mark(group, FailoverPhase.ENDED, term=term)

    def _await_promoted(self) -> ServerStatus | None:
        deadline = self._dependencies.clock.now() + PROMOTE_ATTEMPT_SECONDS
        while self._dependencies.clock.now() < deadline:
            self._dependencies.node.require_leadership()
            server = self._dependencies.state.servers.get(self._promotion.chosen or "")
            if server is None:
                return None
            self._progress.record_step("promote", (server.name,))
            status = self._promote(server)
            if status is not None:
                return status
            self._dependencies.clock.sleep(PROMOTE_RETRY_SECONDS)
        return None

    def _promote(self, server: BackendServer) -> ServerStatus | None:
        try:
            status = self._changer.promote(server, self._promotion.term)
        except BackendError as error:
            log_event("promote_failed", server=server.name, reason=error)
            return None
        if not self._is_promoted(status):
            log_event("promote_refused", server=server.name, role=status.role)
            return None
        return status

    def _is_promoted(self, status: ServerStatus) -> bool:
        group = self._dependencies.state.group(self._promotion.group)
        if group is None or not group.term_starts:
            return False
        # A server that restarted since the choice may have lost entries for which it
        # was chosen; it must not become the primary of the term without them.
        return (
            status.role is Role.PRIMARY
            and status.position.term == self._promotion.term
            and status.position.offset >= group.term_starts[-1].offset
        )

    def _restart(self) -> None:
        command = BeginPromotion(
            group=self._promotion.group,
            expected_term=self._promotion.term,
            reason=PromotionReason.FAILED,
            is_retry=True,
        )
        self._dependencies.node.commit(command)

    def _request_follow(self) -> None:
        """Tell the other servers to follow immediately; the reconciler retries this."""
        servers = self._dependencies.state.servers_of(self._promotion.group)
        chosen = [one for one in servers if one.name == self._promotion.chosen]
        for primary in chosen:
            for server in servers:
                if server.name != primary.name:
                    self._dependencies.executor.submit(
                        follow,
                        self._changer,
                        server,
                        primary.address,
                        self._promotion.term,
                    )


def follow(
    changer: RoleChanger, server: BackendServer, primary: Address, term: int
) -> None:
    """Tell a server to follow its group's primary; log the result."""
    try:
        changer.follow(server, primary, term)
    except BackendError as error:
        log_event("follow_failed", server=server.name, term=term, reason=error)
    else:
        log_event("server_follows", server=server.name, term=term, primary=primary)
