"""Fakes of the interfaces that the control library uses."""

import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field, replace
from typing import Any

from dogwoodspool_api import (
    GroupReport,
    Observation,
    PositionMessage,
    ReleaseRequest,
    ReleaseResponse,
    RenewRequest,
    StatusMessage,
)
from dogwoodspool_backend import BackendError, RoleChanger
from dogwoodspool_common import (
    Address,
    BackendServer,
    ManualClock,
    Position,
    Role,
    ServerStatus,
)
from dogwoodspool_consensus import Leadership, NotLeaderError
from dogwoodspool_control.commands import (
    BootstrapGroup,
    ChangeSettings,
    Command,
    RecordServer,
    RegisterProxy,
)
from dogwoodspool_control.errors import ReleaseFailedError
from dogwoodspool_control.grants.grants import GrantTable
from dogwoodspool_control.membership.incarnations import IncarnationAges
from dogwoodspool_control.models import Outcome, ProxyRecord
from dogwoodspool_control.node import ControlNode
from dogwoodspool_control.promotion.dependencies import PromotionDependencies
from dogwoodspool_control.promotion.failovers import FailoverTimeline
from dogwoodspool_control.state import ControlState

GROUP = "chat"
SERVERS = ("s1", "s2", "s3")
DOMAINS = ("fd1", "fd2", "fd3")
FAR_FUTURE = 1e9
CLOCK_STEP = 0.01
MAX_REAL_SECONDS = 30.0


class FakeLog:
    """A log whose entries all voters commit and apply immediately."""

    def __init__(self) -> None:
        self.index = 0
        self.states: list[ControlState] = []

    def append(self, command: dict[str, Any]) -> list[dict[str, Any]]:
        self.index += 1
        return [state.apply(self.index, command) for state in self.states]


class FakeNode:
    """One voter; it loses its leadership where ``loses_leadership_before`` is true."""

    def __init__(self, log: FakeLog, state: ControlState) -> None:
        self._log = log
        self._state = state
        self.current: Leadership | None = None
        self.loses_leadership_before: Callable[[dict[str, Any]], bool] = (
            lambda _command: False
        )
        self.leader_address = None
        self.is_following = True
        log.states.append(state)

    def propose(self, command: dict[str, Any], timeout: float) -> dict[str, Any]:
        if self.loses_leadership_before(command):
            self.current = None
        if self.current is None:
            raise NotLeaderError(None)
        return self._log.append(command)[self._log.states.index(self._state)]

    def leadership(self) -> Leadership | None:
        return self.current

    def holders(self, index: int) -> tuple[str, ...]:
        return ()

    def confirm_read(self, timeout: float) -> int:
        return self._log.index


@dataclass
class FakeServer:
    """A backend server with a given position, which may be silent."""

    position: Position
    role: Role = Role.REPLICA
    is_silent: bool = False
    upstream: Address | None = None
    fenced: int = 0


@dataclass
class FakeServers:
    """The servers of one group, with the interface of a role changer."""

    servers: dict[str, FakeServer]
    calls: list[tuple[str, str, int]] = field(default_factory=list)
    replicates: bool = True

    def of_group(self, group: str) -> RoleChanger:
        return self

    def status(self, server: BackendServer) -> ServerStatus:
        fake = self._reach(server)
        return ServerStatus(server.name, fake.role, fake.position, 0.0, False)

    def promote(self, server: BackendServer, term: int) -> ServerStatus:
        self.calls.append(("promote", server.name, term))
        fake = self._reach(server)
        self._refuse_older(fake, term)
        fake.role, fake.position = Role.PRIMARY, replace(fake.position, term=term)
        return self.status(server)

    def follow(
        self, server: BackendServer, primary_address: Address, term: int
    ) -> ServerStatus:
        self.calls.append(("follow", server.name, term))
        fake = self._reach(server)
        self._refuse_older(fake, term)
        fake.role, fake.upstream = Role.REPLICA, primary_address
        primaries = [one for one in self.servers.values() if one.role is Role.PRIMARY]
        caught_up = max((one.position.offset for one in primaries), default=0)
        fake.position = Position(term, max(fake.position.offset, caught_up))
        return self.status(server)

    def fence(self, server: BackendServer, term: int) -> ServerStatus:
        self.calls.append(("fence", server.name, term))
        fake = self._reach(server)
        fake.fenced = term
        if self.replicates:
            for other in self.servers.values():
                other.position = fake.position
        return self.status(server)

    def _reach(self, server: BackendServer) -> FakeServer:
        fake = self.servers[server.name]
        if fake.is_silent:
            raise BackendError(f"{server.name} is silent")
        return fake

    def _refuse_older(self, fake: FakeServer, term: int) -> None:
        if term < fake.position.term:
            raise BackendError(f"term {term} is older than {fake.position.term}")


