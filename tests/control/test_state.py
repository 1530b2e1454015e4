"""Tests of the replicated state."""

import json
import unittest

from dogwoodspool_common import Address, ManualClock, Phase
from dogwoodspool_control.commands import (
    BeginPromotion,
    BootstrapGroup,
    ChangeSettings,
    ChoosePrimary,
    Command,
    EndPromotion,
    ForgetProxy,
    LowerLeaseBound,
    RecordServer,
    RegisterProxy,
    RemoveServer,
    SettleWriteAcks,
    decode_command,
    encode_command,
)
from dogwoodspool_control.models import PromotionReason
from dogwoodspool_control.state import ControlState
from hypothesis import given, settings
from hypothesis import strategies as st

from .fakes import GROUP, server

NAMES = st.sampled_from(["a", "b", "c"])
SMALL = st.integers(0, 4)
ADDRESSES = st.builds(Address, st.just("127.0.0.1"), st.integers(1, 3))
OVERRIDES = st.sampled_from(
    [{}, {"lease_ms": 3000}, {"write_ack": "primary"}, {"max_proxies": 2}, {"bad": 1}]
)
COMMANDS: st.SearchStrategy[Command] = st.one_of(
    st.builds(RegisterProxy, NAMES, NAMES, NAMES, ADDRESSES),
    st.builds(ForgetProxy, NAMES),
    st.builds(RecordServer, st.builds(server, NAMES, NAMES, is_leaving=st.booleans())),
    st.builds(RemoveServer, NAMES),
    st.builds(BootstrapGroup, st.just(GROUP), SMALL, NAMES),
    st.builds(
        BeginPromotion,
        st.just(GROUP),
        SMALL,
        st.sampled_from(PromotionReason),
        st.none() | NAMES,
        st.booleans(),
        st.sampled_from(["", "c1", "c2"]),
    ),
    st.builds(ChoosePrimary, st.just(GROUP), SMALL, NAMES, SMALL),
    st.builds(EndPromotion, st.just(GROUP), SMALL, SMALL),
    st.builds(
        ChangeSettings, NAMES, st.sampled_from(["/", "/x"]), SMALL, OVERRIDES, NAMES
    ),
    st.builds(LowerLeaseBound, SMALL),
    st.builds(SettleWriteAcks, st.just(GROUP), SMALL),
)


class ControlStateTests(unittest.TestCase):
    """Voters that apply the same commands have the same state."""

    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(commands=st.lists(COMMANDS, max_size=25), cut=st.integers(0, 25))
    def test_restored_voter_stays_equal_to_the_others(
        self, commands: list[Command], cut: int
    ) -> None:
        one, other = (ControlState(ManualClock()) for _ in range(2))
        for index, command in enumerate(commands, start=1):
            entry = json.loads(json.dumps(encode_command(command)))
            self.assertEqual(decode_command(entry), command)
            if index == cut:
                snapshot = json.loads(json.dumps(other.snapshot()))
                other = ControlState(ManualClock())
                other.restore(snapshot)
            self.assertEqual(one.apply(index, entry), other.apply(index, entry))
        self.assertEqual(one.snapshot(), other.snapshot())
        self.assertEqual(one.view(), other.view())

    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(commands=st.lists(COMMANDS, max_size=25))
    def test_terms_increase_and_a_steady_group_has_a_primary(
        self, commands: list[Command]
    ) -> None:
        state = ControlState(ManualClock())
        term, version = 0, 0
        for index, command in enumerate(commands, start=1):
            state.apply(index, encode_command(command))
            self.assertGreaterEqual(state.version, version)
            version = state.version
            group = state.group(GROUP)
            if group is None:
                continue
            self.assertGreaterEqual(group.term, term)
            term = group.term
            is_promoting = state.promotion(GROUP) is not None
            self.assertEqual(group.phase is Phase.PROMOTING, is_promoting)
            if group.phase is Phase.STEADY:
                self.assertIsNotNone(group.primary)

    def test_snapshot_keeps_lease_bound_and_change_outcomes(self) -> None:
        """A voter starts from a snapshot after it has missed many changes.

        It must know the longer lease of earlier settings, and the outcome of an
        operator's change that is resent.
        """
        rejected = BeginPromotion(
            GROUP, 1, PromotionReason.PLANNED, None, change_id="c1"
        )
        commands: list[Command] = [
            ChangeSettings("s1", "/", 0, {"lease_ms": 6000, "clock_drift": 0.0}, "ana"),
            ChangeSettings("s2", "/", 1, {"lease_ms": 900, "clock_drift": 0.0}, "ana"),
            rejected,
            BootstrapGroup(GROUP, 1, "a"),
        ]
        state, restored = (ControlState(ManualClock()) for _ in range(2))
        for index, command in enumerate(commands, start=1):
            state.apply(index, encode_command(command))
        restored.restore(state.snapshot())
        self.assertEqual(restored.settings.lease_bound_ms, 6000)
        again = restored.apply(5, encode_command(rejected))
        self.assertFalse(again["is_accepted"])

    def test_change_resent_after_others_gets_its_first_outcome(self) -> None:
        """An operator's response is lost, and the change is resent after others.

        The response to the resend must name the version of the first one, and the
        resend must not create a new version, as it changes nothing.
        """
        first = ChangeSettings("c1", "/", 0, {"deadline_ms": 900}, "ana")
        other = ChangeSettings("c2", "/", 1, {"deadline_ms": 800}, "ben")
        state, restored = (ControlState(ManualClock()) for _ in range(2))
        outcome = state.apply(1, encode_command(first))
        state.apply(2, encode_command(other))
        restored.restore(state.snapshot())
        for voter in (state, restored):
            self.assertEqual(voter.apply(3, encode_command(first)), outcome)
            self.assertEqual(voter.version, 2)

    def test_server_that_a_promotion_may_need_is_not_removed(self) -> None:
        state = ControlState(ManualClock())
        begin = BeginPromotion(GROUP, 1, PromotionReason.FAILED)
        setup: list[Command] = [
            RecordServer(server("a")),
            RecordServer(server("b")),
            BootstrapGroup(GROUP, 1, "a"),
        ]
        for index, command in enumerate(setup, start=1):
            state.apply(index, encode_command(command))
        remove = [encode_command(RemoveServer(name)) for name in ("a", "b")]
        self.assertEqual(state.apply(4, remove[0])["code"], "conflict")
        state.apply(5, encode_command(begin))
        self.assertEqual(state.apply(6, remove[1])["code"], "conflict")

    def test_command_of_a_newer_version_changes_nothing(self) -> None:
        state = ControlState(ManualClock())
        self.assertFalse(state.apply(1, {"kind": "unheard_of"})["is_accepted"])
        self.assertEqual(state.version, 0)

    def test_resent_change_gets_the_first_outcome(self) -> None:
        state = ControlState(ManualClock())
        change = ChangeSettings("c1", "/", 0, {"deadline_ms": 900}, "ana")
        first = state.apply(1, encode_command(change))
        concurrent = ChangeSettings("c2", "/", 0, {"deadline_ms": 700}, "bo")
        self.assertEqual(state.apply(2, encode_command(concurrent))["code"], "conflict")
        self.assertEqual(state.apply(3, encode_command(change)), first)
        self.assertEqual(state.settings.root.deadline_ms, 900)
