"""Random histories of core machines with proxies that follow them.

The state machine is that of control, and the proxies poll through the real endpoint.
"""

from typing import Any, cast

from dogwoodspool_api import MemberMessage
from dogwoodspool_common import (
    Address,
    Consistency,
    DogwoodspoolError,
    Endpoint,
    JsonClient,
    JsonRequest,
    PeerRefusedError,
    PeerUnreachableError,
)
from dogwoodspool_common.const import FIRST_ERROR_STATUS, HTTP_CONNECT_TIMEOUT
from dogwoodspool_consensus import ConsensusNode
from dogwoodspool_control.commands import ApplyDocument, encode_command
from dogwoodspool_control.http.support import WaitSlots
from dogwoodspool_control.http.watch import WatchApi
from dogwoodspool_control.node import ControlNode
from dogwoodspool_control.settings.documents import Document, pack
from dogwoodspool_control.state import ControlState
from dogwoodspool_failover.api import members_of
from dogwoodspool_following import ControlPeers, ViewStore, WatchCoordinator

from tests.consensus.disks import DiskCluster
from tests.consensus.fakes import RecordingMachine, SteppingClock

from .core_histories import CATCH_UP_SECONDS, STEP_SECONDS, CoreHistory

PREFIX = "revision-"
WAIT_SLOTS = 48


class ControlMachine(RecordingMachine):
    """Control's state, beside a record of the commands."""

    def __init__(self, on_apply: Any) -> None:
        super().__init__(on_apply)
        self.state = ControlState(SteppingClock())

    def apply(self, index: int, command: dict[str, Any]) -> dict[str, Any]:
        """Apply one command to both."""
        super().apply(index, {"id": str(command["revision"])})
        return self.state.apply(index, command)

    def snapshot(self) -> dict[str, Any]:
        """Return the content of both."""
        return {"applied": super().snapshot(), "state": self.state.snapshot()}

    def restore(self, snapshot: dict[str, Any]) -> None:
        """Replace both."""
        super().restore(snapshot["applied"])
        self.state.restore(snapshot["state"])


class ControlCluster(DiskCluster):
    """Nodes that apply control's commands."""

    def build_machine(self) -> RecordingMachine:
        """Return control's state."""
        return ControlMachine(self._check_applied)


def document(revision: int) -> str:
    """Return a document with one database, named after its revision."""
    name = f"{PREFIX}{revision}"
    endpoint = Endpoint(
        name=name,
        database=name,
        group="orders",
        consistency=Consistency.PRIMARY,
        deadline_ms=1_000,
        target_latency_ms=100,
        priority=0,
        max_age_ms=None,
        is_public=False,
    )
    return pack(Document({"/": {}, "/orders": {}, "/orders/orders": {}}, (endpoint,)))


class HistoryProxy:
    """A proxy that polls without a wait, so that the history goes on meanwhile."""

    def __init__(
        self, history: "FollowingHistory", name: str, seeds: list[Address]
    ) -> None:
        self._history = history
        self.name = name
        clock = history.clock
        self.started_at = clock.now()
        self.first_view_after: float | None = None
        self.views = ViewStore("", clock)
        self.peers = ControlPeers(tuple(seeds), "", name)
        self._watch = WatchCoordinator(
            self.views, self.peers, cast(JsonClient, self), clock, 0
        )
        self._next_at = clock.now()
        self._cost = 0.0

    @property
    def revision(self) -> int:
        """Revision of the document in force at this proxy; 0 without one."""
        names = self.views.view.databases
        return max((int(one.removeprefix(PREFIX)) for one in names), default=0)

    def step(self) -> None:
        """Poll if a poll is due."""
        clock = self._history.clock
        if clock.now() < self._next_at:
            return
        self._cost = 0.0
        pause = self._watch.step()
        self._next_at = clock.now() + max(pause, self._cost)
        if self.views.is_filled and self.first_view_after is None:
            self.first_view_after = clock.now() - self.started_at

    def get(
        self, address: Address, path: str, query: dict[str, str], timeout: float
    ) -> dict[str, Any]:
        """Answer a poll as the process at an address would."""
        history = self._history
        name = history.name_at(address)
        if name is None or name not in history.cluster.running():
            self._cost = min(timeout, HTTP_CONNECT_TIMEOUT)
            raise PeerUnreachableError("no answer")
        known = history.newest_acknowledged
        response = (
            history.watch_api(name).routes()[0].handler(JsonRequest(path, query, None))
        )
        if response.status >= FIRST_ERROR_STATUS:
            raise PeerRefusedError(
                response.status, response.body["error"], response.body["message"]
            )
        view = response.body["view"]
        if query.get("confirmed") == "1" and view is not None:
            revisions = [
                int(one["name"].removeprefix(PREFIX)) for one in view["endpoints"]
            ]
            newest = max(revisions, default=0)
            assert newest >= known, (
                f"{self.name}: first view of {name} has {newest}, not {known}"
            )
        return dict(response.body)


