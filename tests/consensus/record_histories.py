"""Histories in which members with fixed names are lost at given times."""

import random
from dataclasses import dataclass

from dogwoodspool_common import Address

from .replaced_voters import Machine, SimulatedProxy, World, revision_of

# A change must be in force this long after its acknowledgement, if no control process
# was lost or started for some time before; and beside such events in any case.
STABLE_SECONDS = 4.0
CHANGE_SECONDS = 3.0
LONGEST_CHANGE_SECONDS = 15.0
# A claim to be up to date is valid for a few heartbeats of a learner.
CLAIM_SECONDS = 1.0
WATCH_WAIT_MS = 1_000
LOSSES = ("silent", "refusing", "accepting", "cut off", "wiped", "mixed")
PROXIES = ("a-1", "a-2", "a-3", "a-4", "b-1", "b-2", "b-3", "c-1", "c-2")


@dataclass(frozen=True, slots=True)
class Replacement:
    """A member that is lost, and the time at which another one starts; in seconds."""

    lost: str
    lost_at: float
    fresh: str
    fresh_at: float


@dataclass(frozen=True, slots=True)
class Timeline:
    """Addresses of all members, and when they are lost and replaced.

    At ``end_at`` all lose power, and ``without_disk`` its disk.
    """

    port: int
    hosts: dict[str, str]
    replacements: tuple[Replacement, ...]
    end_at: float
    without_disk: str


REPLACED_C_B_A = Timeline(
    7360,
    {
        "a-1": "10.1.0.3",
        "b-1": "10.2.0.146",
        "c-1": "10.3.0.175",
        "a-5": "10.1.0.12",
        "b-5": "10.2.0.107",
        "c-5": "10.3.0.90",
    },
    (
        Replacement("c-1", 17.8, "c-5", 19.8),
        Replacement("b-1", 27.5, "b-5", 29.5),
        Replacement("a-1", 35.8, "a-5", 37.8),
    ),
    57.7,
    "c-5",
)
REPLACED_BY_LASTING_LEADER = Timeline(
    7720,
    {
        "a-1": "10.1.0.194",
        "b-1": "10.2.0.73",
        "c-1": "10.3.0.90",
        "a-5": "10.1.0.106",
        "b-5": "10.2.0.229",
        "c-5": "10.3.0.169",
    },
    (
        Replacement("c-1", 17.2, "c-5", 19.2),
        Replacement("b-1", 26.6, "b-5", 28.6),
        Replacement("a-1", 35.5, "a-5", 37.5),
    ),
    57.3,
    "c-5",
)
TIMELINES = (REPLACED_C_B_A, REPLACED_BY_LASTING_LEADER)
# Least time from a loss to the start of the replacement.
SHORTEST_GAP = 0.3
# Time before the first loss that is left out.
SKIPPED_SECONDS = 12.0


def random_timeline(seed: int) -> Timeline:
    """Return a timeline with other losses, 4 to 9 s apart, and quick replacements."""
    rng = random.Random(f"timeline {seed}")
    at = SKIPPED_SECONDS + 3.0
    replacements = []
    for domain in rng.sample("abc", 3):
        fresh_at = at + rng.uniform(0.3, 3.0)
        lost, fresh = f"{domain}-1", f"{domain}-5"
        replacements.append(Replacement(lost, at, fresh, fresh_at))
        at += rng.uniform(4.0, 9.0)
    end_at = at + rng.choice((0.0, 5.0))
    without_disk = f"{rng.choice('abc')}-5"
    hosts = rng.choice(TIMELINES).hosts
    return Timeline(7360, hosts, tuple(replacements), end_at, without_disk)


