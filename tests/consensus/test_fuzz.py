"""Stateful fuzzing of a cluster against a simple oracle."""

import unittest

from dogwoodspool_common import DogwoodspoolError
from dogwoodspool_consensus import (
    NotConfirmedError,
    NotLeaderError,
    PeerCallError,
    Role,
)
from dogwoodspool_consensus.proposals import Proposal
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from .fakes import Cluster, SimulatedCrashError

COUNT = 3
# Faults of the leader matter most, so nodes are drawn by rank.
RANKS = st.sampled_from((0, 0, 1, 2))
SECONDS = st.sampled_from((0.1, 0.4, 2.0, 2.0))
SHORT = st.sampled_from((0.2, 0.5, 0.8))
FATES = st.sampled_from(("freeze", "freeze", "deliver", "lose"))
FAULTS = st.sampled_from(("crash", "cut", "freeze"))


class ConsensusMachine(RuleBasedStateMachine):
    """Crash, partition, freeze and wipe nodes; lose, delay and repeat messages.

    The oracle is the first command seen at each index (``Cluster.committed``),
    the commands that were answered, and the leader of each term.
    """

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Cluster(COUNT, rates=(0.98, 1.0, 1.02))
        self.proposals: dict[str, Proposal] = {}
        self.leader_of: dict[int, str] = {}
        self.wiped: str | None = None
        self.cluster.on_step = self.check_leaders

    @initialize()
    def elect(self) -> None:
        self.cluster.leader()

    @rule(rank=RANKS, seconds=SECONDS)
    def run_one(self, rank: int, seconds: float) -> None:
        self.cluster.advance(seconds)
        self.cluster.step(self.cluster.node_of_rank(rank))

    @rule(rank=RANKS, fault=FAULTS, seconds=SECONDS, heals=st.booleans())
    def fail(self, rank: int, fault: str, seconds: float, heals: bool) -> None:
        """Let one node fail, possibly at the moment at which others return."""
        name = self.cluster.node_of_rank(rank)
        if heals:
            self.cluster.heal()
        self._fail(name, fault)
        self._propose_everywhere()
        self.cluster.run(seconds)

    @rule(peer=RANKS, before=SHORT, fault=FAULTS, after=SHORT, restarts=st.booleans())
    def fail_half_cut(
        self, peer: int, before: float, fault: str, after: float, restarts: bool
    ) -> None:
        """Let the leader fail when one follower has not heard from it for a while.

        That follower is the first to time out, while the other one still follows the
        leader or has just restarted.
        """
        self.cluster.heal()
        names = [self.cluster.node_of_rank(rank) for rank in range(COUNT)]
        cut_off = names[1 + peer % 2]
        self.cluster.cut_links.add(frozenset({names[0], cut_off}))
        self._propose_everywhere()
        self.cluster.run(before)
        self._fail(names[0], fault)
        if restarts:
            other = names[2 - peer % 2]
            self.cluster.crash(other)
            self.cluster.start(other)
        self.cluster.run(after)

    @rule(first=RANKS, second=RANKS)
    def cut(self, first: int, second: int) -> None:
        if first != second:
            names = map(self.cluster.node_of_rank, (first, second))
            self.cluster.cut_links.add(frozenset(names))

    @rule(seconds=SECONDS)
    def heal(self, seconds: float) -> None:
        self.cluster.heal()
        self.cluster.run(seconds)

    @rule(kept=st.integers(0, 2))
    def lose_power_everywhere(self, kept: int) -> None:
        for name in list(self.cluster.nodes):
            self.cluster.crash(name, kept)
        self.cluster.heal()

    @rule(seconds=SECONDS)
    def propose(self, seconds: float) -> None:
        self._propose_everywhere()
        self.cluster.run(seconds)

    @rule(rank=RANKS, peer=RANKS, crashes=st.booleans())
    def sync_slowly(self, rank: int, peer: int, crashes: bool) -> None:
        """Exchange messages while a leader's disk syncs, and possibly crash then."""
        name, other = map(self.cluster.node_of_rank, (rank, peer))
        node, storage = self.cluster.nodes.get(name), self.cluster.storages[name]
        if node is None or name in self.cluster.frozen:
            return

        def while_syncing() -> None:
            storage.on_sync = lambda: None
            if node.diagnostics().role is Role.LEADER and name != other:
                node.step_peer(other)
                node.apply_committed()
            if crashes:
                raise SimulatedCrashError

        self._propose_everywhere()
        storage.on_sync = while_syncing
        self.cluster.settle(1)
        storage.on_sync = lambda: None

    @precondition(lambda self: self.wiped is None)
    @rule(rank=RANKS, bootstrap=st.booleans())
    def wipe(self, rank: int, bootstrap: bool) -> None:
        """Wipe the files of one voter, which may be bootstrapped again by mistake."""
        configurations = [node.diagnostics() for node in self.cluster.nodes.values()]
        if not all(
            member.incarnation for seen in configurations for member in seen.members
        ):
            return
        self.wiped = name = self.cluster.node_of_rank(rank)
        self.cluster.crash(name)
        self.cluster.storages[name].wipe()
        self.cluster.start(name, bootstrap=bootstrap)

    @rule(rank=RANKS, seconds=SECONDS, is_answer=st.booleans(), fate=FATES)
    def delay(self, rank: int, seconds: float, is_answer: bool, fate: str) -> None:
        """Let the other nodes continue while one message is in transit or lost."""
        name = self.cluster.node_of_rank(rank)

        def meanwhile() -> None:
            self._propose_everywhere()
            if fate == "freeze":
                self.cluster.frozen.add(name)
            self.cluster.run(seconds)
            self.cluster.frozen.discard(name)
            if fate == "lose":
                raise PeerCallError("the message was lost")

        if is_answer:
            self.cluster.on_answer = meanwhile
        else:
            self.cluster.on_request = meanwhile
        self.cluster.advance(0.1)
        self.cluster.step(name)
        self.cluster.on_answer = self.cluster.on_request = None

    @rule(back=st.integers(1, 20))
    def repeat_old_message(self, back: int) -> None:
        if len(self.cluster.sent) >= back:
            target, path, body = self.cluster.sent[-back]
            try:
                self.cluster.deliver(target, path, body)
            except DogwoodspoolError:
                return

    @rule(rank=RANKS)
    def read(self, rank: int) -> None:
        """Check that a confirmed read includes everything answered before it."""
        name = self.cluster.node_of_rank(rank)
        node = self.cluster.nodes.get(name)
        if node is None or name in self.cluster.frozen:
            return
        answered = self._answered()
        try:
            index = node.confirm_read(0.2)
        except NotConfirmedError:
            return
        seen = set(self.cluster.machines[name].applied.values())
        assert answered <= seen, "a confirmed read missed an answered proposal"
        assert index <= node.last_applied

    def check_leaders(self) -> None:
        """Check after each step of a node, not only after each rule."""
        assert len(self.cluster.leaders()) <= 1, "two nodes answer as leader"
        for name, node in self.cluster.nodes.items():
            seen = node.diagnostics()
            assert not seen.has_failed, "a committed entry would be replaced"
            if seen.role is Role.LEADER:
                known = self.leader_of.setdefault(seen.term, name)
                assert known == name, f"two leaders in term {seen.term}"

    @invariant()
    def leader_holds_all_that_was_answered(self) -> None:
        for name in self.cluster.leaders():
            applied = set(self.cluster.machines[name].applied.values())
            assert self._answered() <= applied, "the leader lacks an answer"

    @invariant()
    def refused_proposals_were_not_run(self) -> None:
        committed = set(self.cluster.committed.values())
        assert not committed & self._refused(), "a refused proposal was run"

    def teardown(self) -> None:
        """Check that all nodes that kept their files converge to the same state."""
        self.cluster.heal()
        self.cluster.run(3.0)
        self.cluster.leader()
        self.cluster.run(0.5)
        self.refused_proposals_were_not_run()
        assert self._answered() <= set(self.cluster.committed.values())
        for name in set(self.cluster.nodes) - {self.wiped}:
            assert self.cluster.machines[name].applied == self.cluster.committed

    def _fail(self, name: str, fault: str) -> None:
        if fault == "crash":
            self.cluster.crash(name)
        elif fault == "cut":
            self.cluster.cut_off(name)
        else:
            self.cluster.frozen.add(name)

    def _propose_everywhere(self) -> None:
        for name in self.cluster.running():
            text = str(len(self.proposals))
            try:
                self.proposals[text] = self.cluster.nodes[name].submit({"id": text})
            except NotLeaderError:
                continue

    def _answered(self) -> set[str]:
        return {
            text for text, item in self.proposals.items() if outcome(item) == "answered"
        }

    def _refused(self) -> set[str]:
        return {
            text for text, item in self.proposals.items() if outcome(item) == "refused"
        }


