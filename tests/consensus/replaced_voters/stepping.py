"""The steps of the simulated control processes."""

import contextlib
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from dogwoodspool_consensus import ConsensusError

from ..fakes import SimulatedCrashError
from .machines import Machine, Process
from .network import MAX_CALL_DEPTH

if TYPE_CHECKING:
    from .world import World

PEER_STEPS = 6
JOIN_SECONDS = 0.4
JOIN_TIMEOUT = 3.0


class Stepper:
    """Runs what the threads of a control process would do, one step at a time."""

    def __init__(self, world: "World") -> None:
        self._world = world

    def step(self, machine: Machine) -> None:
        """Run the steps of one process that are due."""
        world, process = self._world, machine.process
        if process is None or machine.is_frozen:
            return
        for one in self._steps(process):
            if machine.process is not process or machine.is_frozen:
                return
            try:
                one()
            except SimulatedCrashError:
                return
            world.checks.check_logs(process)
        world.checks.check_leaders(world.machines.values())

    def _steps(self, process: Process) -> list[Callable[[], Any]]:
        node = process.node
        members = node._state.configuration.members.keys()
        peers = sorted(members - {process.machine.node_id})
        steps: list[Callable[[], Any]] = [
            node.tick,
            node.write_pending,
            *[partial(self._step_peer, process, peer) for peer in peers],
            node.apply_committed,
        ]
        if self._world.depth <= MAX_CALL_DEPTH:
            upkeep = (self._catch_up, self._keep_voters, self._join)
            steps += [partial(one, process) for one in upkeep]
        return steps

    def _step_peer(self, process: Process, peer: str) -> None:
        for _ in range(PEER_STEPS):
            process.node.step_peer(peer)
            if process.machine.process is not process or process.machine.is_frozen:
                return
            if process.node._peer_due(peer) > process.machine.clock.now():
                return

    def _catch_up(self, process: Process) -> None:
        if process.is_reading:
            return
        process.is_reading = True
        try:
            process.control.catch_up()
        finally:
            process.is_reading = False

    def _keep_voters(self, process: Process) -> None:
        now = process.machine.clock.now()
        if process.is_in_upkeep or now < process.next_voters_step:
            return
        process.is_in_upkeep = True
        try:
            process.next_voters_step = now + process.voters.step()
        finally:
            process.is_in_upkeep = False

    def _join(self, process: Process) -> None:
        now, machine = process.machine.clock.now(), process.machine
        if now < process.next_join or machine.process is not process:
            return
        process.next_join = now + JOIN_SECONDS
        if self._is_member(process):
            return
        leader = self._world.leader()
        if leader is None or leader.process is None:
            return
        links = {(machine.name, leader.name), (leader.name, machine.name)}
        if links & self._world.network.cuts:
            return
        with contextlib.suppress(ConsensusError):
            leader.process.node.add_learner(
                machine.node_id, machine.address, machine.domain, JOIN_TIMEOUT
            )

    def _is_member(self, process: Process) -> bool:
        machine = process.machine
        return any(
            one.node_id == machine.node_id and one.failure_domain == machine.domain
            for one in process.node.diagnostics().members
        )