class RecordHistory:
    """The losses of a timeline, each moved by a random time, with nine proxies."""

    def __init__(self, seed: int, timeline: Timeline) -> None:
        self.rng = random.Random(f"record {seed}")
        self.world = World(seed)
        self.timeline = timeline
        self.loss = self.rng.choice(LOSSES)
        self.largest_lag = 0.0
        self.largest_stable_lag = 0.0
        self.jitter = self.rng.choice((0.0, 0.2, 1.5))
        self._event_at = 0.0
        self._restarted_at: dict[str, float] = {}
        self._unseen: dict[str, list[tuple[int, float]]] = {}
        self._acked = 0

    def run(self) -> None:
        """Run the timeline with all its checks."""
        world, rng = self.world, self.rng
        voters = {}
        for name in ("a-1", "b-1", "c-1"):
            self._add(name)
            voters[name] = world.machines[name].address
        leader = rng.choice(("b-1", "b-1", "a-1", "c-1"))
        for name in sorted(voters, key=lambda one: one != leader):
            world.start(world.machines[name], voters)
            if name == leader:
                state = world.machines[name].process.node._state  # type: ignore[union-attr]
                state.election_deadline = state.clock.now()
        self._event(f"losses are {self.loss}")
        world.run(rng.choice((0.2, 2.0)))
        reports = rng.random() < 0.3
        world.proxies = [
            SimulatedProxy(
                world,
                f"edge-southeast-{name}",
                name[0],
                reports=reports,
                wait_ms=WATCH_WAIT_MS,
            )
            for name in PROXIES
        ]
        try:
            self._run_timeline()
        finally:
            for proxy in world.proxies:
                proxy.stop()

    def _run_timeline(self) -> None:
        plan: list[tuple[float, Replacement, bool]] = []
        for one in self._replacements():
            lost_at = self._moved(one.lost_at)
            fresh_at = max(lost_at + SHORTEST_GAP, self._moved(one.fresh_at))
            plan += [(lost_at, one, True), (fresh_at, one, False)]
        plan.sort(key=lambda item: item[0])
        started: set[str] = set()
        for at, one, is_loss in plan:
            self._run_until(at)
            if is_loss:
                self._lose(one)
            elif one.fresh not in started:
                started.add(one.fresh)
                self._start_fresh(one)
        self._run_until(self._moved(self.timeline.end_at))
        self._lose_all()

    def _replacements(self) -> tuple[Replacement, ...]:
        return self.timeline.replacements

    def _moved(self, at: float) -> float:
        return max(0.5, at - SKIPPED_SECONDS + self.rng.uniform(0, self.jitter))

    def _add(self, name: str) -> Machine:
        address = Address(self.timeline.hosts[name], self.timeline.port)
        return self.world.add_machine(name[0], name, address)

    def _event(self, text: str) -> None:
        self._event_at = self.world.now
        self.world.log(text)

    def _lose(self, one: Replacement) -> None:
        world, machine = self.world, self.world.machines[one.lost]
        self._wait_whole()
        loss = self.loss
        if loss == "mixed":
            loss = self.rng.choice(LOSSES[:4])
        self._event(f"{one.lost} is lost: {loss}")
        machine.is_gone = True
        if loss == "silent":
            world.lose_power(machine)
        elif loss == "refusing":
            world.kill(machine)
        elif loss == "accepting":
            machine.is_frozen = True
        elif loss == "wiped":
            world.lose_disk(machine)
            machine.is_gone = False
        else:
            for other in self.timeline.hosts:
                if other != one.lost:
                    world.network.cuts |= {(one.lost, other), (other, one.lost)}

    def _start_fresh(self, one: Replacement) -> None:
        if self.loss == "wiped":
            machine = self.world.machines[one.lost]
        else:
            machine = self._add(one.fresh)
        self._event(f"start {machine.node_id}")
        self.world.start(machine)

    def _lose_all(self) -> None:
        world, rng, timeline = self.world, self.rng, self.timeline
        self._wait_whole()
        if rng.random() < 0.7:
            # The disk is lost right after an acknowledgement.
            acked, until = world.operator.acked, world.now + 2.0
            while world.operator.acked == acked and world.now < until:
                self._pass(0.05)
            self._pass(rng.choice((0.0, 0.05, 0.1, 0.2, 0.4)))
        leader = world.leader()
        name = timeline.without_disk
        if self.loss == "wiped" or rng.random() < 0.5:
            name = leader.name if leader is not None else name
        self._event(f"all lose power, {name} its disk")
        living = [one for one in world.machines.values() if not one.is_gone]
        for machine in list(world.machines.values()):
            if machine.name == name:
                world.lose_disk(machine)
            else:
                world.lose_power(machine)
        world.order_pause = None
        world.run(rng.uniform(0.3, 0.5))
        rng.shuffle(living)
        for machine in living:
            world.start(machine)
            self._pass(rng.choice((0.0, 0.05, 0.1)))
        for proxy in world.proxies:
            proxy.restart()
            self._restarted_at[proxy.name] = world.now
            if rng.random() < 0.5:
                self._pass(0.05)
        self._event("all are back")
        self._run_until(world.now + 3.0)
        self._run_until(world.now + STABLE_SECONDS + CHANGE_SECONDS)
        leader = world.leader()
        assert leader is not None and leader.process is not None, "no leader"
        seen = leader.process.state.document.revision
        assert seen >= world.operator.acked, f"{seen}, not {world.operator.acked}"

    def _wait_whole(self) -> None:
        """Wait until one disk may be lost."""
        for _ in range(400):
            if self._is_whole():
                return
            self._pass(0.05)
        raise AssertionError("no three live voters")

    def _is_whole(self) -> bool:
        leader = self.world.leader()
        if leader is None or leader.process is None or leader.is_gone:
            return False
        state = leader.process.node._state
        if state.configurations.current_index > state.commit_index:
            return False
        running = {one.node_id for one in self.world.live() if not one.is_gone}
        voters = state.configuration.voters
        return len(voters) == 3 and voters <= running

    def _run_until(self, at: float) -> None:
        world, rng = self.world, self.rng
        while world.now < at:
            if rng.random() < 0.02:
                world.order_pause = rng.choice(((0.33, 0.34), (1.0, 2.0), (1.0, 2.0)))
            if world.order_pause is None:
                world.order_pause = (1.0, 2.0)
            if rng.random() < 0.003:
                proxy = rng.choice(world.proxies)
                world.log(f"restart {proxy.name}")
                proxy.restart()
                self._restarted_at[proxy.name] = world.now
            self._pass(0.05)

    def _pass(self, seconds: float) -> None:
        """Let time pass, with the checks that hold at any time."""
        if seconds == 0.0:
            return
        self.world.run(seconds)
        self._check_proxies()
        self._check_claims()

    def _check_proxies(self) -> None:
        world = self.world
        acked = world.operator.acked
        if acked > self._acked:
            self._acked = acked
            for proxy in world.proxies:
                waiting = self._unseen.setdefault(proxy.name, [])
                waiting.append((acked, world.now))
        for proxy in world.proxies:
            waiting = self._unseen.get(proxy.name, [])
            has = revision_of(proxy.views.view)
            waiting[:] = [one for one in waiting if one[0] > has]
            if not waiting or not proxy.views.is_filled:
                continue
            since = max(waiting[0][1], self._restarted_at.get(proxy.name, 0.0))
            self._record_lag(proxy, world.now - since, waiting[0][0])

    def _record_lag(self, proxy: SimulatedProxy, lag: float, revision: int) -> None:
        world = self.world
        stable = world.now - self._event_at
        self.largest_lag = max(self.largest_lag, lag)
        text = (
            f"{proxy.name} lacks {revision} after {lag:.2f} s, {stable:.2f} s after "
            f"an event; asks {proxy.peers.any()} of {proxy.peers.addresses}"
        )
        assert lag < LONGEST_CHANGE_SECONDS, text
        if stable >= STABLE_SECONDS:
            self.largest_stable_lag = max(self.largest_stable_lag, lag)
            assert lag < CHANGE_SECONDS, text

    def _check_claims(self) -> None:
        world = self.world
        times = world.operator.acked_at
        old = max(
            (one for one, at in times.items() if world.now - at > CLAIM_SECONDS),
            default=0,
        )
        for machine in world.live():
            process = machine.process
            if process is None or not process.node.is_following:
                continue
            seen = process.state.document.revision
            assert seen >= old, f"{machine.node_id} claims to have {old}, has {seen}"


def run_record(
    seed: int, timeline: Timeline, read_chance: float = 0.0
) -> RecordHistory:
    """Run a timeline with a seed; a failure shows its last events.

    Confirmed polls come with a chance of ``read_chance`` in each tick.
    """
    history = RecordHistory(seed, timeline)
    history.world.read_chance = read_chance
    try:
        history.run()
    except AssertionError as error:
        events = "\n".join(history.world.events[-60:])
        raise AssertionError(
            f"seed {seed}, port {timeline.port}: {error}\n{events}"
        ) from error
    return history
