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
NODES = st.integers(0, COUNT - 1).map(lambda number: f"n{number}")
SECONDS = st.sampled_from((0.05, 0.15, 0.3, 0.6))


class ConsensusMachine(RuleBasedStateMachine):
    """Crash, cut, freeze and wipe nodes, lose answers, repeat old messages.

    The oracle is the first command seen at each index (``Cluster.committed``),
    the commands that were answered, and the leader of each term.
    """

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Cluster(COUNT, rates=(0.98, 1.0, 1.02))
        self.proposals: dict[str, Proposal] = {}
        self.leader_of: dict[int, str] = {}
        self.wiped: str | None = None

    @initialize()
    def elect(self) -> None:
        self.cluster.leader()

    @rule(seconds=SECONDS)
    def run_all(self, seconds: float) -> None:
        self.cluster.run(seconds)

    @rule(seconds=SECONDS, name=NODES)
    def run_one(self, seconds: float, name: str) -> None:
        self.cluster.advance(seconds)
        self.cluster.step(name)

    @rule(name=NODES, count=st.integers(1, 6))
    def propose(self, name: str, count: int) -> None:
        node = self.cluster.nodes.get(name)
        for _ in range(count if node and name not in self.cluster.frozen else 0):
            text = str(len(self.proposals))
            assert node is not None
            try:
                self.proposals[text] = node.submit({"id": text})
            except NotLeaderError:
                return

    @rule(name=NODES, peer=NODES, crashes=st.booleans())
    def sync_slowly(self, name: str, peer: str, crashes: bool) -> None:
        """Send to a peer while the leader's disk syncs, or crash then."""
        node, storage = self.cluster.nodes.get(name), self.cluster.storages[name]
        if node is None or name in self.cluster.frozen:
            return

        def while_syncing() -> None:
            storage.on_sync = lambda: None
            if peer != name:
                node.step_peer(peer)
            if crashes:
                raise SimulatedCrashError

        storage.on_sync = while_syncing
        self.cluster.step(name)
        storage.on_sync = lambda: None

    @rule(name=NODES)
    def crash_while_answering(self, name: str) -> None:
        def crash() -> None:
            raise SimulatedCrashError

        self.cluster.storages[name].on_sync = crash
        self.cluster.settle(1)
        self.cluster.storages[name].on_sync = lambda: None

    @rule(name=NODES, kept=st.integers(0, 3))
    def crash(self, name: str, kept: int) -> None:
        self.cluster.crash(name, kept)

    @rule(name=NODES)
    def restart(self, name: str) -> None:
        if name not in self.cluster.nodes:
            self.cluster.frozen.discard(name)
            self.cluster.start(name, bootstrap=name == self.wiped)

    @precondition(lambda self: self.wiped is None)
    @rule(name=NODES, bootstrap=st.booleans())
    def wipe(self, name: str, bootstrap: bool) -> None:
        """Lose the files of one voter, which may be bootstrapped by mistake."""
        if not all(
            member.incarnation
            for node in self.cluster.nodes.values()
            for member in node.diagnostics().members
        ):
            return
        self.wiped = name
        self.cluster.crash(name)
        self.cluster.storages[name].wipe()
        self.cluster.start(name, bootstrap=bootstrap)

    @rule(name=NODES)
    def freeze_or_wake(self, name: str) -> None:
        self.cluster.frozen ^= {name}

    @rule(first=NODES, second=NODES)
    def cut(self, first: str, second: str) -> None:
        if first != second:
            self.cluster.cuts.add(frozenset({first, second}))

    @rule(name=NODES)
    def cut_off(self, name: str) -> None:
        self.cluster.cut_off(name)

    @rule()
    def heal(self) -> None:
        self.cluster.cuts.clear()

    @rule(name=NODES, seconds=SECONDS)
    def delay_answer(self, name: str, seconds: float) -> None:
        """Let the others go on while one node waits for an answer."""
        self.cluster.on_answer = lambda: self.cluster.run(seconds)
        self.cluster.step(name)
        self.cluster.on_answer = None

    @rule(name=NODES)
    def lose_answer(self, name: str) -> None:
        def lose() -> None:
            raise PeerCallError("the answer was lost")

        self.cluster.on_answer = lose
        self.cluster.step(name)
        self.cluster.on_answer = None

    @rule(back=st.integers(1, 20))
    def repeat_old_message(self, back: int) -> None:
        if len(self.cluster.sent) >= back:
            target, path, body = self.cluster.sent[-back]
            try:
                self.cluster.deliver(target, path, body)
            except DogwoodspoolError:
                return

    @rule(name=NODES)
    def read(self, name: str) -> None:
        """A confirmed read misses nothing that was answered before it."""
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

    @invariant()
    def one_leader_at_a_time(self) -> None:
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
        """All nodes that kept their files come to the same state again."""
        self.cluster.cuts.clear()
        self.cluster.frozen.clear()
        for name in self.cluster.addresses:
            self.restart(name)
        for _ in range(3):
            self.cluster.run(1.0)
            self.one_leader_at_a_time()
        self.cluster.leader()
        self.cluster.run(0.5)
        self.refused_proposals_were_not_run()
        assert self._answered() <= set(self.cluster.committed.values())
        for name in set(self.cluster.nodes) - {self.wiped}:
            assert self.cluster.machines[name].applied == self.cluster.committed

    def _answered(self) -> set[str]:
        return {
            text for text, item in self.proposals.items() if outcome(item) == "answered"
        }

    def _refused(self) -> set[str]:
        return {
            text for text, item in self.proposals.items() if outcome(item) == "refused"
        }


def outcome(proposal: Proposal) -> str:
    """Name what became of a proposal."""
    if not proposal.is_done:
        return "open"
    try:
        proposal.result()
    except NotLeaderError:
        return "refused"
    except DogwoodspoolError:
        return "unknown"
    return "answered"


class ConsensusFuzzTests(unittest.TestCase):
    """Run the machine with fixed seeds."""

    def test_histories_agree_with_the_oracle(self) -> None:
        run_state_machine_as_test(
            ConsensusMachine,
            settings=settings(
                derandomize=True,
                database=None,
                deadline=None,
                max_examples=40,
                stateful_step_count=40,
            ),
        )
