"""Seeded histories in which all voters of a control group are replaced."""

import random
import unittest

from .replaced_voters import Machine, SimulatedProxy, World, revision_of

DOMAINS = ("a", "b", "c")
# After the last disturbance: an election, a change of two votes and a few heartbeats.
RECOVERY_SECONDS = 6.0
# A poll that has just begun at a silent process, and the connection to another one.
VIEW_SECONDS = 2.5
FAULTS = ("kill", "power", "disk", "cut", "one way", "freeze", "proxy")
SEEDS = range(6)


class History:
    """Three voters are lost one after the other, then all machines lose power."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(f"history {seed}")
        self.world = World(seed)
        self.lags: list[float] = []

    def run(self) -> None:
        """Run the whole history with all its checks."""
        world = self.world
        for domain in DOMAINS:
            world.add_machine(domain)
        voters = {one.name: one.address for one in world.machines.values()}
        for machine in list(world.machines.values()):
            world.start(machine, voters)
        world.run(2.0)
        world.proxies = [
            SimulatedProxy(world, f"p{number}", domain)
            for number, domain in enumerate((*DOMAINS, "a"))
        ]
        try:
            world.order_pause = self.rng.choice(((0.1, 0.4), (0.3, 1.5), (1.0, 3.0)))
            self._settle("start")
            first = list(world.machines.values())
            self.rng.shuffle(first)
            if self.rng.random() < 0.5:
                first.sort(key=lambda one: one is not world.leader())
            for machine in first:
                self._disturb(self.rng.randrange(4))
                self._replace(machine)
                self._disturb(self.rng.randrange(3))
                self._settle(f"{machine.name} replaced")
            self._disturb(self.rng.randrange(3))
            self._lose_all()
        finally:
            for proxy in world.proxies:
                proxy.stop()

    def _replace(self, machine: Machine) -> None:
        world = self.world
        self._wait_whole("before a replacement")
        world.network.chaos = self.rng.choice((0.0, 0.0, 0.02, 0.1))
        world.log(f"{machine.name} is gone")
        world.lose_power(machine)
        machine.is_gone = True
        world.run(self.rng.choice((0.3, 2.0, 4.0)))
        fresh = world.add_machine(machine.domain)
        world.start(fresh)
        world.run(self.rng.choice((0.2, 1.0, 3.0, 5.0)))
        world.network.chaos = 0.0

    def _disturb(self, count: int) -> None:
        world = self.world
        for _ in range(count):
            live = world.live()
            machine = self.rng.choice(live)
            leader = world.leader()
            if leader is not None and self.rng.random() < 0.4:
                machine = leader
            world.network.chaos = self.rng.choice((0.0, 0.0, 0.05, 0.2))
            kind = self.rng.choice(FAULTS)
            seconds = self.rng.choice((0.1, 0.5, 1.0, 2.0, 4.0))
            if kind == "disk":
                self._wait_whole("before a lost disk")
                if machine.process is not None:
                    world.lose_disk(machine)
            elif kind == "kill":
                world.kill(machine)
            elif kind == "power":
                world.lose_power(machine)
            elif kind == "freeze":
                world.log(f"freeze {machine.node_id}")
                machine.is_frozen = True
            elif kind == "proxy":
                self._cut_proxy()
            else:
                self._cut(machine, is_one_way=kind == "one way")
            world.run(seconds)
            world.network.chaos = 0.0
            self._repair()
            world.run(self.rng.choice((0.1, 0.5, 2.0)))
            if self.rng.random() < 0.3:
                self.rng.choice(world.proxies).restart()

    def _cut(self, machine: Machine, *, is_one_way: bool) -> None:
        world = self.world
        others = [one for one in world.machines.values() if one is not machine]
        if self.rng.random() < 0.4:
            others = [self.rng.choice(others)]
        for other in others:
            world.network.cuts.add((machine.name, other.name))
            if not is_one_way:
                world.network.cuts.add((other.name, machine.name))
        if is_one_way and self.rng.random() < 0.5:
            world.network.cuts = {
                (target, source) for source, target in world.network.cuts
            }
        world.log(f"cut {sorted(world.network.cuts)}")

    def _cut_proxy(self) -> None:
        """Cut a proxy off from all machines, or from all but one."""
        world = self.world
        proxy = self.rng.choice(world.proxies)
        names = sorted(world.machines)
        if self.rng.random() < 0.5:
            names.remove(self.rng.choice(names))
        world.network.cuts |= {(proxy.name, name) for name in names}
        world.log(f"cut {proxy.name} from {names}")

    def _repair(self) -> None:
        world = self.world
        if world.network.cuts:
            world.network.cuts.clear()
            world.log("links healed")
        for machine in world.machines.values():
            if machine.is_gone:
                continue
            if machine.is_frozen:
                world.thaw(machine)
            elif machine.process is None:
                world.start(machine)

    def _lose_all(self) -> None:
        world = self.world
        self._wait_whole("before the end")
        world.run(self.rng.choice((0.0, 0.05, 0.1, 0.5, 2.0)))
        self._wait_whole("before the end")
        leader = world.leader()
        assert leader is not None
        for machine in world.machines.values():
            if machine is leader:
                world.lose_disk(machine)
            elif not machine.is_gone:
                world.lose_power(machine)
        world.order_pause = None
        world.log("everything lost power")
        world.run(self.rng.choice((0.1, 1.0)))
        machines = [one for one in world.machines.values() if not one.is_gone]
        self.rng.shuffle(machines)
        for machine in machines:
            world.start(machine)
            world.run(self.rng.choice((0.0, 0.0, 0.05, 0.4)))
        for proxy in world.proxies:
            proxy.restart()
        self._settle("the end")

    def _wait_whole(self, when: str) -> None:
        """Wait until one disk may be lost."""
        chaos, self.world.network.chaos = self.world.network.chaos, 0.0
        for _ in range(400):
            if self.world.is_whole():
                self.world.network.chaos = chaos
                return
            self.world.run(0.05)
        raise AssertionError(f"no three live voters {when}")

    def _settle(self, when: str) -> None:
        """Check after the last disturbance that everyone catches up."""
        world = self.world
        self._repair()
        pause, world.order_pause = world.order_pause, None
        world.run(RECOVERY_SECONDS)
        leader = world.leader()
        assert leader is not None and leader.process is not None, f"{when}: no leader"
        if pause is not None:
            acked = world.operator.acked
            for _ in range(3):
                world.operator.order()
                world.run(0.3)
            assert world.operator.acked >= acked
        newest = leader.process.state.version
        revision = leader.process.state.document.revision
        assert revision >= world.operator.acked, (
            f"{when}: {revision}, not {world.operator.acked}"
        )
        self._wait_views(newest, when)
        for machine in world.live():
            process = machine.process
            assert process is not None
            version = process.state.version
            assert version >= newest, (
                f"{when}: {machine.node_id} has {version}, not {newest}; "
                f"following {process.node.is_following}"
            )
        world.order_pause = pause

    def _wait_views(self, newest: int, when: str) -> None:
        world = self.world
        began = world.now
        behind = list(world.proxies)
        while behind and world.now - began < VIEW_SECONDS:
            world.run(0.05)
            behind = [one for one in behind if one.views.view.version < newest]
        self.lags.append(world.now - began)
        for proxy in behind:
            raise AssertionError(
                f"{when}: {proxy.name} has {proxy.views.view.version} "
                f"({revision_of(proxy.views.view)}), not {newest}; "
                f"asks {proxy.peers.any()} of {proxy.peers.addresses}"
            )


class ReplacedVotersTests(unittest.TestCase):
    """All voters are replaced, and the last leader loses its disk with all power.

    Guards against an acknowledged revision that a later view lacks, and against a
    control process or proxy that stays behind.
    """

    def test_nothing_acknowledged_is_lost(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                history = History(seed)
                try:
                    history.run()
                except AssertionError as error:
                    events = "\n".join(history.world.events[-40:])
                    raise AssertionError(f"{error}\n{events}") from error
