"""Tests of the loop in which a leader checks its groups."""

import unittest

from dogwoodspool_common import GroupState, Phase, PrimaryEpoch
from dogwoodspool_common.const import LONG_LEAVING_GRACE_SECONDS
from dogwoodspool_control.command_queue import CommandQueue
from dogwoodspool_control.models import PromotionReason
from dogwoodspool_failover.changes import PrimaryChanges
from dogwoodspool_failover.const import (
    EPOCH_RETRY_SECONDS,
    LATE_COMMAND_SECONDS,
    TICK_SECONDS,
)
from dogwoodspool_failover.departures import Departures
from dogwoodspool_failover.detection import PrimaryFailureDetector, PrimaryProbes
from dogwoodspool_failover.epochs import EpochChecks
from dogwoodspool_failover.loop import FailoverLoop
from dogwoodspool_failover.lost import LostServers
from dogwoodspool_failover.reports import ReportTracker

from .fakes import GROUP, DirectExecutor, Voter

JOIN_SECONDS = 20.0


class EpochLoopTests(unittest.TestCase):
    """A leader keeps the epochs of its groups, and looks at them after a change."""

    def lead(self, *, has_epoch: bool) -> None:
        """Begin a leadership."""
        self.voter = voter = Voter(has_epoch=has_epoch)
        clock, state = voter.clock, voter.state
        self.queue = CommandQueue(clock, voter.node)
        epochs = EpochChecks(voter.dependencies, self.queue)
        reports = ReportTracker(clock)
        probes = PrimaryProbes(clock, voter.group, DirectExecutor())
        self.changes = PrimaryChanges(voter.dependencies, epochs)
        self.loop = FailoverLoop(
            clock,
            voter.node,
            state,
            heartbeats=voter.heartbeats,
            reports=reports,
            probes=probes,
            detector=PrimaryFailureDetector(clock, reports, voter.heartbeats, probes),
            departures=Departures(clock, state, voter.dependencies),
            lost=LostServers(voter.dependencies, reports),
            changes=self.changes,
            epochs=epochs,
            queue=self.queue,
            timeline=voter.timeline,
        )
        self.loop.begin_leadership()

    @property
    def group(self) -> GroupState:
        group = self.voter.state.group(GROUP)
        assert group is not None
        return group

    def tick(self, seconds: float = TICK_SECONDS) -> None:
        """Let some time pass, then check once."""
        self.voter.clock.advance(seconds)
        self.loop.run_as_leader()
        self.queue.commit_next()

    def change(self) -> None:
        """Change the primary to s2, and compare its epoch."""
        self.voter.begin(PromotionReason.PLANNED)
        self.tick()
        self.changes.join(JOIN_SECONDS)
        self.tick(EPOCH_RETRY_SECONDS + 0.1)
        self.assertEqual(self.group.epoch, PrimaryEpoch("s2", 1, 2, 100))

    def test_epoch_after_bootstrap_is_recorded(self) -> None:
        """Guard against a leader that never asks for a group's epoch."""
        self.lead(has_epoch=False)
        self.tick()
        self.assertEqual(self.group.epoch, PrimaryEpoch("s1", 1, 1, 100))

    def test_leadership_begins_with_a_comparison(self) -> None:
        """Guard against a lead that began while no leader looked."""
        self.lead(has_epoch=True)
        self.voter.group.servers["s1"].term = 5
        self.tick()
        self.assertIs(self.group.phase, Phase.PROMOTING)

    def test_leaving_server_is_retired(self) -> None:
        """Guard against proxies that each count the grace period from their start."""
        self.lead(has_epoch=True)
        self.voter.state.begin_live(self.voter.log.index)
        s3 = self.voter.group.servers["s3"]
        self.voter.record(s3.described(is_leaving=True))
        self.tick(LONG_LEAVING_GRACE_SECONDS - 0.1)
        self.assertFalse(self.voter.state.servers["s3"].is_retired)
        self.tick(0.2)
        self.assertTrue(self.voter.state.servers["s3"].is_retired)

    def test_replica_is_looked_at_again_after_a_change(self) -> None:
        """Guard against a replica that a late command has paused for good."""
        self.lead(has_epoch=True)
        self.change()
        replica = self.voter.group.servers["s3"]
        replica.paused_term = 2
        self.tick(LATE_COMMAND_SECONDS + 0.1)
        self.assertEqual(replica.paused_term, 0)

    def test_epoch_is_compared_again_after_a_change(self) -> None:
        """Guard against a lead that a late call began after the change."""
        self.lead(has_epoch=True)
        self.change()
        self.voter.group.servers["s2"].term += 1
        for seconds in (1, LATE_COMMAND_SECONDS, 1, 1):
            self.tick(seconds)
            self.changes.join(JOIN_SECONDS)
        self.assertIs(self.group.phase, Phase.STEADY)
        self.assertEqual(self.group.epoch, PrimaryEpoch("s2", 1, 3, 100))
