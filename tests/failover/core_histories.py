"""Random histories of four core machines, within the losses that they must survive."""

import random
from collections.abc import Iterator

from dogwoodspool_common import Address, DogwoodspoolError
from dogwoodspool_consensus import ConsensusNode
from dogwoodspool_consensus.proposals import Proposal
from dogwoodspool_failover.voters import VoterMaintenance

from tests.consensus.disks import FATES, DiskCluster, SimulatedDisks
from tests.consensus.fakes import SimulatedCrashError

MACHINES = 4
VOTERS = 3
STEP_SECONDS = 0.05
MAINTENANCE_STEPS = 5
# A machine that is back counts as lost for this long.
CATCH_UP_SECONDS = 4.0
RECOVERY_SECONDS = 12.0
EVENTS = (
    "kill",
    "kill_at_call",
    "cut_off",
    "power",
    "kill_all",
    "lose_disk",
    "replace",
    "calm",
)
CALLS = ("fsync", "fsync", "fsync", "write", "ftruncate", "rename")


class FinalFaultError(Exception):
    """Raised in the middle of a step, at the moment of the final fault."""


class CoreHistory:
    """One history: faults, changes in between, and a final fault after a change.

    At most one disk is lost at a time; processes, power and links of any machines.
    """

    cluster_type: type[DiskCluster] = DiskCluster

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.disks = SimulatedDisks(seed)
        self.cluster = self.cluster_type(self.disks, VOTERS)
        self.events: list[str] = []
        self.acknowledged: set[str] = set()
        self.machines = [f"n{index}" for index in range(MACHINES)]
        self._open: dict[str, Proposal] = {}
        self._names = iter(self._new_names())
        self._steps = 0
        self._is_armed = False
        self._undisturbed = CATCH_UP_SECONDS
        self._has_lost_disk = False
        self._maintained: tuple[ConsensusNode, VoterMaintenance] | None = None
        self._is_maintaining = False
        self.cluster.on_step = self._observe
        self.cluster.start(self.machines[-1])

    @property
    def now(self) -> float:
        """Simulated seconds since the start."""
        return self._steps * STEP_SECONDS

    def play(self) -> None:
        """Play the whole history; raise an AssertionError if anything was lost."""
        self.run(CATCH_UP_SECONDS)
        for _ in range(self.rng.randrange(1, 6)):
            self._play_event(self.rng.choice(EVENTS))
        self._play_until_acknowledged()
        self._play_end()

    def play_kills(self) -> None:
        """Kill processes in the middle of file calls, shortly before the end.

        Mostly one voter is down, so that every commit needs the killed process.
        """
        self.run(1.5)
        if self.rng.random() < 0.8:
            self.cluster.crash(self.rng.choice(self.machines))
        for _ in range(self.rng.randrange(1, 5)):
            killed = self.rng.choice(self.cluster.running())
            self._kill_at_call(killed)
            for _ in range(self.rng.randrange(1, 4)):
                self.propose()
            self.run(STEP_SECONDS * self.rng.randrange(1, 4))
            self.disks.before_call = lambda _kind, _path: None
            if killed not in self.cluster.nodes:
                self.cluster.start(killed)
            self.run(self.rng.choice((0.05, 0.1, 0.3, 1.2)))
        if self.rng.random() < 0.3:
            self._play_until_acknowledged()
        self._play_end()

    def _play_until_acknowledged(self) -> None:
        self._is_armed = self.rng.random() < 0.7
        try:
            for _ in range(self.rng.randrange(1, 30)):
                self.propose()
                self.run(self.rng.choice((0.05, 0.1)))
        except FinalFaultError:
            pass
        self._is_armed = self._is_maintaining = False
        self.disks.before_call = lambda _kind, _path: None

    def _play_end(self) -> None:
        loses_disk = self._may_lose_disk() and self.rng.random() < 0.9
        index = self.rng.randrange(MACHINES)
        for leader in self.cluster.leaders():
            if self.rng.random() < 0.6:
                index = self.machines.index(leader)
        self.end(index if loses_disk else None, is_power=self.rng.random() < 0.8)

    def run(self, seconds: float) -> None:
        """Run all nodes and the maintenance of voters and members."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self._steps += 1
            self.cluster.run(STEP_SECONDS)
            is_whole = set(self.machines) == set(self.cluster.nodes)
            is_whole = is_whole and not self.cluster.cut_links
            self._undisturbed = self._undisturbed + STEP_SECONDS if is_whole else 0.0
            if self._steps % MAINTENANCE_STEPS == 0:
                self._maintain()

    def _new_names(self) -> Iterator[str]:
        for count in range(1_000):
            yield f"m{count}"

    def _observe(self) -> None:
        for text, proposal in list(self._open.items()):
            if not proposal.is_done:
                continue
            del self._open[text]
            try:
                proposal.result()
            except DogwoodspoolError:
                continue
            self.acknowledged.add(text)
            if self._is_armed:
                raise FinalFaultError

    def propose(self) -> None:
        """Submit a change to every node."""
        for name in self.cluster.running():
            text = f"c{len(self.acknowledged)}.{self.now:.2f}.{name}.{len(self._open)}"
            try:
                self._open[text] = self.cluster.nodes[name].submit({"id": text})
            except DogwoodspoolError:
                continue

    def _maintain(self) -> None:
        leaders = [
            name for name in self.cluster.leaders() if name in self.cluster.running()
        ]
        if not leaders or self._is_maintaining:
            return
        node = self.cluster.nodes[leaders[0]]
        if self._maintained is None or self._maintained[0] is not node:
            clock = self.cluster.clocks[leaders[0]]
            self._maintained = node, VoterMaintenance(node, VOTERS, clock)
        self._is_maintaining = True
        try:
            self._join_learners(node)
            while self._maintained[1].step() == 0.0:
                continue
        except SimulatedCrashError:
            self.cluster.crash(node.node_id)
        finally:
            self._is_maintaining = False

    def _join_learners(self, node: ConsensusNode) -> None:
        known = {one.node_id for one in node.diagnostics().members}
        for name in set(self.cluster.running()) - known:
            links = {frozenset({name, node.node_id})}
            if links & self.cluster.cut_links:
                continue
            try:
                address = self.cluster.addresses[name]
                node.add_learner(name, address, name, 3.0)
            except DogwoodspoolError:
                continue

    def _play_event(self, event: str) -> None:
        index = self.rng.randrange(MACHINES)
        name = self.machines[index]
        self.events.append(f"{self.now:.2f} {event} {name}")
        pause = self.rng.choice((0.0, 0.1, 0.5, 2.0, 2.8, 3.2, 6.0))
        self.propose()
        self.run(self.rng.choice((0.0, 0.05, 0.1, 0.3)))
        if event == "kill":
            self.cluster.crash(name)
        elif event == "kill_at_call":
            self._kill_at_call(name)
        elif event == "cut_off":
            self.cluster.cut_off(name)
        elif event == "power":
            self._lose_power([one for one in self.machines if self.rng.random() < 0.6])
        elif event == "kill_all":
            for one in self.machines:
                self.cluster.crash(one)
        elif event == "lose_disk" and self._may_lose_disk():
            self._lose_disk(index)
        elif event == "replace" and self._may_lose_disk():
            self._lose_disk(index, keeps_address=False)
        self.propose()
        self.run(pause)
        if self.rng.random() < 0.8:
            self.heal()
        self.run(self.rng.choice((0.05, 0.3, 1.0, 3.0)))

    def _kill_at_call(self, node: str) -> None:
        wanted = self.rng.choice(CALLS)
        skipped = self.rng.choice((0, 0, 0, 1, 2, 3))

        def kill(kind: str, path: str) -> None:
            nonlocal skipped
            if kind != wanted or path.partition("/")[0] != node:
                return
            skipped -= 1
            if skipped < 0:
                self.disks.before_call = lambda _kind, _path: None
                raise SimulatedCrashError

        self.disks.before_call = kill

    def _may_lose_disk(self) -> bool:
        """Whether all machines have run for long enough since a disk was lost."""
        return not self._has_lost_disk or self._undisturbed > CATCH_UP_SECONDS

    def _lose_disk(self, index: int, *, keeps_address: bool = True) -> None:
        """Lose a disk; the machine comes back as another member, perhaps elsewhere."""
        old, new = self.machines[index], next(self._names)
        self.cluster.lose_disk(old)
        address = self.cluster.addresses.pop(old)
        if not keeps_address:
            address = Address(address.host, MACHINES + int(new[1:]))
        self.cluster.addresses[new] = address
        self.cluster.cut_links = {
            link for link in self.cluster.cut_links if old not in link
        }
        self.machines[index] = new
        self._has_lost_disk = True
        self._undisturbed = 0.0

    def _lose_power(self, names: list[str]) -> None:
        fates = self.rng.choice((FATES, ("lost",), ("lost",)))
        known = [one for one in names if one in self.cluster.addresses]
        self.cluster.lose_power(*known, fates=fates)

    def heal(self) -> None:
        """Start all processes and restore all connections."""
        self.disks.before_call = lambda _kind, _path: None
        self.cluster.heal()

    def end(self, lost: int | None, *, is_power: bool = True) -> None:
        """Kill all processes, or cut the power of all machines, and lose one disk.

        Raises:
            AssertionError: an acknowledged change is lost, or no leader is elected.
        """
        voters = {
            name: [one.node_id for one in node.diagnostics().members if one.is_voter]
            for name, node in self.cluster.nodes.items()
        }
        self.events.append(f"{self.now:.2f} end lost={lost} {is_power=} {voters=}")
        if is_power:
            self._lose_power(self.machines)
        else:
            for name in self.machines:
                self.cluster.crash(name)
        if lost is not None:
            self._lose_disk(lost)
        self.heal()
        self._check_kept()

    def _check_kept(self) -> None:
        assert not self.cluster.refused, f"refused its files: {self.cluster.refused}"
        for _ in range(round(RECOVERY_SECONDS / STEP_SECONDS)):
            self.run(STEP_SECONDS)
            for name in self.cluster.leaders():
                applied = set(self.cluster.machines[name].applied.values())
                lost = self.acknowledged - applied
                assert not lost, f"acknowledged, but lost: {sorted(lost)}"
                return
        raise AssertionError("no leader was elected")
