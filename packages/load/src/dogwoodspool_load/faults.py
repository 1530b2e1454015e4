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
class InjectedFault:
    """A fault of the schedule that was injected or attempted.

    Attributes:
        at: monotonic seconds.
        detail: what it was injected into, such as the name of the primary at that
            time, or the error that prevented it.
    """

    fault: ScheduledFault
    at: float
    detail: str


class FaultInjector:
    """Inject faults into a deployment's processes and network connections."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._cut_domains: set[str] = set()
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

    def inject(self, fault: ScheduledFault) -> InjectedFault:
        """Inject one fault now."""
        at = time.monotonic()
        return InjectedFault(fault, at, self._actions[fault.action](fault))

    def run(
        self,
        faults: Sequence[ScheduledFault],
        begins_at: float,
        stop: threading.Event,
        injected: list[InjectedFault],
    ) -> None:
        """Inject the faults of a schedule; record a failed one as not done."""
        for fault in faults:
            if stop.wait(max(0.0, begins_at + fault.at - time.monotonic())):
                return
            try:
                injected.append(self.inject(fault))
            except (DogwoodspoolError, KeyError) as error:
                injected.append(
                    InjectedFault(fault, time.monotonic(), f"not done: {error!r}")
                )

    def restart(self, name: str) -> None:
        """Restart an ended process and store its new addresses in the deployment."""
        deployment = self._deployment
        deployment.processes.restart(name)
        ready = deployment.processes.ready(name)
        for index, standin in enumerate(deployment.standins):
            if standin.name == name:
                deployment.standins[index] = _standin_with_addresses(standin, ready)
        for index, proxy in enumerate(deployment.proxies):
            if proxy.name == name:
                deployment.proxies[index] = _proxy_with_addresses(proxy, ready)

    def _primary(self, group: str) -> StandinHandle:
        if group not in self._deployment.shape.groups:
            raise ScheduleError(f"unknown group {group!r}")
        while True:
            try:
                return self._deployment.primary(group)
            except TestbedError:
                # During an election no voter can confirm the view.
                time.sleep(RETRY_SECONDS)

    def _standin(self, name: str) -> StandinHandle:
        for standin in self._deployment.standins:
            if standin.name == name:
                return standin
        raise ScheduleError(f"unknown backend server {name!r}")

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
        self._cut_domains.add(fault.target)
        return self._apply_cuts()

    def _heal_failure_domain(self, fault: ScheduledFault) -> str:
        self._cut_domains.discard(fault.target)
        return self._apply_cuts()

    def _apply_cuts(self) -> str:
        """Cut the backend servers' connections across failure domains.

        The connections of control itself are not cut.
        """
        domains = set(self._deployment.shape.failure_domains)
        for standin in self._deployment.standins:
            home = standin.failure_domain
            lost = domains - {home} if home in self._cut_domains else self._cut_domains
            try:
                self._deployment.fault(standin, cut_failure_domains=sorted(lost))
            except HttpError:
                continue  # The server was killed and is unreachable in any case.
        return ",".join(sorted(self._cut_domains))

    def _kill(self, fault: ScheduledFault) -> str:
        self._deployment.processes.kill(fault.target)
        return fault.target

    def _terminate(self, fault: ScheduledFault) -> str:
        self._deployment.processes.terminate(fault.target)
        return fault.target

    def _kill_leader(self, _fault: ScheduledFault) -> str:
        leader = self._deployment.leader()
        if leader is None:
            raise ScheduleError("control has no leader at present")
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


def _standin_with_addresses(
    handle: StandinHandle, ready: Mapping[str, str]
) -> StandinHandle:
    return replace(
        handle,
        address=Address.parse(ready["address"]),
        control_address=Address.parse(ready["control_address"]),
    )


def _proxy_with_addresses(handle: ProxyHandle, ready: Mapping[str, str]) -> ProxyHandle:
    return replace(
        handle,
        address=Address.parse(ready["address"]),
        http_address=Address.parse(ready["http_address"]),
    )