@dataclass
class FakeProxies:
    """Proxies that answer a release with their acknowledged positions."""

    acked: dict[str, Position | None] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)
    asked: list[tuple[str, int]] = field(default_factory=list)

    def release(self, proxy: ProxyRecord, request: ReleaseRequest) -> ReleaseResponse:
        self.asked.append((proxy.name, request.term))
        if proxy.name in self.silent:
            raise ReleaseFailedError(proxy.name)
        acked = self.acked.get(proxy.name)
        message = None if acked is None else PositionMessage.of(acked)
        return ReleaseResponse(incarnation=proxy.incarnation, acked=message)


class Voter:
    """The components of one voter around a fake log."""

    def __init__(self, clock: ManualClock, log: FakeLog) -> None:
        self.clock = clock
        self.state = ControlState(clock)
        self.log_node = FakeNode(log, self.state)
        self.node = ControlNode(self.log_node)
        self.table = GrantTable(clock, self.state, self.node)
        self.ages = IncarnationAges(clock)
        self.timeline = FailoverTimeline(clock)

    def lead(self, term: int) -> None:
        """Make this voter the leader from now on."""
        self.log_node.current = Leadership(term, self.clock.now(), FAR_FUTURE)
        self.node.catch_up()

    def stop_leading(self) -> None:
        """End the leadership of this voter."""
        self.log_node.current = None

    def commit(self, command: Command) -> Outcome:
        """Commit a command that must be accepted."""
        return self.node.commit(command)

    def dependencies(
        self,
        servers: FakeServers,
        proxies: FakeProxies,
        executor: ThreadPoolExecutor,
        is_failed: bool = True,
    ) -> PromotionDependencies:
        """Return the dependencies of promotions."""
        return PromotionDependencies(
            clock=self.clock,
            node=self.node,
            state=self.state,
            table=self.table,
            ages=self.ages,
            release_client=proxies,
            role_changers=servers,
            timeline=self.timeline,
            executor=executor,
            is_failed=lambda _group, _server: is_failed,
        )


def server(name: str, failure_domain: str = "fd1", **changes: Any) -> BackendServer:
    """Return a backend server of the test group."""
    known = BackendServer(
        name, GROUP, failure_domain, Address("127.0.0.1", 4000), 3, 20
    )
    return replace(known, **changes)


def populate(voter: Voter, proxies: Mapping[str, str]) -> None:
    """Commit a group with s1 as primary at term 1, and proxies by domain."""
    for name, domain in zip(SERVERS, DOMAINS, strict=True):
        voter.commit(RecordServer(server(name, domain)))
    voter.commit(BootstrapGroup(GROUP, 1, "s1"))
    for name, domain in proxies.items():
        address = Address("127.0.0.1", 5000)
        voter.commit(RegisterProxy(name, f"{name}-a", domain, address))


def change_root(voter: Voter, version: int, **overrides: Any) -> Outcome:
    """Commit a change of the root of the settings tree."""
    change_id = f"root-{version}"
    return voter.commit(ChangeSettings(change_id, "/", version, overrides, "test"))


def renewal(
    proxy: str,
    domain: str = "fd1",
    incarnation: str | None = None,
    acked: Position | None = None,
    observations: list[Observation] | None = None,
    **changes: Any,
) -> RenewRequest:
    """Return a proxy's renewal."""
    report = GroupReport(
        group=GROUP,
        held_term=None,
        acked=None if acked is None else PositionMessage.of(acked),
    )
    return RenewRequest(
        proxy=proxy,
        incarnation=incarnation or f"{proxy}-a",
        failure_domain=domain,
        address="127.0.0.1:5000",
        groups=[report],
        observations=observations or [],
        **{"view_version": 0, **changes},
    )


def observation(
    name: str, unreachable_ms: float = 0, status: ServerStatus | None = None
) -> Observation:
    """Return a proxy's observation of a server."""
    message = None if status is None else StatusMessage.of(status)
    return Observation(server=name, unreachable_ms=unreachable_ms, status=message)


class SteppedClock(ManualClock):
    """A manual clock that knows its sleeping threads.

    It advances only while every sleep is still pending, so that time does not pass
    faster than threads that are delayed on a busy machine can follow.
    """

    def __init__(self) -> None:
        super().__init__()
        self._lock = threading.Lock()
        self._deadlines: list[float] = []

    def sleep(self, seconds: float) -> None:
        deadline = self.now() + seconds
        with self._lock:
            self._deadlines.append(deadline)
        try:
            super().sleep(seconds)
        finally:
            with self._lock:
                self._deadlines.remove(deadline)

    def step(self, seconds: float) -> bool:
        """Advance if threads sleep and none is due; return whether it advanced."""
        with self._lock:
            if not self._deadlines or min(self._deadlines) <= self.now():
                return False
        self.advance(seconds)
        return True


def run_advancing(
    clock: SteppedClock, work: Callable[[], object], seconds: float
) -> bool:
    """Run work in a thread while the clock advances; return whether it finished."""
    thread = threading.Thread(target=work, daemon=True)
    thread.start()
    deadline = clock.now() + seconds
    real_deadline = time.monotonic() + MAX_REAL_SECONDS
    while clock.now() < deadline and time.monotonic() < real_deadline:
        if not clock.step(CLOCK_STEP):
            thread.join(0.001)
        if not thread.is_alive():
            return True
    return False
