"""Periodic work of the leader of the control group."""

from dogwoodspool_common import Clock, GroupState, Phase
from dogwoodspool_common.const import LEAVING_GRACE_SECONDS, MILLISECONDS

from .command_queue import CommandQueue
from .commands import BeginPromotion
from .const import TICK_SECONDS
from .membership.departures import Departures
from .membership.incarnations import IncarnationAges
from .membership.maintenance import AckAudit, LeaseBoundMaintenance
from .membership.membership import Membership
from .membership.retirement import Retirements
from .models import PromotionReason
from .node import ControlNode
from .promotion.detector import DetectorSettings, FailureDetector
from .promotion.failovers import FailoverTimeline
from .promotion.promoter import Promotions
from .promotion.reconciler import Reconciler
from .promotion.server_observations import ServerObservations
from .state import ControlState
from .ticking import LeaderTicker


class FailureWatch:
    """Evaluate the failure detector for the primary of each group."""

    def __init__(self, state: ControlState, detector: FailureDetector) -> None:
        self._state = state
        self._detector = detector

    def is_failed(self, group_name: str, server: str) -> bool:
        """Return whether the proxies observe that a server of a group has failed."""
        group = self._state.group(group_name)
        if group is None:
            return False
        settings = self._state.settings.effective(group_name)
        times = DetectorSettings(
            settings.failure_detect_ms / MILLISECONDS,
            settings.down_detect_ms / MILLISECONDS,
            settings.renew_interval_ms / MILLISECONDS,
        )
        proxies = self._state.proxies.values()
        return self._detector.is_failed(server, group.term, proxies, times)

    def failed_groups(self) -> list[GroupState]:
        """Return steady groups whose primary has failed."""
        return [
            group
            for group in self._state.groups.values()
            if group.phase is Phase.STEADY
            and group.primary is not None
            and self.is_failed(group.name, group.primary)
        ]


class LeaderLoop(LeaderTicker):
    """Run all periodic work once per tick, while this voter is the leader.

    Commands go to the queue and calls to the executor; see ``LeaderTicker``.
    """

    def __init__(
        self,
        clock: Clock,
        node: ControlNode,
        state: ControlState,
        *,
        ages: IncarnationAges,
        detector: FailureDetector,
        watch: FailureWatch,
        server_observations: ServerObservations,
        membership: Membership,
        departures: Departures,
        queue: CommandQueue,
        promotions: Promotions,
        reconciler: Reconciler,
        lease_bound: LeaseBoundMaintenance,
        ack_audit: AckAudit,
        timeline: FailoverTimeline,
    ) -> None:
        super().__init__("leader-loop", clock, node, state, timeline, TICK_SECONDS)
        self._ages = ages
        self._detector = detector
        self._watch = watch
        self._server_observations = server_observations
        self._membership = membership
        self._departures = departures
        self._queue = queue
        self._promotions = promotions
        self._reconciler = reconciler
        self._lease_bound = lease_bound
        self._ack_audit = ack_audit
        self._retirements = Retirements(state, LEAVING_GRACE_SECONDS)

    def tick(self) -> None:
        """Run one tick; process ages are tracked also while another voter leads."""
        self._ages.observe(self._state.proxies)
        super().tick()

    def begin_leadership(self) -> None:
        """Reset detector and observations, and drop the queued commands.

        From then on every proxy and server counts as just heard from.
        """
        interval = self._state.settings.root.renew_interval_ms / MILLISECONDS
        self._detector.reset(interval)
        self._server_observations.reset()
        self._queue.clear()

    def run_as_leader(self) -> None:
        """Queue the commands that are due and run the promotions in progress."""
        self._detector.tick()
        for command in self._membership.due_commands():
            self._queue.offer(command)
        for retirement in self._retirements.due_commands():
            self._queue.offer(retirement)
        for promotion in self._departures.due_commands():
            self._timeline.begin(promotion.group, promotion.reason)
            self._queue.offer(promotion)
        failed = self._watch.failed_groups()
        for group in failed:
            self._begin_promotion(group)
        self._timeline.keep_only(
            {
                *(group.name for group in failed),
                *self._state.promotions,
                *self._promotions.groups,
            }
        )
        self._promotions.run_missing()
        self._reconciler.run()
        self._run_maintenance()

    def _begin_promotion(self, group: GroupState) -> None:
        self._timeline.begin(group.name, PromotionReason.FAILED)
        self._queue.offer(
            BeginPromotion(group.name, group.term, PromotionReason.FAILED)
        )

    def _run_maintenance(self) -> None:
        lower = self._lease_bound.due_command()
        if lower is not None:
            self._queue.offer(lower)
        self._ack_audit.run()
        for command in self._ack_audit.due_commands():
            self._queue.offer(command)
