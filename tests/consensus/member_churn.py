"""Seeded histories of a cluster whose members change while nodes and links fail."""

import contextlib
import random
from collections import deque
from dataclasses import dataclass
from typing import Any

from dogwoodspool_consensus import (
    ConsensusError,
    ConsensusNode,
    NotConfirmedError,
    NotLeaderError,
    PeerCallError,
    Role,
)
from dogwoodspool_consensus.models import Configuration
from dogwoodspool_consensus.proposals import Proposal

from .fakes import Cluster, SimulatedCrashError

TICK = 0.05
MAX_NODES = 7
MAX_VOTERS = 5
# A claim to be up to date is valid for the minimum election timeout, or a few
# heartbeats, from when its message was received.
MAX_BEHIND_SECONDS = 0.7
FAULTS = (
    "isolate",
    "isolate",
    "split",
    "half cut",
    "crash",
    "freeze",
    "power",
    "restart voters",
)


@dataclass(eq=False, slots=True)
class Submitted:
    """A command that was submitted to a process and has no outcome yet."""

    text: str
    node: ConsensusNode
    proposal: Proposal


class MemberChurn(Cluster):
    """A cluster in which any leader may change the members at any time.

    Every step of a node runs alone and in random order, and a change of members is
    called without a time to wait, so that it may stop after the entry is appended.
    ``answered`` has the index of each answered command, and ``is_quiet`` is whether
    nothing is submitted or changed while time passes.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(f"members {seed}")
        self.now = 0.0
        self.loss = 0.0
        self.events: list[str] = []
        self.answered: dict[str, int] = {}
        self.is_quiet = False
        self._newest_answer = 0
        self._recent: deque[tuple[float, int]] = deque()
        self._old_index = 0
        self._interrupted: set[int] = set()
        self._losses: list[tuple[float, ConsensusNode]] = []
        self._submitted: list[Submitted] = []
        self._sent_count = 0
        self._leader_of: dict[int, str] = {}
        self._terms: dict[int, int] = {}
        self._checked: dict[ConsensusNode, int] = {}
        self._name_of: dict[str, str] = {}
        self._disks = 0
        super().__init__(self.rng.choice((2, 3, 4)), rates=(0.99, 1.0, 1.01, 1.0))
        self.on_step = self.check
        for number in range(2):
            self.start(f"s{number}")

    def history(self, rounds: int) -> None:
        """Run faults and changes of members, and check that the end has everything."""
        self.is_quiet = True
        self.leader()
        self.is_quiet = False
        for _ in range(rounds):
            self._round()
        self._heal_all()
        self.run(3.0)
        self.check_end()

    def log(self, text: str) -> None:
        """Record an event of the history."""
        self.events.append(f"{self.now:7.2f} {text}")

    # Steps

    def advance(self, seconds: float) -> None:
        self.now += seconds
        super().advance(seconds)

    def step(self, name: str) -> None:
        """Run the due steps of a node in random order, some of them later."""
        node = self.nodes.get(name)
        if node is None or name in self.frozen:
            return
        peers = sorted(set(node._state.configuration.members) - {name})
        steps: list[Any] = [node.tick, node.write_pending, node.apply_committed]
        steps += [lambda peer=peer: node.step_peer(peer) for peer in peers]
        self.rng.shuffle(steps)
        for one in steps:
            if self.rng.random() < 0.2:
                continue
            try:
                one()
            except SimulatedCrashError:
                self.crash(name)
                return
            self.check()
        for other in self.running():
            self._check_claims(other, self.nodes[other])

    def run(self, seconds: float) -> None:
        for _ in range(max(1, round(seconds / TICK))):
            self.advance(TICK)
            names = self.running()
            self.rng.shuffle(names)
            for name in names:
                self.step(name)
                self._interrupt_new_leader(name)
            self._lose_due()
            if self.is_quiet:
                continue
            if self.rng.random() < 0.2:
                self.submit()
            if self.rng.random() < 0.1:
                self.change_members()

    def crash(self, name: str, kept: int = 0) -> None:
        self._submitted = [
            one for one in self._submitted if one.node is not self.nodes.get(name)
        ]
        self.frozen.discard(name)
        super().crash(name, kept)

    def deliver(self, target: str, path: str, body: dict[str, Any]) -> dict[str, Any]:
        if self.rng.random() < self.loss:
            raise PeerCallError("the request was lost")
        answer = super().deliver(target, path, body)
        if self.rng.random() < self.loss:
            raise PeerCallError("the answer was lost")
        return answer

    # Actions

    def submit(self) -> None:
        """Submit a command to every process that takes it."""
        for name in self.running():
            text = f"c{self._sent_count}"
            self._sent_count += 1
            node = self.nodes[name]
            try:
                proposal = node.submit({"id": text})
            except NotLeaderError:
                continue
            self._submitted.append(Submitted(text, node, proposal))

    def change_members(self, name: str | None = None) -> None:
        """Let a process that leads begin, or continue, a change of members."""
        leaders = [one for one in self.running() if self._is_leader(one)]
        if name is None and leaders:
            name = self.rng.choice(leaders)
        if name not in leaders:
            return
        node = self.nodes[name]
        configuration = node._state.configuration
        before = node._state.configurations.current_index
        try:
            self._change(node, configuration)
        except ConsensusError as error:
            if node._state.configurations.current_index == before:
                return
            self.log(f"{name}: {error}")
        after = node._state.configuration
        self.log(
            f"{name} term {node._state.term}: voters {sorted(after.voters)} at "
            f"{node._state.configurations.current_index}"
        )

    def _change(self, node: ConsensusNode, configuration: Configuration) -> None:
        rng, voters = self.rng, sorted(configuration.voters)
        kind = rng.random()
        running = [one for one in self.running() if one not in configuration.retired]
        others = [one for one in running if one not in configuration.voters]
        if kind < 0.55 and others and len(voters) < MAX_VOTERS:
            other = rng.choice(others)
            node.add_voter(other, self.addresses[other], 0.0)
        elif kind < 0.9 and len(voters) > 1:
            lost = [one for one in voters if one not in self.nodes]
            node.demote_voter(rng.choice(lost or voters), 0.0)
        elif len(voters) > 2 and len(self.addresses) < MAX_NODES:
            gone = rng.choice(sorted(configuration.members))
            node.remove_voter(gone, 0.0)
            self.start(f"s{len(self.addresses)}")

    def _round(self) -> None:
        kind = self.rng.random()
        if kind < 0.25:
            self._overlap_changes()
        elif kind < 0.35:
            self._restart_in_lease()
        elif kind < 0.45:
            self._revive_old_entries()
        else:
            self._fail_at_random()

    def _interrupt_new_leader(self, name: str) -> None:
        """Let a process that has just been elected change members or be lost."""
        node = self.nodes.get(name)
        if node is None or name in self.frozen or not self._is_leader(name):
            return
        if node._state.term in self._interrupted or self.is_quiet:
            return
        if self.rng.random() < 0.5:
            return
        self._interrupted.add(node._state.term)
        kind = self.rng.random()
        if kind < 0.5:
            others = sorted(set(self.addresses) - {name})
            cut = set(self.rng.sample(others, self.rng.randint(0, len(others) - 1)))
            self._cut({name}, cut)
            self.log(f"new leader {name} cut from {sorted(cut)}")
            self.change_members(name)
            self.submit()
        elif kind < 0.85:
            self._losses.append((self.now + TICK * self.rng.randint(0, 3), node))

    def _lose_due(self) -> None:
        """Lose the new leaders whose time has come."""
        due = [node for at, node in self._losses if at <= self.now]
        self._losses = [one for one in self._losses if one[0] > self.now]
        for name in [one for one in sorted(self.nodes) if self.nodes[one] in due]:
            self.log(f"new leader {name} lost")
            self.crash(name, self.rng.choice((0, 1, 100)))

    def _overlap_changes(self) -> None:
        """Leave a change of one leader uncommitted while the next one makes another.

        A change from an even number of voters is the dangerous one: the quorums of two
        of its successors need not overlap.
        """
        rng = self.rng
        self._heal_all()
        self.run(1.5)
        first = next(iter(self.leaders()), None)
        if first is None:
            return
        self.is_quiet = True
        learner = self._prepare_learner(first)
        if not self._is_leader(first):
            self.is_quiet = False
            return
        spare = [one for one in self.running() if one not in (first, learner)]
        near = {first, *rng.sample(spare, min(len(spare), rng.choice((0, 0, 1, 2))))}
        if learner is not None:
            near.add(learner)
        far = set(self.addresses) - near
        self.log(f"overlap: {sorted(near)} apart from {sorted(far)}")
        self._cut(near, far)
        if learner is not None and rng.random() < 0.7:
            with contextlib.suppress(ConsensusError):
                self.nodes[first].add_voter(learner, self.addresses[learner], 0.0)
        else:
            self.change_members(first)
        for _ in range(rng.choice((1, 6))):
            self.submit()
        self.run(rng.choice((0.05, 0.2)))
        second = self._next_leader({first})
        if second is not None:
            self._change_at_once(second)
        else:
            self.cut_links.clear()
        self.is_quiet = rng.random() < 0.5
        self.run(rng.choice((0.8, 1.5, 2.5)))
        self.is_quiet = False
        if second is not None and rng.random() < 0.5:
            self._swap_leaders(second)

    def _prepare_learner(self, leader: str) -> str | None:
        """Reach an even number of voters; return a learner that has caught up."""
        wanted = self.rng.choice((2, 4, 4, 4))
        for _ in range(16):
            if not self._is_leader(leader):
                return None
            node = self.nodes[leader]
            configuration = node._state.configuration
            voters = sorted(configuration.voters)
            others = [
                one
                for one in self.running()
                if one not in configuration.voters | configuration.retired
            ]
            if not others:
                return None
            other, address = others[0], self.addresses[others[0]]
            with contextlib.suppress(ConsensusError):
                if len(voters) < wanted:
                    node.add_voter(other, address, 0.0)
                elif len(voters) > wanted:
                    node.demote_voter([v for v in voters if v != leader][0], 0.0)
                else:
                    node.add_learner(other, address, "", 0.0)
                    self.run(0.3)
                    return other
            self.run(0.15)
        return None

    def _change_at_once(self, leader: str) -> None:
        """Let a new leader change the members while it reaches few of them.

        It is lost some time later.
        """
        rng = self.rng
        if leader not in self.nodes:
            return
        others = sorted(self.nodes[leader]._state.configuration.members.keys())
        others = [one for one in others if one != leader]
        reached = set(rng.sample(others, min(len(others), rng.choice((0, 1, 1, 1, 2)))))
        self._cut({leader}, set(self.addresses) - reached - {leader})
        if rng.random() < 0.6:
            with contextlib.suppress(ConsensusError):
                lost = rng.choice(sorted(set(others) - reached) or others)
                self.nodes[leader].demote_voter(lost, 0.0)
        else:
            self.change_members(leader)
        self.submit()
        self.run(rng.choice((0.1, 0.2, 0.5)))
        self.log(f"second leader {leader} lost, which reached {sorted(reached)}")
        if leader in self.nodes and rng.random() < 0.5:
            self.crash(leader, 100)
        self.cut_links.clear()
        self.cut_off(leader)
        if rng.random() < 0.5:
            for one in reached:
                self.cut_off(one)

    def _swap_leaders(self, second: str) -> None:
        """Bring a lost leader back while the present one is lost."""
        for one in [name for name in self.running() if self._is_leader(name)]:
            if one != second:
                self.crash(one, 100)
                self.log(f"third leader {one} lost")
        self.cut_links.clear()
        if second not in self.nodes and second not in self._name_of:
            self.start(second)
        self.run(self.rng.choice((1.5, 2.5)))

    def _restart_in_lease(self) -> None:
        """Restart the voters that a lease rests on while another one times out."""
        rng = self.rng
        self._heal_all()
        self.run(1.5)
        leader = next(iter(self.leaders()), None)
        if leader is None:
            return
        voters = sorted(self.nodes[leader]._state.configuration.voters - {leader})
        if not voters:
            return
        impatient = rng.choice(voters)
        self.log(f"lease of {leader}: {impatient} hears nothing, then restarts")
        self.is_quiet = True
        self._cut({leader}, {impatient})
        self.run(rng.choice((0.45, 0.55, 0.6, 0.65, 0.8)))
        self._cut({leader}, set(self.addresses) - {leader})
        for one in voters:
            if one != impatient and one in self.nodes:
                self.crash(one, 100)
                self.start(one, loading=rng.choice((None, 0.05)))
        self.run(0.6)
        self.is_quiet = False

    def _revive_old_entries(self) -> None:
        """Lose a leader that replicates entries of a term before the last leader's."""
        rng = self.rng
        self._heal_all()
        self.run(1.5)
        first = next(iter(self.leaders()), None)
        if first is None:
            return
        self.is_quiet = True
        self.cut_off(first)
        for _ in range(6):
            self.submit()
        self.run(0.1)
        second = self._next_leader({first})
        if second is not None:
            self.cut_off(second)
            self.run(TICK)
            self.crash(second, 100)
            self._join_links({second})
            third = self._next_leader({second})
            self.log(f"old entries: {first}, then {second}, then {third}")
            self.run(TICK * rng.randint(1, 6))
            if third is not None and third in self.nodes:
                self.crash(third, 100)
            self._start_stopped(1.0, without=third)
            self.cut_links.clear()
        self.is_quiet = False
        self.run(rng.choice((1.0, 2.0)))

    def _next_leader(self, lost: set[str]) -> str | None:
        """Run until another process has been elected, and return it."""
        for _ in range(60):
            self.run(TICK)
            for name in self.running():
                if name not in lost and self._is_leader(name):
                    return name
        return None

    def _join_links(self, lost: set[str]) -> None:
        self.cut_links = {one for one in self.cut_links if one & lost}

    def _fail_at_random(self) -> None:
        rng = self.rng
        self.loss = rng.choice((0.0, 0.0, 0.05, 0.3))
        for _ in range(rng.choice((1, 1, 6))):
            self.submit()
        if rng.random() < 0.6:
            self.change_members()
        self._fail(rng.choice(FAULTS))
        if rng.random() < 0.6:
            self.change_members()
        self.submit()
        self.run(rng.choice((0.05, 0.2, 0.5, 0.8, 1.5, 2.5)))
        if rng.random() < 0.7:
            self._heal_some()
            self.run(rng.choice((0.05, 0.2, 0.5, 1.0)))
        if rng.random() < 0.3:
            self._heal_all()
            if rng.random() < 0.3:
                self._lose_disk()

    def _fail(self, fault: str) -> None:
        rng = self.rng
        running = self.running()
        if not running:
            return
        leaders = [one for one in running if self._is_leader(one)]
        name = rng.choice(leaders if leaders and rng.random() < 0.6 else running)
        self.log(f"{fault} {name}")
        if fault == "isolate":
            self.cut_off(name)
        elif fault == "split":
            part = {one for one in self.addresses if rng.random() < 0.5}
            self._cut(part, set(self.addresses) - part)
        elif fault == "half cut":
            others = [one for one in sorted(self.addresses) if one != name]
            self._cut({name}, set(rng.sample(others, rng.randint(1, len(others)))))
        elif fault == "crash":
            self.crash(name, rng.choice((0, 1, 2, 100)))
        elif fault == "freeze":
            self.frozen.add(name)
        elif fault == "power":
            for one in list(self.nodes):
                self.crash(one, rng.choice((0, 0, 1, 2)))
        else:
            self._restart_others(name)

    def _restart_others(self, name: str) -> None:
        """Cut a process off from the others and restart them at that moment."""
        self.cut_off(name)
        for one in sorted(self.nodes):
            if one != name and self.rng.random() < 0.8:
                self.crash(one, self.rng.choice((0, 1, 100)))
                self.start(one, loading=self.rng.choice((None, 0.05)))

    def _cut(self, part: set[str], others: set[str]) -> None:
        self.cut_links |= {frozenset({one, other}) for one in part for other in others}

    def _heal_some(self) -> None:
        self.cut_links = {
            one for one in sorted(self.cut_links, key=sorted) if self.rng.random() < 0.3
        }
        self.frozen = {one for one in sorted(self.frozen) if self.rng.random() < 0.3}
        self._start_stopped(0.7)
        self.log(f"healed, but {[sorted(one) for one in self.cut_links]}")

    def _heal_all(self) -> None:
        self.loss = 0.0
        self.cut_links.clear()
        self.frozen.clear()
        self._start_stopped(1.0)
        self.log("healed")

    def _start_stopped(self, fraction: float, without: str | None = None) -> None:
        for name in sorted(set(self.addresses) - set(self.nodes) - {without}):
            if name not in self._name_of and self.rng.random() < fraction:
                self.start(name)

    def _lose_disk(self) -> None:
        """Lose the disk of a voter where the group tolerates it.

        Another identity starts at its address.
        """
        self.run(1.5)
        voters = self._whole_voters()
        if len(voters) < 3 or len(self.addresses) >= MAX_NODES:
            return
        name = self.rng.choice(sorted(voters))
        self.crash(name)
        self._disks += 1
        fresh = f"{name}-{self._disks}"
        self.log(f"disk lost {name}, now {fresh}")
        self._name_of[name] = fresh
        address = self.addresses.pop(name)
        self.addresses[fresh] = address
        self.start(fresh)

    def _whole_voters(self) -> frozenset[str] | set[str]:
        for name in self.leaders():
            state = self.nodes[name]._state
            if state.configurations.current_index > state.commit_index:
                return set()
            voters = state.configuration.voters
            return voters if voters <= set(self.running()) else set()
        return set()

    # Checks

    def check(self) -> None:
        """Check what must hold after each step."""
        self._record_answers()
        leading = self.leaders()
        assert len(leading) <= 1, f"two leases: {leading}"
        for name, node in self.nodes.items():
            state = node._state
            assert not state.has_failed, f"{name}: a committed entry would be replaced"
            if state.role is Role.LEADER:
                known = self._leader_of.setdefault(state.term, name)
                assert known == name, f"two leaders in term {state.term}"
            self._check_terms(name, node)

    def check_end(self) -> None:
        """Check that a leader that can still be elected has everything."""
        for name in self.leaders():
            applied = set(self.machines[name].applied.values())
            lost = self.answered.keys() - applied
            assert not lost, f"{name} lacks {sorted(lost)}"

    def _record_answers(self) -> None:
        still_open = []
        for one in self._submitted:
            if not one.proposal.is_done:
                still_open.append(one)
                continue
            try:
                result = one.proposal.result()
            except ConsensusError:
                continue
            self.answered[one.text] = result["index"]
            self._newest_answer = max(self._newest_answer, result["index"])
            self._recent.append((self.now, self._newest_answer))
        self._submitted = still_open

    def _old_answer(self) -> int:
        """Return the last index answered before the longest time of a claim."""
        while self._recent and self.now - self._recent[0][0] > MAX_BEHIND_SECONDS:
            self._old_index = self._recent.popleft()[1]
        return self._old_index

    def _check_terms(self, name: str, node: ConsensusNode) -> None:
        state = node._state
        checked = self._checked.get(node, 0)
        while checked < state.commit_index:
            checked += 1
            term = state.log.term_at(checked)
            if term is not None:
                known = self._terms.setdefault(checked, term)
                assert known == term, f"{name}: {checked} is of terms {known}, {term}"
        self._checked[node] = checked

    def _check_claims(self, name: str, node: ConsensusNode) -> None:
        """Check what a process says of itself against what was answered."""
        newest = self._newest_answer
        if node._state.role is Role.LEADER:
            try:
                point = node._reads.leader_read_point(node._state.clock.now())
            except (NotConfirmedError, NotLeaderError):
                pass
            else:
                assert point >= newest, f"{name} confirmed {point}, not {newest}"
        if node.leadership() is not None:
            applied = node.last_applied
            assert applied >= newest, f"{name} leads with {applied}, not {newest}"
        if node.is_following:
            old, applied = self._old_answer(), node.last_applied
            assert applied >= old, f"{name} claims to have {old}, but has {applied}"

    def _is_leader(self, name: str) -> bool:
        node = self.nodes.get(name)
        return node is not None and node._state.role is Role.LEADER


def run_history(seed: int, rounds: int = 12) -> MemberChurn:
    """Run the history of a seed; a failure shows its last events."""
    churn = MemberChurn(seed)
    try:
        churn.history(rounds)
    except AssertionError as error:
        events = "\n".join(churn.events[-40:])
        raise AssertionError(f"seed {seed}: {error}\n{events}") from error
    return churn