class FollowingHistory(CoreHistory):
    """A history with proxies, most of them restarted at its end.

    Attributes:
        newest_acknowledged: highest revision of a document that was acknowledged.
        longest_claim: longest time for which a node without an acknowledged document
            claimed to be up to date.
    """

    cluster_type = ControlCluster

    def __init__(self, seed: int) -> None:
        self._apis: dict[str, tuple[ConsensusNode, WatchApi]] = {}
        self.proxies: list[HistoryProxy] = []
        self._revision = 0
        self.newest_acknowledged = 0
        self.acknowledged_at: dict[int, float] = {}
        self._seen_acknowledged: set[str] = set()
        self.content_of: dict[int, int] = {}
        self.longest_claim = 0.0
        self.clock = SteppingClock()
        super().__init__(seed)
        self.cluster.clocks["observer"] = self.clock
        self.seeds = list(self.cluster.addresses.values())[:3]
        for number in range(2):
            self._start_proxy(f"p{number}")

    def name_at(self, address: Address) -> str | None:
        """Return the node that listens at an address, if one ever did."""
        names = [
            name
            for name, known in self.cluster.addresses.items()
            if known == address and name in self.machines
        ]
        return names[0] if names else None

    def watch_api(self, name: str) -> WatchApi:
        """Return the endpoint of a running node."""
        node = self.cluster.nodes[name]
        known = self._apis.get(name)
        if known is None or known[0] is not node:
            machine = cast(ControlMachine, self.cluster.machines[name])
            machine.state._clock = self.cluster.clocks[name]

            def members() -> list[MemberMessage]:
                return members_of(node)

            api = WatchApi(
                ControlNode(node),
                machine.state,
                WaitSlots(WAIT_SLOTS),
                self.cluster.clocks[name],
                members,
            )
            known = self._apis[name] = node, api
        return known[1]

    def propose(self) -> None:
        """Submit a document to every node."""
        for name in self.cluster.running():
            self._revision += 1
            command = ApplyDocument(self._revision, document(self._revision), "test")
            try:
                proposal = self.cluster.nodes[name].submit(encode_command(command))
            except DogwoodspoolError:
                continue
            self._open[str(self._revision)] = proposal

    def _observe(self) -> None:
        try:
            super()._observe()
        finally:
            self._record()

    def _record(self) -> None:
        for text in self.acknowledged - self._seen_acknowledged:
            self._seen_acknowledged.add(text)
            self.acknowledged_at[int(text)] = self.clock.now()
            self.newest_acknowledged = max(self.newest_acknowledged, int(text))
        for name in self.cluster.running():
            machine = cast(ControlMachine, self.cluster.machines[name])
            state = machine.state
            revision = state.document.revision
            known = self.content_of.setdefault(state.version, revision)
            assert known == revision, f"version {state.version}: {known}, {revision}"
            node = self.cluster.nodes[name]
            if revision < self.newest_acknowledged and node.is_following:
                self.longest_claim = max(self.longest_claim, self._behind(revision))

    def _behind(self, revision: int) -> float:
        """Return for how long a newer revision has been acknowledged."""
        times = [at for one, at in self.acknowledged_at.items() if one > revision]
        return self.clock.now() - min(times) if times else 0.0

    def _check_kept(self) -> None:
        super()._check_kept()
        # A view must not be newer than the state of the group that has recovered.
        for name in self.cluster.leaders():
            node, machine = self.cluster.nodes[name], self.cluster.machines[name]
            if node.diagnostics().commit_index > node.last_applied:
                continue
            version = cast(ControlMachine, machine).state.version
            ahead = [
                one.name for one in self.proxies if one.views.view.version > version
            ]
            assert not ahead, f"{ahead} have a newer view than {version}"

    def run(self, seconds: float) -> None:
        """Run all nodes, and the polls of all proxies."""
        for _ in range(round(seconds / STEP_SECONDS)):
            super().run(STEP_SECONDS)
            for proxy in self.proxies:
                proxy.step()

    def _start_proxy(self, name: str, seeds: list[Address] | None = None) -> None:
        self.proxies.append(HistoryProxy(self, name, seeds or self.seeds))

    def play_replaced(self) -> None:
        """Replace all voters; then the leader loses its disk and all lose power."""
        self.cluster.crash(self.machines[3])
        del self.cluster.addresses[self.machines[3]]
        del self.machines[3]
        self.run(1.0)
        order = [0, 1, 2]
        self.rng.shuffle(order)
        for index in order:
            self._change_for(self.rng.choice((4.0, 6.0)))
            self._lose_disk(index, keeps_address=False)
            self._change_for(2.0)
            name = self.machines[index]
            self.cluster.start(name)
            self._change_for(3.0)
        self._change_for(self.rng.choice((0.0, 1.0, 4.0)))
        self._play_until_acknowledged()
        self._change_for(self.rng.choice((0.0, 0.0, 0.05, 0.1, 0.4)))
        leaders = self.cluster.leaders()
        index = self.rng.randrange(3)
        if leaders and self.rng.random() < 0.7:
            index = self.machines.index(leaders[0])
        self.end(index if self.rng.random() < 0.9 else None)

    def _change_for(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.1)):
            if self.rng.random() < 0.3:
                self.propose()
            self.run(0.1)

    def heal(self) -> None:
        """Start all processes in any order; those of the end beside proxies."""
        self.disks.before_call = lambda _kind, _path: None
        self.cluster.cut_links.clear()
        self.cluster.frozen.clear()
        missing = [
            one for one in self.cluster.addresses if one not in self.cluster.nodes
        ]
        self.rng.shuffle(missing)
        for name in missing:
            self.cluster.start(name, loading=self.rng.choice((None, 0.3)))
            self.run(self.rng.choice((0.0, 0.0, 0.05, 0.1, 0.3)))

    def end(self, lost: int | None, *, is_power: bool = True) -> None:
        """End the history; some proxies are restarted before the processes start."""
        kept = [one for one in self.proxies if self.rng.random() < 0.3]
        known = [one.peers.addresses for one in self.proxies]
        self.proxies = kept
        for number, addresses in enumerate(known):
            pool = [*self.seeds, *addresses]
            self.rng.shuffle(pool)
            # One of the addresses is that of a process that starts again.
            others = [one for place, one in enumerate(self.machines) if place != lost]
            live = self.cluster.addresses[self.rng.choice(others)]
            chosen = [*list(dict.fromkeys(pool))[:2], live]
            self.rng.shuffle(chosen)
            self._start_proxy(f"q{number}", list(dict.fromkeys(chosen)))
        super().end(lost, is_power=is_power)
        self.run(CATCH_UP_SECONDS)
        for proxy in self.proxies:
            assert proxy.revision >= self.newest_acknowledged, (
                f"{proxy.name} has {proxy.revision}, acknowledged "
                f"{self.newest_acknowledged}, view {proxy.views.view.version}, "
                f"peers {proxy.peers.addresses}"
            )
