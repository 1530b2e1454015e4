"""What the leader of the control group does on its own."""

import threading

from dogwoodspool_common import Clock, GroupState, Phase, log_event
from dogwoodspool_consensus import Leadership
from dogwoodspool_control.command_queue import CommandQueue
from dogwoodspool_control.commands import BeginPromotion
from dogwoodspool_control.failovers import FailoverTimeline
from dogwoodspool_control.models import PromotionReason
from dogwoodspool_control.node import ControlNode
from dogwoodspool_control.state import ControlState

from .changes import PrimaryChanges
from .const import TICK_SECONDS
from .departures import Departures
from .detection import PrimaryJudge, PrimaryProbes, Verdict
from .heartbeats import HeartbeatBook
from .reports import ReportBook


class FailoverLoop:
    """Look at every group once per tick while this voter leads.

    Nothing here waits for a commit or a server: commands go to the queue and calls
    to the executor.
    """

    def __init__(
        self,
        clock: Clock,
        node: ControlNode,
        state: ControlState,
        *,
        heartbeats: HeartbeatBook,
        reports: ReportBook,
        probes: PrimaryProbes,
        judge: PrimaryJudge,
        departures: Departures,
        changes: PrimaryChanges,
        queue: CommandQueue,
        timeline: FailoverTimeline,
    ) -> None:
        self._clock = clock
        self._node = node
        self._state = state
        self._heartbeats = heartbeats
        self._reports = reports
        self._probes = probes
        self._judge = judge
        self._departures = departures
        self._changes = changes
        self._queue = queue
        self._timeline = timeline
        self._leadership_term: int | None = None
        self._changed = threading.Condition()
        self._is_woken = False
        self._is_closed = False
        self._thread = threading.Thread(
            target=self._run, name="failover-loop", daemon=True
        )

    def set_up(self) -> None:
        """Begin to look."""
        self._state.add_listener(self.wake)
        self._thread.start()

    def unload(self) -> None:
        """Stop looking."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()
        self._thread.join()

    def wake(self) -> None:
        """Look again without waiting for the next tick."""
        with self._changed:
            self._is_woken = True
            self._changed.notify_all()

    def tick(self) -> None:
        """Look at everything once."""
        leadership = self._node.catch_up()
        if leadership is None:
            self._timeline.keep_only(())
            return
        if leadership.term != self._leadership_term:
            self._begin(leadership)
        for command in self._departures.due_commands():
            if isinstance(command, BeginPromotion):
                self._timeline.begin(command.group, command.reason)
            self._queue.offer(command)
        in_trouble = [
            group.name
            for group in self._state.groups.values()
            if self._is_in_trouble(group)
        ]
        self._changes.run_missing()
        self._timeline.keep_only(
            {*in_trouble, *self._state.promotions, *self._changes.groups}
        )

    def _begin(self, leadership: Leadership) -> None:
        self._leadership_term = leadership.term
        log_event("leadership_began", term=leadership.term)
        self._heartbeats.start_over()
        self._reports.start_over()
        self._probes.start_over()
        self._departures.start_over()
        self._queue.clear()
        for name in self._state.groups:
            self._changes.resume_replicas(name)

    def _is_in_trouble(self, group: GroupState) -> bool:
        """Begin a change of primary where the present one is in trouble."""
        if group.phase is not Phase.STEADY or group.primary is None:
            return False
        primary = self._state.servers.get(group.primary)
        if primary is None or primary.is_gone:
            return False
        verdict = self._judge.verdict(primary)
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

    def _run(self) -> None:
        while True:
            self._tick_safely()
            with self._changed:
                if not self._is_closed and not self._is_woken:
                    self._clock.wait(self._changed, TICK_SECONDS)
                if self._is_closed:
                    return
                self._is_woken = False

    def _tick_safely(self) -> None:
        try:
            self.tick()
        except Exception as error:  # noqa: BLE001
            # A fault in one look must not end failure detection for good; the
            # next tick looks at everything afresh.
            log_event("tick_failed", level="ERROR", error=repr(error))
