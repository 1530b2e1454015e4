"""Simulated proxies that follow the control group."""

import threading
from typing import TYPE_CHECKING, Any, cast

from dogwoodspool_common import Address, JsonClient, PeerRefusedError
from dogwoodspool_common.const import HTTP_CONNECT_TIMEOUT
from dogwoodspool_following import ControlPeers, ViewStore, WatchCoordinator
from dogwoodspool_following.view import ProxyView

from .clock import WorldClock
from .connections import Connections
from .polls import Poll

if TYPE_CHECKING:
    from .world import World

REPORT_SECONDS = 0.2
PROXY_WAIT_MS = 1_000


class StoppedError(BaseException):
    """Ends the thread of a simulated proxy."""


class SimulatedProxy:
    """A proxy whose watch coordinator runs in a thread, one step at a time.

    The thread and the world never run together: each waits for the other.

    Args:
        reports: whether it also calls the leader, whose answers announce versions.
        wait_ms: time in milliseconds for which its polls wait.
    """

    def __init__(
        self,
        world: "World",
        name: str,
        domain: str,
        *,
        reports: bool = True,
        wait_ms: int = PROXY_WAIT_MS,
    ) -> None:
        self.world = world
        self._reports = reports
        self._wait_ms = wait_ms
        self.name = name
        self.domain = domain
        self._wake = threading.Semaphore(0)
        self._parked = threading.Semaphore(0)
        self._is_stopped = False
        self._is_running = False
        self._error: BaseException | None = None
        self.start()

    def start(self) -> None:
        """Start the process of the proxy, which knows nothing."""
        world = self.world
        addresses = tuple(
            one.address for one in world.machines.values() if not one.is_gone
        )
        self.clock = WorldClock(world.pass_time, 1.0)
        self.clock.now = lambda: world.now  # type: ignore[method-assign]
        self.views = ViewStore(self.domain, self.clock)
        self.views.add_listener(self._check_view)
        self.peers = ControlPeers(addresses, self.domain, self.name)
        self._until = 0.0
        self._request: Poll | None = None
        self._connections = Connections()
        self._next_report = 0.0
        client = cast(JsonClient, self)
        coordinator = WatchCoordinator(
            self.views, self.peers, client, self.clock, self._wait_ms
        )
        self._is_stopped = False
        self._thread = threading.Thread(
            target=self._loop, args=(coordinator,), daemon=True
        )
        self._thread.start()
        self._parked.acquire()

    def stop(self) -> None:
        """End the process."""
        self._is_stopped = True
        self._wake.release()
        self._thread.join()

    def restart(self) -> None:
        """Start anew."""
        self.stop()
        self.start()

    def run(self) -> None:
        """Run the thread as far as it gets at this time.

        A wait in one of its own polls runs everything else, but not the proxy itself.
        """
        if self._is_running:
            return
        self._is_running = True
        try:
            self._report()
            while self._is_due():
                self._wake.release()
                self._parked.acquire()
                if self._error is not None:
                    raise self._error
        finally:
            self._is_running = False

    def get(
        self, address: Address, path: str, query: dict[str, str], timeout: float
    ) -> dict[str, Any]:
        """Send a poll; called by the coordinator in the thread."""
        del path
        world = self.world
        target = next(one for one in world.machines.values() if one.address == address)
        self._request = Poll(
            machine=target,
            process=target.process,
            power_losses=target.power_losses,
            is_connected=self._connections.is_open(target, world.now),
            clock=self.clock,
            query=query,
            sent=world.now,
            timeout=timeout,
            acked=world.operator.acked,
        )
        self._park()
        request, self._request = self._request, None
        self._connections.record(request, world.now)
        if request.error is not None:
            raise request.error
        assert request.answer is not None
        return request.answer

    def _is_due(self) -> bool:
        if self._request is None:
            return self.world.now >= self._until
        network, poll = self.world.network, self._request
        is_cut = network.is_cut(self.name, poll.machine.name)
        return poll.advance(is_cut=is_cut)

    def _report(self) -> None:
        world = self.world
        if not self._reports or world.now < self._next_report:
            return
        self._next_report = world.now + REPORT_SECONDS
        address = self.peers.leader_or_next()
        machine = next(one for one in world.machines.values() if one.address == address)
        process = machine.process
        if (
            process is None
            or machine.is_frozen
            or self.world.network.is_cut(self.name, machine.name)
        ):
            if process is not None or not machine.is_powered:
                self._next_report += HTTP_CONNECT_TIMEOUT
            self.peers.record_failure(address)
        elif process.control.leadership() is not None:
            self.peers.record_leader_answer(address)
            self.views.record_announced(process.state.version)
        else:
            error = PeerRefusedError(421, "not_leader", process.control.leader)
            self.peers.record_refusal(address, error)

    def _check_view(self, view: ProxyView) -> None:
        known = self.world.checks.views.get(view.version)
        assert known is not None, f"no process had version {view.version}"
        whole = ProxyView.of(known)
        assert view.endpoints == whole.endpoints, "endpoints differ"
        assert view.databases == whole.databases, "databases differ"
        assert view.servers == whole.servers, "servers differ"
        assert view.groups == whole.groups, "groups differ"
        mine = {node.path: node for node in view.tree.nodes()}
        assert mine == {node.path: node for node in whole.tree.nodes()}, "trees differ"

    def _park(self) -> None:
        self._parked.release()
        self._wake.acquire()
        if self._is_stopped:
            raise StoppedError

    def _loop(self, coordinator: WatchCoordinator) -> None:
        try:
            self._park()
            while True:
                pause = coordinator.step()
                self._until = self.world.now + pause
                if pause:
                    self._park()
        except StoppedError:
            return
        except BaseException as error:  # noqa: BLE001
            self._error = error
            self._parked.release()
