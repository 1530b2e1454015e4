"""Tests of the choice of a new primary."""

import unittest
from dataclasses import replace

from dogwoodspool_common import BackendServer, Position, Role
from dogwoodspool_failover.choice import (
    FailoverInput,
    SwitchoverInput,
    choose_primary,
    choose_successor,
    is_switchover_safe,
)
from dogwoodspool_failover.models import ServerState
from hypothesis import given, settings
from hypothesis import strategies as st

from .fakes import FakeServer


def state(offset: int, term: int = 1, paused: int = 2) -> ServerState:
    """Return the answer of a paused replica."""
    return ServerState(Role.REPLICA, term, Position(term, offset), paused, 0.0)


def members(*names: str) -> list[BackendServer]:
    """Return servers by name."""
    return [FakeServer(name).described() for name in names]


class ChoosePrimaryTests(unittest.TestCase):
    """The chosen server has every acknowledged write, or none is chosen."""

    def test_most_advanced_replica_is_chosen(self) -> None:
        given_ = FailoverInput(
            members("s1", "s2", "s3"), {"s2": state(7), "s3": state(9)}, ("s1",)
        )
        self.assertEqual(choose_primary(given_).ok.server, "s3")

    def test_silent_replica_makes_the_old_primary_required(self) -> None:
        # The only replica with an acknowledged write is silent, and the primary is
        # dead. The other replica would be promoted without that write.
        given_ = FailoverInput(members("s1", "s2", "s3"), {"s2": state(7)}, ("s1",))
        refusal = choose_primary(given_).error
        self.assertEqual(set(refusal.waiting_for), {"s1", "s3"})

    def test_replica_level_with_the_demoted_primary_is_chosen(self) -> None:
        fenced = {"s1": state(9), "s2": state(9)}
        given_ = FailoverInput(
            members("s1", "s2", "s3"), fenced, ("s1",), unwanted=("s1",)
        )
        self.assertEqual(choose_primary(given_).ok.server, "s2")

    def test_demoted_primary_is_chosen_if_no_replica_has_its_writes(self) -> None:
        fenced = {"s1": state(9), "s2": state(8)}
        given_ = FailoverInput(
            members("s1", "s2", "s3"), fenced, ("s1",), unwanted=("s1",)
        )
        self.assertEqual(choose_primary(given_).ok.server, "s1")

    def test_writes_only_on_the_primary_count_as_unacknowledged(self) -> None:
        fenced = {"s1": state(12), "s2": state(8), "s3": state(9)}
        given_ = FailoverInput(
            members("s1", "s2", "s3"), fenced, ("s1",), unwanted=("s1",)
        )
        self.assertEqual(choose_primary(given_).ok.server, "s3")

    def test_ended_server_counts_until_its_writes_are_preserved(self) -> None:
        ended = [*members("s1", "s2", "s3")]
        ended[2] = replace(ended[2], is_gone=True)
        given_ = FailoverInput(ended, {"s2": state(7)}, ("s1",))
        self.assertTrue(choose_primary(given_).is_error())

    def test_member_that_ended_while_fenced_is_not_missing(self) -> None:
        """Guard against a group that waits for a server whose position is known."""
        given = self.after_ends({"s2": state(100)}, missing="s1")
        self.assertEqual(choose_primary(given).ok.server, "s3")

    def test_server_lacks_what_an_ended_member_had(self) -> None:
        """Guard against a choice without a write that only an ended server had."""
        given = self.after_ends({"s2": state(101)}, missing="s1")
        self.assertTrue(choose_primary(given).is_error())

    def test_writes_of_one_ended_member_alone_were_not_acknowledged(self) -> None:
        """Guard against a group that waits for what was never acknowledged."""
        for until_end in {"s1": state(105)}, {"s1": state(105), "s2": state(100)}:
            given = self.after_ends(until_end)
            self.assertIn(choose_primary(given).ok.server, ("s2", "s3"))

    def after_ends(
        self, until_end: dict[str, ServerState], missing: str = ""
    ) -> FailoverInput:
        """Return the input once some servers have ended, and others run at 100."""
        known = [
            replace(one, is_leaving=True, is_gone=True)
            if one.name in until_end
            else one
            for one in members("s1", "s2", "s3")
        ]
        running = [one.name for one in known if not one.is_gone and one.name != missing]
        return FailoverInput(
            known,
            {name: state(100) for name in running},
            ("s1", "s2", "s3"),
            fenced_until_end=until_end,
        )

    def test_staying_server_is_preferred_to_a_leaving_one(self) -> None:
        servers = members("s1", "s2", "s3")
        servers[1] = replace(servers[1], is_leaving=True)
        given_ = FailoverInput(servers, {"s2": state(9), "s3": state(9)}, ("s1",))
        self.assertEqual(choose_primary(given_).ok.server, "s3")

    @given(
        writes=st.lists(st.tuples(st.integers(1, 3), st.booleans()), max_size=12),
        frozen=st.sets(st.integers(0, 3), max_size=4),
    )
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_no_acknowledged_write_is_ever_lost(
        self, writes: list[tuple[int, bool]], frozen: set[int]
    ) -> None:
        """Compare with a model: each write reaches some replicas before its answer."""
        received = [0, 0, 0, 0]
        acknowledged = 0
        for replica, is_acknowledged in writes:
            received[0] += 1
            if is_acknowledged:
                received[replica] = received[0]
                acknowledged = received[0]
        names = ["s1", "s2", "s3", "s4"]
        answers = {names[i]: state(received[i]) for i in frozen}
        chosen = choose_primary(
            FailoverInput(members(*names), answers, ("s1",), unwanted=("s1",))
        )
        if chosen.is_ok():
            self.assertGreaterEqual(chosen.ok.received.offset, acknowledged)


class SwitchoverTests(unittest.TestCase):
    """A switchover from a working primary does not interrupt writes."""

    def test_most_advanced_staying_replica_is_the_successor(self) -> None:
        servers = members("s1", "s2", "s3")
        servers[2] = replace(servers[2], is_leaving=True)
        given_ = SwitchoverInput("s1", servers, {"s2": state(7), "s3": state(9)})
        self.assertEqual(choose_successor(given_).ok.server, "s2")

    def test_switchover_waits_until_other_replicas_are_paused(self) -> None:
        # A replica that is not paused lets the old primary acknowledge a write that
        # the successor does not have when it becomes the primary.
        given_ = SwitchoverInput(
            "s1", members("s1", "s2", "s3"), {"s2": state(9), "s3": state(9)}
        )
        self.assertFalse(is_switchover_safe(given_, "s2", {}))
        self.assertTrue(is_switchover_safe(given_, "s2", {"s3": state(9)}))

    def test_switchover_waits_until_the_successor_reaches_paused_replicas(self) -> None:
        given_ = SwitchoverInput(
            "s1", members("s1", "s2", "s3"), {"s2": state(8), "s3": state(9)}
        )
        self.assertFalse(is_switchover_safe(given_, "s2", {"s3": state(9)}))
