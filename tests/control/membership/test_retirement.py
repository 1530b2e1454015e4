"""Tests of when leaving servers stop getting new work."""

import unittest
from dataclasses import replace

from dogwoodspool_common import ManualClock
from dogwoodspool_control.commands import (
    Command,
    RecordServer,
    RetireServer,
    encode_command,
)
from dogwoodspool_control.errors import CommandRejectedError
from dogwoodspool_control.membership.retirement import Retirements
from dogwoodspool_control.state import ControlState

from ..fakes import FakeLog, Voter, populate, server

GRACE = 4.5


class RetirementTests(unittest.TestCase):
    """The end of a leaving server's grace period is committed once."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.log = FakeLog()
        self.voter = Voter(self.clock, self.log)
        self.other = Voter(self.clock, self.log)
        for voter in (self.voter, self.other):
            voter.state.begin_live(0)
        self.voter.lead(term=1)
        populate(self.voter, {"p1": "fd1"})
        self.leaving = server("s1", is_leaving=True, incarnation=5)

    def due(self, state: ControlState | None = None) -> list[RetireServer]:
        retirements = Retirements(state or self.voter.state, GRACE)
        return list(retirements.due_commands())

    def leave(self) -> None:
        self.voter.commit(RecordServer(self.leaving))

    def is_retired(self) -> bool:
        return self.voter.state.servers["s1"].is_retired

    def test_server_is_retired_after_the_grace_period(self) -> None:
        self.leave()
        self.clock.advance(GRACE - 0.1)
        self.assertEqual(self.due(), [])
        self.clock.advance(0.1)
        self.assertEqual(self.due(), [RetireServer("s1", 5)])
        self.voter.commit(RetireServer("s1", 5))
        self.assertTrue(self.is_retired())
        self.assertEqual(self.due(), [])

    def test_new_leader_goes_on_counting(self) -> None:
        """Guard against a period that begins anew with each leader."""
        self.leave()
        self.clock.advance(GRACE)
        self.voter.stop_leading()
        self.other.lead(term=2)
        self.assertEqual(self.due(self.other.state), [RetireServer("s1", 5)])

    def test_period_does_not_begin_again(self) -> None:
        """Guard against a period that begins anew with each change of the server."""
        self.leave()
        self.clock.advance(GRACE)
        self.voter.commit(RecordServer(replace(self.leaving, slots=7)))
        self.assertEqual(self.due(), [RetireServer("s1", 5)])

    def test_age_that_no_process_has_counted(self) -> None:
        """Guard against a period that begins anew when all processes start again."""
        self.leave()
        for last_index in (self.log.index, None):
            with self.subTest(last_index=last_index):
                restarted = ControlState(self.clock)
                if last_index is not None:
                    restarted.begin_live(last_index)
                leave = encode_command(RecordServer(self.leaving))
                restarted.apply(self.log.index, leave)
                self.assertEqual(self.due(restarted), [RetireServer("s1", 5)])

    def test_age_in_a_snapshot_is_not_known(self) -> None:
        """Guard against a period that begins anew at a process that catches up."""
        self.leave()
        restored = ControlState(self.clock)
        restored.begin_live(0)
        restored.restore(self.voter.state.snapshot())
        self.assertEqual(self.due(restored), [RetireServer("s1", 5)])

    def test_next_process_is_not_retired(self) -> None:
        """Guard against a server that gets no work after it has started again."""
        self.leave()
        self.voter.commit(RetireServer("s1", 5))
        self.clock.advance(GRACE)
        self.voter.commit(RecordServer(replace(self.leaving, incarnation=6)))
        self.assertFalse(self.is_retired())
        self.assertEqual(self.due(), [])

    def test_announcements_keep_the_retirement(self) -> None:
        """Guard against a late announcement that brings new work to the server."""
        self.leave()
        self.voter.commit(RetireServer("s1", 5))
        self.voter.commit(RecordServer(replace(self.leaving, slots=7)))
        self.assertTrue(self.is_retired())
        version = self.voter.state.version
        self.voter.commit(RecordServer(replace(self.leaving, slots=7)))
        self.assertEqual(self.voter.state.version, version)

    def test_retirement_of_another_process_is_rejected(self) -> None:
        """Guard against a command that was queued for an earlier process."""
        self.leave()
        rejected: list[Command] = [RetireServer("s1", 4), RetireServer("s9", 5)]
        rejected += [RetireServer("s2", 0)]
        for command in rejected:
            with self.subTest(command), self.assertRaises(CommandRejectedError):
                self.voter.commit(command)

    def test_retirement_is_kept_in_a_snapshot(self) -> None:
        self.leave()
        self.voter.commit(RetireServer("s1", 5))
        restored = ControlState(self.clock)
        restored.restore(self.voter.state.snapshot())
        self.assertTrue(restored.servers["s1"].is_retired)


if __name__ == "__main__":
    unittest.main()
