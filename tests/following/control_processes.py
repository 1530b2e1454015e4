"""Emulated control processes that fail in different ways, on a paused clock.

One poll takes the time that it would take a proxy: a refused connection a few
milliseconds, a host without power the connect timeout, and a process that accepts
connections and does not answer the whole timeout of the poll.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Final, cast

from dogwoodspool_api import ControlView, MemberMessage, WatchResponse
from dogwoodspool_common import (
    Address,
    JsonClient,
    ManualClock,
    PeerRefusedError,
    PeerUnreachableError,
)
from dogwoodspool_common.const import HTTP_CONNECT_TIMEOUT
from dogwoodspool_following import ControlPeers, ViewStore, WatchCoordinator

WAIT_MS: Final = 1_000
ROUND_TRIP: Final = 0.002
CONFIRM_TIMEOUT: Final = 0.4
LEADER_CALL_SECONDS: Final = 1.0


class Kind(StrEnum):
    """How a control process answers polls.

    Attributes:
        LIVE: up to date.
        REFUSED: its host runs, but no process listens there.
        SILENT: its host has no power: connections are not established.
        HANGING: connections are established or already open, and nothing is answered.
        BEHIND: in contact with the leader, but without the newest change.
        NOT_CURRENT: without contact to the leader, and with the members of before.
        EMPTY: a process that is in no configuration.
        FULL: up to date, but without a free slot for a poll that waits.
    """

    LIVE = "live"
    REFUSED = "refused"
    SILENT = "silent"
    HANGING = "hanging"
    BEHIND = "behind"
    NOT_CURRENT = "not current"
    EMPTY = "empty"
    FULL = "full"


@dataclass
class ControlProcess:
    """One emulated control process.

    Attributes:
        until: time at which it becomes ``later``.
        open_connections: connections that the proxy has kept open to it. On each of
            them, a poll of a silent host waits for its whole timeout.
        knows_until: newest change that a process that is not up to date knows.
        members: the members in its answers; None for those of the group.
    """

    kind: Kind = Kind.LIVE
    until: float = float("inf")
    later: Kind = Kind.LIVE
    open_connections: int = 0
    members: list[Address] | None = None
    retry_after_ms: int = 2_000


@dataclass
class ControlProcesses:
    """The control processes that a proxy can address.

    Attributes:
        changed_at: time at which version 2 replaces version 1.
        members: the members in the answers of processes that are up to date.
        polls: address, start and end of each poll.
        answer_seconds: additional time that each answer takes.
    """

    clock: ManualClock
    processes: dict[Address, ControlProcess]
    members: list[Address]
    changed_at: float = float("inf")
    polls: list[tuple[Address, float, float]] = field(default_factory=list)
    answer_seconds: float = 0.0

    def kind_at(self, address: Address, now: float) -> Kind:
        """Return how a process answers at a time."""
        process = self.processes[address]
        return process.later if now >= process.until else process.kind

    def get(
        self, address: Address, _path: str, query: dict[str, str], timeout: float
    ) -> dict[str, Any]:
        """Answer a poll and advance the clock by the time that it takes."""
        started = self.clock.now()
        try:
            return self._answer(address, query, timeout)
        finally:
            self.polls.append((address, started, self.clock.now()))

    def _answer(
        self, address: Address, query: dict[str, str], timeout: float
    ) -> dict[str, Any]:
        process = self.processes[address]
        now = self.clock.now()
        kind = self.kind_at(address, now)
        after = int(query["after"])
        must_confirm = query.get("confirmed") == "1"
        if kind is Kind.REFUSED:
            self._fail(ROUND_TRIP)
        if kind is Kind.SILENT and process.open_connections == 0:
            self._fail(min(timeout, HTTP_CONNECT_TIMEOUT))
        if kind is Kind.SILENT:
            process.open_connections -= 1
        if kind in (Kind.SILENT, Kind.HANGING):
            self._fail(timeout)
        if kind in (Kind.EMPTY, Kind.NOT_CURRENT) and must_confirm:
            waits = 0.0 if kind is Kind.EMPTY else CONFIRM_TIMEOUT
            self.clock.advance(ROUND_TRIP + waits)
            raise PeerRefusedError(503, "not_confirmed", "no quorum")
        ends = now + int(query["wait_ms"]) / 1_000
        if kind is Kind.FULL and after >= self._version(kind, now):
            ends = now
        if kind in (Kind.LIVE, Kind.FULL) and self._version(kind, now) <= after:
            ends = min(ends, max(now, self.changed_at))
        elif self._version(kind, now) > after:
            ends = now
        if process.until <= ends and process.later in (Kind.SILENT, Kind.HANGING):
            process.open_connections = max(0, process.open_connections - 1)
            self._fail(timeout)
        if process.until <= ends and process.later is Kind.REFUSED:
            self._fail(process.until - now + ROUND_TRIP)
        taken = ends - now + ROUND_TRIP + self.answer_seconds
        if taken > timeout:
            self._fail(timeout)
        self.clock.advance(taken)
        kind = self.kind_at(address, ends)
        version = self._version(kind, ends)
        is_full = kind is Kind.FULL and version <= after
        return WatchResponse(
            view=view(version) if version > after else None,
            leader=None,
            members=self._members(kind, process),
            is_current=kind in (Kind.LIVE, Kind.BEHIND, Kind.FULL),
            retry_after_ms=process.retry_after_ms if is_full else 0,
        ).model_dump(mode="json")

    def _version(self, kind: Kind, now: float) -> int:
        if kind is Kind.EMPTY:
            return 0
        is_up_to_date = kind in (Kind.LIVE, Kind.FULL)
        return 2 if is_up_to_date and now >= self.changed_at else 1

    def _members(self, kind: Kind, process: ControlProcess) -> list[MemberMessage]:
        if kind is Kind.EMPTY:
            return []
        members = self.members if process.members is None else process.members
        return [MemberMessage(address=str(one), failure_domain="") for one in members]

    def _fail(self, seconds: float) -> None:
        self.clock.advance(seconds)
        raise PeerUnreachableError("no answer")


def view(version: int) -> ControlView:
    """Return an empty view of a version."""
    return ControlView(version=version, groups=[], servers=[], proxies=[], settings=[])


class FollowingProxy:
    """A proxy that follows emulated control processes.

    Args:
        kinds: how each process answers, in the order in which the proxy prefers them.
        has_view: whether it has the view of before the change.
    """

    def __init__(self, kinds: list[Kind], *, has_view: bool = True) -> None:
        self.clock = ManualClock(100.0)
        self.addresses = tuple(Address("10.0.0.1", 1 + n) for n in range(len(kinds)))
        self.control = ControlProcesses(
            self.clock,
            {
                address: ControlProcess(kind)
                for address, kind in zip(self.addresses, kinds, strict=True)
            },
            list(self.addresses),
        )
        self.peers = ControlPeers(self.addresses)
        self._called_at = 0.0
        self.views = ViewStore("", self.clock)
        if has_view:
            self.views.adopt(view(1))
        self.watch = WatchCoordinator(
            self.views,
            self.peers,
            cast(JsonClient, self.control),
            self.clock,
            WAIT_MS,
        )

    def select(self, place: int) -> None:
        """Have the process at a place polled next, as failures before it would."""
        for address in self.addresses[:place]:
            self.peers.record_failure(address)
        self.peers.record_leader_answer(self.addresses[place])

    def step(self, *, reports: bool = True) -> None:
        """Poll once.

        Args:
            reports: whether the leader answers the calls that a proxy makes, at most
                once a second, while a control process gives no answer.
        """
        self.clock.advance(self.watch.step())
        if reports and self.peers.contact().is_degraded:
            self._call_leader()

    def seconds_until(self, version: int, limit: float, *, reports: bool) -> float:
        """Return the time from the change until the proxy has a version.

        Args:
            version: version of the state after the change.
            limit: time in seconds after which to give up.
            reports: see ``step``.
        """
        while self.views.view.version < version:
            if self.clock.now() > self.control.changed_at + limit:
                break
            self.step(reports=reports)
        end = self.control.polls[-1][2]
        return max(0.0, end - self.control.changed_at)

    def _call_leader(self) -> None:
        if self.clock.now() < self._called_at + LEADER_CALL_SECONDS:
            return
        self._called_at = self.clock.now()
        for address in self.addresses:
            if self.control.kind_at(address, self.clock.now()) is Kind.LIVE:
                self.peers.record_leader_answer(address)
                return
