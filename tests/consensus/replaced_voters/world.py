"""Machines, network, operator and proxies in one simulated time."""

import contextlib
import random

from dogwoodspool_common import Address
from dogwoodspool_consensus import ConsensusNode, ConsensusSettings, PeerCallError
from dogwoodspool_control.http.support import WaitSlots
from dogwoodspool_control.http.watch import WatchApi
from dogwoodspool_control.node import ControlNode
from dogwoodspool_failover.api import members_of
from dogwoodspool_failover.voters import VoterMaintenance

from ..fakes import MemoryLogStorage
from .checked_state import CheckedState
from .checks import Checks
from .clock import TICK, WorldClock
from .machines import Machine, Process
from .network import Network, Transport
from .operator import Operator
from .proxies import SimulatedProxy
from .stepping import Stepper

# Waits that are in progress at the same time, one inside the other.
MAX_DEPTH = 12
WANTED_VOTERS = 3
WAIT_SLOTS = 48

SETTINGS = ConsensusSettings(
    heartbeat_interval=0.2,
    election_timeout_min=0.65,
    election_timeout_max=1.1,
    snapshot_every=8,
    log_kept=2,
    max_batch=4,
    snapshot_chunk_bytes=4_096,
)


class World:
    """Machines, network, operator and proxies, run by one seeded generator.

    ``depth`` counts the waits in progress, one inside the other, and ``order_pause``
    is the range of the seconds between two commands of the operator. ``read_chance`` is
    the chance of a confirmed poll in each tick.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.depth = 0
        self.events: list[str] = []
        self.machines: dict[str, Machine] = {}
        self.proxies: list[SimulatedProxy] = []
        self.order_pause: tuple[float, float] | None = None
        self.next_order = 0.0
        self.read_chance = 0.0
        self.checks = Checks()
        self.network = Network(self)
        self.operator = Operator(self)
        self._stepper = Stepper(self)

    def log(self, text: str) -> None:
        """Record an event of the history."""
        self.events.append(f"{self.now:7.2f} {text}")

    def add_machine(
        self, domain: str, name: str = "", address: Address | None = None
    ) -> Machine:
        """Add a machine with an empty disk, without starting a process."""
        name = name or f"m{len(self.machines)}"
        rate = self.rng.choice((0.99, 1.0, 1.01))
        machine = Machine(
            name,
            domain,
            address or Address(f"10.0.0.{len(self.machines) + 1}", 7000),
            WorldClock(self.pass_time, rate),
            MemoryLogStorage(name),
            name,
        )
        self.machines[name] = machine
        return machine

    def start(self, machine: Machine, voters: dict[str, Address] | None = None) -> None:
        """Start the process of a machine from its disk."""
        machine.is_powered = True
        machine.is_frozen = False
        state = CheckedState(machine.clock, self.checks)
        node = ConsensusNode(
            node_id=machine.node_id,
            address=machine.address,
            storage=machine.storage,
            machine=state,
            transport=Transport(self.network, machine),
            clock=machine.clock,
            settings=SETTINGS,
            initial_voters=voters or {},
            rng=random.Random(self.rng.random()),
            bootstrap=voters is not None,
            started_at=machine.clock.now() - self.rng.uniform(0, 0.6),
        )
        machine.process = self._process(machine, node, state)
        node.load()
        self.log(f"start {machine.node_id}")

    def _process(
        self, machine: Machine, node: ConsensusNode, state: CheckedState
    ) -> Process:
        control, clock = ControlNode(node), machine.clock
        voters = VoterMaintenance(node, WANTED_VOTERS, clock)
        watch = WatchApi(
            control, state, WaitSlots(WAIT_SLOTS), clock, lambda: members_of(node)
        )
        return Process(machine, node, state, control, voters, watch)

    def kill(self, machine: Machine) -> None:
        """Kill the process; what it wrote stays in the files."""
        self.log(f"kill {machine.node_id}")
        machine.process = None
        machine.is_frozen = False
        machine.storage.crash(kept=10_000)

    def lose_power(self, machine: Machine) -> None:
        """Lose the unsynced entries from any of them on."""
        unsynced = len(machine.storage._unsynced)
        kept = self.rng.randint(0, unsynced)
        self.log(f"power lost {machine.node_id}, {kept} of {unsynced} unsynced kept")
        machine.process = None
        machine.is_powered = machine.is_frozen = False
        machine.power_losses += 1
        machine.storage.crash(kept)

    def lose_disk(self, machine: Machine) -> None:
        """Lose the disk; the next process has a new identity at the same address."""
        self.log(f"disk lost {machine.node_id}")
        machine.process = None
        machine.is_frozen = False
        machine.storage.wipe()
        machine.disks += 1
        machine.node_id = f"{machine.name}-{machine.disks}"

    def thaw(self, machine: Machine) -> None:
        """Let a frozen process continue with the messages that arrived meanwhile."""
        process, machine.is_frozen = machine.process, False
        self.log(f"thaw {machine.node_id}")
        if process is None:
            return
        inbox, process.inbox = process.inbox, []
        for path, body in inbox:
            with contextlib.suppress(PeerCallError):
                self.network.deliver(machine, path, body)

    def live(self) -> list[Machine]:
        """Return the machines whose processes run."""
        return [
            one
            for one in self.machines.values()
            if one.process is not None and not one.is_frozen
        ]

    def leader(self) -> Machine | None:
        """Return the machine that leads the newest term with a lease."""
        leading = [
            one
            for one in self.live()
            if one.process is not None and one.process.node.leadership() is not None
        ]
        return leading[0] if leading else None

    def is_whole(self) -> bool:
        """Return whether the group tolerates the loss of one disk now."""
        leader = self.leader()
        if leader is None or leader.process is None:
            return False
        state = leader.process.node._state
        if state.configurations.current_index > state.commit_index:
            return False
        voters = state.configuration.voters
        running = {one.node_id for one in self.live()}
        return (
            len(voters) == WANTED_VOTERS and voters <= running and not self.network.cuts
        )

    def pass_time(self, seconds: float) -> None:
        """Advance all clocks and run all processes once."""
        self.now += seconds
        for machine in self.machines.values():
            machine.clock.advance(seconds)
        if self.depth >= MAX_DEPTH:
            return
        self.depth += 1
        try:
            self.network.deliver_late()
            for machine in list(self.machines.values()):
                self._stepper.step(machine)
            self.operator.settle()
            for proxy in self.proxies:
                proxy.run()
        finally:
            self.depth -= 1

    def run(self, seconds: float) -> None:
        """Run for a time, with the operator's orders."""
        until = self.now + seconds
        while self.now < until:
            self.pass_time(TICK)
            if self.order_pause is not None and self.now >= self.next_order:
                self.next_order = self.now + self.rng.uniform(*self.order_pause)
                self.operator.order()
            if self.read_chance and self.rng.random() < self.read_chance:
                self.operator.read_newer()
            if self.network.chaos and self.rng.random() < 0.05:
                self.operator.read()
