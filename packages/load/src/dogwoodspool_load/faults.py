"""Carry out a schedule of faults on a running deployment."""

import threading
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace

from dogwoodspool_common import Address, DogwoodspoolError, HttpError
from dogwoodspool_testbed import Deployment, ProxyHandle, StandinHandle, TestbedError

from .errors import ScheduleError
from .schedule import FaultAction, ScheduledFault

RETRY_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class FaultDone:
    """A fault that was carried out.

    Attributes:
        at: monotonic seconds.
        detail: what it struck, such as the name of the primary then.
    """

    fault: ScheduledFault
    at: float
    detail: str


class FaultInjector:
    """Strike a deployment; processes and switches are reached by name."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._cut: set[str] = set()
        self._actions: Mapping[FaultAction, Callable[[ScheduledFault], str]] = {
            FaultAction.KILL_PRIMARY: self._kill_primary,
            FaultAction.FREEZE_PRIMARY: self._freeze_primary,
            FaultAction.PROMOTE: self._promote,
            FaultAction.CUT: self._cut_failure_domain,
            FaultAction.HEAL: self._heal_failure_domain,
            FaultAction.KILL_PROXY: self._kill,
            FaultAction.TERMINATE_PROXY: self._terminate,
            FaultAction.KILL_LEADER: self._kill_leader,
            FaultAction.THAW: self._thaw,
            FaultAction.RESTART: self._restart,
            FaultAction.LAG: self._lag,
            FaultAction.SILENCE: self._silence,
        }

    def strike(self, fault: ScheduledFault) -> FaultDone:
        """Carry out one fault now."""
        at = time.monotonic()
        return FaultDone(fault, at, self._actions[fault.action](fault))

    def run(
        self,
        faults: Sequence[ScheduledFault],
        begins_at: float,
        stop: threading.Event,
        done: list[FaultDone],
    ) -> None:
        """Carry out a schedule; a fault that cannot be struck is said as such."""
        for fault in faults:
            if stop.wait(max(0.0, begins_at + fault.at - time.monotonic())):
                return
            try:
                done.append(self.strike(fault))
            except (DogwoodspoolError, KeyError) as error:
                done.append(FaultDone(fault, time.monotonic(), f"not done: {error!r}"))

    def restart(self, name: str) -> None:
        """Start an ended process again; its new addresses are taken over."""
        deployment = self._deployment
        deployment.processes.restart(name)
        ready = deployment.processes.ready(name)
        for index, standin in enumerate(deployment.standins):
            if standin.name == name:
                deployment.standins[index] = _moved_standin(standin, ready)
        for index, proxy in enumerate(deployment.proxies):
            if proxy.name == name:
                deployment.proxies[index] = _moved_proxy(proxy, ready)

    def _primary(self, group: str) -> StandinHandle:
        if group not in self._deployment.shape.groups:
            raise ScheduleError(f"no group {group!r}")
        while True:
            try:
                return self._deployment.primary(group)
            except TestbedError:
                # During an election no voter confirms its state.
                time.sleep(RETRY_SECONDS)

    def _standin(self, name: str) -> StandinHandle:
        for standin in self._deployment.standins:
            if standin.name == name:
                return standin
        raise ScheduleError(f"no backend server {name!r}")

    def _kill_primary(self, fault: ScheduledFault) -> str:
        primary = self._primary(fault.target)
        self._deployment.processes.kill(primary.name)
        return primary.name

    def _freeze_primary(self, fault: ScheduledFault) -> str:
        primary = self._primary(fault.target)
        self._deployment.processes.freeze(primary.name)
        return primary.name

    def _promote(self, fault: ScheduledFault) -> str:
        self._deployment.promote(fault.target)
        return fault.target

    def _cut_failure_domain(self, fault: ScheduledFault) -> str:
        self._cut.add(fault.target)
        return self._apply_cuts()

    def _heal_failure_domain(self, fault: ScheduledFault) -> str:
        self._cut.discard(fault.target)
        return self._apply_cuts()

    def _apply_cuts(self) -> str:
        """Cut the backend servers' connections; control's own stay as they are."""
        domains = set(self._deployment.shape.failure_domains)
        for standin in self._deployment.standins:
            home = standin.failure_domain
            lost = domains - {home} if home in self._cut else self._cut
            try:
                self._deployment.fault(standin, cut_failure_domains=sorted(lost))
            except HttpError:
                continue  # It was killed, and so it is cut off anyway.
        return ",".join(sorted(self._cut))

    def _kill(self, fault: ScheduledFault) -> str:
        self._deployment.processes.kill(fault.target)
        return fault.target

    def _terminate(self, fault: ScheduledFault) -> str:
        self._deployment.processes.terminate(fault.target)
        return fault.target

    def _kill_leader(self, _fault: ScheduledFault) -> str:
        leader = self._deployment.leader()
        if leader is None:
            raise ScheduleError("control has no leader now")
        self._deployment.processes.kill(leader.name)
        return leader.name

    def _thaw(self, fault: ScheduledFault) -> str:
        self._deployment.processes.thaw(fault.target)
        return fault.target

    def _restart(self, fault: ScheduledFault) -> str:
        self.restart(fault.target)
        return fault.target

    def _lag(self, fault: ScheduledFault) -> str:
        self._deployment.fault(self._standin(fault.target), lag_ms=fault.amount_ms)
        return fault.target

    def _silence(self, fault: ScheduledFault) -> str:
        self._deployment.fault(self._standin(fault.target), silence_connections=True)
        return fault.target


def _moved_standin(handle: StandinHandle, ready: Mapping[str, str]) -> StandinHandle:
    return replace(
        handle,
        address=Address.parse(ready["address"]),
        control_address=Address.parse(ready["control_address"]),
    )


def _moved_proxy(handle: ProxyHandle, ready: Mapping[str, str]) -> ProxyHandle:
    return replace(
        handle,
        address=Address.parse(ready["address"]),
        http_address=Address.parse(ready["http_address"]),
    )
