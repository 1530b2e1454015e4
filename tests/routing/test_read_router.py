"""Tests of the choice of a server for a read."""

import random
import unittest
from dataclasses import replace
from typing import Any

from dogwoodspool_common import GroupState, ManualClock, Phase, Position, ServerStatus
from dogwoodspool_routing import (
    NoServerReason,
    ReadChoice,
    ReadNeed,
    ReadRouter,
    RouterSettings,
)

from .builders import GROUP, announcement, server, status, table_of

READ_SECONDS = 0.001
READ_SPACING_SECONDS = 0.02


class RouterTestCase(unittest.TestCase):
    """A group with primary a1 and replicas b1 and c1."""

    def setUp(self) -> None:
        self.clock = ManualClock()

    def fill(self, *statuses: ServerStatus) -> None:
        self.table = table_of(self.clock, *statuses)
        settings = RouterSettings(replica_wait_ms=20)
        self.router = ReadRouter(self.table, settings, random.Random(7))

    def choose(
        self,
        need: ReadNeed,
        own: str = "b",
        group: GroupState = GROUP,
        **more: Any,
    ) -> tuple[str, bool]:
        choice = self.router.choose(group, need, own_failure_domain=own, **more)
        self.assertTrue(choice.is_ok(), choice)
        chosen: ReadChoice = choice.ok
        self.assertEqual(chosen.is_primary, chosen.server.name == "a1")
        return chosen.server.name, chosen.must_check_status

    def refused(self, need: ReadNeed, **more: Any) -> NoServerReason:
        choice = self.router.choose(GROUP, need, own_failure_domain="b", **more)
        self.assertTrue(choice.is_error(), choice)
        self.assertGreater(choice.error.retry_after_ms, 0)
        return choice.error.reason


class ReplicaTests(RouterTestCase):
    """Replicas take the reads that their data satisfies."""

    def test_replica_of_the_own_failure_domain_is_preferred(self) -> None:
        self.fill(status("b1", 20), status("c1", 20))
        self.assertEqual(self.choose(ReadNeed(Position(2, 20))), ("b1", False))
        self.assertEqual(self.choose(ReadNeed(), own="c"), ("c1", False))

    def test_remote_replica_is_chosen_when_the_local_one_is_busy(self) -> None:
        self.fill(status("b1", 20), status("c1", 20))
        for _ in range(3):
            self.table.begin("b1")
        self.assertEqual(self.choose(ReadNeed()), ("c1", False))

    def test_slow_replica_is_tried_again_after_a_while(self) -> None:
        self.fill(status("b1", 20), status("c1", 20))
        self.table.begin("b1")
        self.table.end("b1", 0.5, is_answered=True)
        self.assertEqual(self.choose(ReadNeed()), ("c1", False))
        self.clock.advance(20)
        self.assertEqual(self.choose(ReadNeed()), ("b1", False))

    def test_replica_is_tried_again_while_a_faster_one_serves_all_reads(self) -> None:
        """Guard against one slow answer that costs a replica all later reads."""
        self.fill(status("b1", 20), status("c1", 20))
        for own, slow in (("a", "b1"), ("a", "c1"), ("b", "b1")):
            self.table.begin(slow)
            self.table.end(slow, 0.1, is_answered=True)
            self.assertIn(slow, self.served_within(20.0, own=own))

    def served_within(self, seconds: float, own: str) -> set[str]:
        """Return the servers of reads that take a millisecond each."""
        served = set()
        for _ in range(int(seconds / READ_SPACING_SECONDS)):
            name, _must_check = self.choose(ReadNeed(), own=own)
            self.table.begin(name)
            self.clock.advance(READ_SECONDS)
            self.table.end(name, READ_SECONDS, is_answered=True)
            self.clock.advance(READ_SPACING_SECONDS - READ_SECONDS)
            served.add(name)
        return served

    def test_replica_that_satisfies_is_preferred_to_a_local_one(self) -> None:
        self.fill(status("b1", 19), status("c1", 20))
        self.assertEqual(self.choose(ReadNeed(Position(2, 20))), ("c1", False))

    def test_status_of_a_replica_close_behind_is_checked(self) -> None:
        self.fill(status("b1", 19, lag_ms=5), status("c1", 15, lag_ms=900))
        self.assertEqual(self.choose(ReadNeed(Position(2, 20))), ("b1", True))

    def test_primary_is_chosen_when_replicas_are_far_behind(self) -> None:
        self.fill(status("b1", 19, lag_ms=500), status("c1", 19, lag_ms=500))
        need = ReadNeed(Position(2, 20))
        self.assertEqual(self.choose(need), ("a1", False))

    def test_replica_far_behind_is_checked_without_a_primary(self) -> None:
        self.fill(status("b1", 18, lag_ms=500), status("c1", 19, lag_ms=500))
        self.table.record_failure("a1")
        self.assertEqual(self.choose(ReadNeed(Position(2, 20))), ("c1", True))
        need = ReadNeed(Position(2, 20))
        exclude = {"b1", "c1"}
        reason = self.refused(need, exclude=exclude)
        self.assertEqual(reason, NoServerReason.PRIMARY_UNREACHABLE)

    def test_old_status_is_checked_again_for_a_maximum_age(self) -> None:
        self.fill(status("b1", 20, lag_ms=5))
        need = ReadNeed(max_age_ms=100)
        self.assertEqual(self.choose(need), ("b1", False))
        self.clock.advance(0.2)
        self.assertEqual(self.choose(need), ("b1", True))