def outcome(proposal: Proposal) -> str:
    """Return the outcome of a proposal."""
    if not proposal.is_done:
        return "open"
    try:
        proposal.result()
    except NotLeaderError:
        return "refused"
    except DogwoodspoolError:
        return "unknown"
    return "answered"


class FuzzRegressionTests(unittest.TestCase):
    """Histories of nodes that wait for a read point repeatedly.

    Guards against a simulated clock that a wait advances for the waiting node alone: it
    runs half a second ahead after two seconds, and a follower is elected within the
    leader's lease (seed 777).
    """

    def setUp(self) -> None:
        self.machine = ConsensusMachine()
        self.machine.elect()

    def read(self, *ranks: int) -> None:
        for rank in ranks:
            self.machine.read(rank)

    def run_leader(self, *times: float) -> None:
        for seconds in times:
            self.machine.run_one(0, seconds)

    def test_followers_that_wait_one_after_the_other(self) -> None:
        self.read(0, 0, 0, 0, 0, 0)
        self.run_leader(0.1, 0.1)
        self.read(0, 2)
        self.machine.cut(0, 1)
        self.read(0)
        self.machine.cut(2, 0)
        self.read(1, 2)
        self.run_leader(0.4)
        self.read(2)
        self.machine.teardown()

    def test_two_cut_off_followers_that_wait(self) -> None:
        self.read(0, 0, 0)
        self.machine.cut(0, 2)
        self.read(2)
        self.run_leader(0.1, 0.1)
        self.read(0, 2)
        self.machine.cut(0, 1)
        self.read(0, 0, 1, 2)
        self.run_leader(0.4)
        self.read(1)
        self.machine.teardown()


class ConsensusFuzzTests(unittest.TestCase):
    """Run the state machine with fixed seeds."""

    def test_histories_agree_with_the_oracle(self) -> None:
        run_state_machine_as_test(
            ConsensusMachine,
            settings=settings(
                derandomize=True,
                database=None,
                deadline=None,
                max_examples=60,
                stateful_step_count=30,
            ),
        )
