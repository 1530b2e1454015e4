"""Periodic tasks of the leader of the control group."""

from dogwoodspool_common import Clock, GroupState, Phase, log_event
from dogwoodspool_common.const import LONG_LEAVING_GRACE_SECONDS
from dogwoodspool_control.command_queue import CommandQueue
from dogwoodspool_control.commands import BeginPromotion
from dogwoodspool_control.membership.retirement import Retirements
from dogwoodspool_control.models import PromotionReason
from dogwoodspool_control.node import ControlNode
from dogwoodspool_control.promotion.failovers import FailoverTimeline
from dogwoodspool_control.state import ControlState
from dogwoodspool_control.ticking import LeaderTicker

from .changes import PrimaryChanges
from .const import TICK_SECONDS
from .departures import Departures
from .detection import PrimaryFailureDetector, PrimaryProbes, Verdict
from .epochs import EpochChecks
from .heartbeats import HeartbeatTracker
from .lost import LostServers
from .reports import ReportTracker


class FailoverLoop(LeaderTicker):
    """Check every group once per tick while this voter is the leader.

    Commands go to the queue and calls to the executor; see ``LeaderTicker``.
    """

    def __init__(
        self,
        clock: Clock,
        node: ControlNode,
        state: ControlState,
        *,
        heartbeats: HeartbeatTracker,
        reports: ReportTracker,
        probes: PrimaryProbes,
        detector: PrimaryFailureDetector,
        departures: Departures,
        lost: LostServers,
        changes: PrimaryChanges,
        epochs: EpochChecks,
        queue: CommandQueue,
        timeline: FailoverTimeline,
    ) -> None:
        super().__init__("failover-loop", clock, node, state, timeline, TICK_SECONDS)
        self._heartbeats = heartbeats
        self._reports = reports
        self._probes = probes
        self._detector = detector
        self._departures = departures
        self._lost = lost
        self._retirements = Retirements(state, LONG_LEAVING_GRACE_SECONDS)
        self._changes = changes
        self._epochs = epochs
        self._queue = queue

    def begin_leadership(self) -> None:
        """Reset all trackers and resume replicas that an earlier leader left paused.

        Every server then counts as just heard.
        """
        self._heartbeats.reset()
        self._reports.reset()
        self._probes.reset()
        self._departures.reset()
        self._lost.reset()
        self._queue.clear()
        self._epochs.reset(self._state.groups)
        self._changes.begin_leadership()

    def run_as_leader(self) -> None:
        """Queue the commands that are due and run the changes of primary."""
        for command in self._departures.due_commands():
            if isinstance(command, BeginPromotion):
                self._timeline.begin(command.group, command.reason)
            self._queue.offer(command)
        for command in self._retirements.due_commands():
            self._queue.offer(command)
        for command in self._lost.due_commands():
            self._queue.offer(command)
        failing = [
            group.name
            for group in self._state.groups.values()
            if self._begin_change_if_failing(group)
        ]
        self._epochs.run(self._state.groups.values())
        self._changes.check_late()
        self._changes.run_missing()
        self._changes.notify_servers()
        self._timeline.keep_only(
            {*failing, *self._state.promotions, *self._changes.groups}
        )

    def _begin_change_if_failing(self, group: GroupState) -> bool:
        """Begin a change of primary if the current primary is failing.

        Returns:
            Whether it is failing.
        """
        if group.phase is not Phase.STEADY or group.primary is None:
            return False
        primary = self._state.servers.get(group.primary)
        if primary is None or primary.is_gone:
            return False
        verdict = self._detector.verdict(primary, group.term)
        if verdict is None:
            return False
        log_event(
            "primary_in_trouble",
            group=group.name,
            server=primary.name,
            term=group.term,
            verdict=verdict,
        )
        is_cut_off = verdict is Verdict.CUT_OFF
        reason = PromotionReason.PLANNED if is_cut_off else PromotionReason.FAILED
        self._timeline.begin(group.name, reason)
        self._queue.offer(BeginPromotion(group.name, group.term, reason))
        return True