class PrimaryTests(RouterTestCase):
    """Reads of sessions whose writes are not known."""

    def test_unknown_session_reads_the_primary(self) -> None:
        self.fill(status("b1", 20), status("c1", 20))
        need = ReadNeed(needs_primary=True)
        self.assertEqual(self.choose(need), ("a1", False))

    def test_read_is_refused_without_a_primary_during_a_promotion(self) -> None:
        self.fill()
        promoting = GroupState("orders", 3, None, Phase.PROMOTING, ())
        choice = self.router.choose(
            promoting, ReadNeed(needs_primary=True), own_failure_domain="b"
        )
        self.assertEqual(choice.error.reason, NoServerReason.NO_PRIMARY)


class DisconnectedTests(RouterTestCase):
    """Reads in a failure domain that is disconnected from control.

    Guards against stale reads where a replaced primary was disconnected too. A
    caller there would read data that was changed elsewhere long ago, although the
    replica reports no lag: its lag is measured against the primary that it follows,
    and that one has been replaced.
    """

    def test_age_counts_from_the_last_confirmation_by_control(self) -> None:
        self.fill(status("b1", 20))
        need = ReadNeed(max_age_ms=500)
        self.assertEqual(self.choose(need, unconfirmed_ms=400), ("b1", False))
        reason = self.refused(need, unconfirmed_ms=501)
        self.assertEqual(reason, NoServerReason.TERM_UNCONFIRMED)

    def test_unknown_session_is_refused(self) -> None:
        self.fill(status("b1", 20))
        reason = self.refused(ReadNeed(needs_primary=True), unconfirmed_ms=1)
        self.assertEqual(reason, NoServerReason.TERM_UNCONFIRMED)

    def test_known_session_is_served(self) -> None:
        self.fill(status("b1", 20))
        need = ReadNeed(Position(2, 20))
        self.assertEqual(self.choose(need, unconfirmed_ms=10**6), ("b1", False))


class LeavingTests(RouterTestCase):
    """A server that is leaving gets no new statements."""

    def test_leaving_replica_gets_none_from_the_first_announcement(self) -> None:
        self.fill(status("b1", 20), status("c1", 20))
        self.table.record_announcement(announcement("b1", is_leaving=True))
        self.assertEqual(self.choose(ReadNeed()), ("c1", False))

    def test_leaving_primary_gets_none_after_the_grace_period(self) -> None:
        self.fill(status("a1", 20, is_leaving=True))
        need = ReadNeed(needs_primary=True)
        self.assertEqual(self.choose(need), ("a1", False))
        self.clock.advance(2.0)
        reason = self.refused(need)
        self.assertEqual(reason, NoServerReason.PRIMARY_UNREACHABLE)

    def test_process_that_hears_late_of_a_leaving_primary(self) -> None:
        """Guard against a process that counts the period from its own start."""
        self.fill(status("a1", 20))
        retired = replace(server("a1", is_leaving=True), is_retired=True)
        self.table.adopt_committed([retired, server("b1"), server("c1")])
        reason = self.refused(ReadNeed(needs_primary=True))
        self.assertEqual(reason, NoServerReason.PRIMARY_UNREACHABLE)

    def test_next_process_of_a_retired_server(self) -> None:
        """Guard against a server that gets no work after it has started again."""
        self.fill(status("a1", 20))
        retired = replace(server("a1", is_leaving=True), is_retired=True)
        self.table.adopt_committed([retired])
        self.table.adopt_committed([replace(server("a1"), incarnation=1)])
        self.assertEqual(self.choose(ReadNeed(needs_primary=True))[0], "a1")
