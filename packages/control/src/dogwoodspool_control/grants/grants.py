"""The leader's record of the grants that it has issued."""

import threading
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from dogwoodspool_api import Grant, RenewRequest
from dogwoodspool_common import Clock, GroupState, Phase, Position
from dogwoodspool_common.const import MILLISECONDS, NEVER
from dogwoodspool_consensus import Leadership

from ..errors import LeadershipLostError, StaleIncarnationError
from ..models import AcknowledgedWrites, IssuedGrant, Lease, ProxyRecord, Release
from ..settings.state import SettingsState

HolderKey = tuple[str, str]


class GrantState(Protocol):
    """The state on which grants are decided."""

    @property
    def proxies(self) -> Mapping[str, ProxyRecord]:
        """Registered proxies by name."""
        ...

    @property
    def groups(self) -> Mapping[str, GroupState]:
        """Groups by name."""
        ...

    @property
    def settings(self) -> SettingsState:
        """The settings in force."""
        ...


class LeadershipSource(Protocol):
    """Tell whether this voter may act as leader."""

    def require_leadership(self) -> Leadership:
        """Return the leadership; raise ``LeadershipLostError`` without one."""
        ...


@dataclass(slots=True)
class _GroupAcks:
    """Acknowledged offsets by term, and holders that may have acknowledged more."""

    offsets: dict[int, int]
    unreported: set[HolderKey]
    is_history_known: bool = False


class GrantTable:
    """Issue grants and determine when no grant of a group can be valid any more.

    A proxy measures its lease from when it sent the request. The table measures from
    when the request was received, which is later, and adds the largest rate
    difference of the clocks, so an expiry here is never before the proxy's own.

    Grants issued by the predecessor are unknown. The predecessor's leadership ended
    before this one began, so they have expired ``lease_bound_ms`` after
    ``Leadership.since``.
    """

    def __init__(
        self, clock: Clock, state: GrantState, leadership: LeadershipSource
    ) -> None:
        self._clock = clock
        self._state = state
        self._leadership = leadership
        self._lock = threading.Lock()
        self._term: int | None = None
        self._since = 0.0
        self._max_lease = 0.0
        self._holdings: dict[tuple[str, str, str], IssuedGrant] = {}
        self._acks: dict[str, _GroupAcks] = {}
        self._incarnations: dict[str, str] = {}
        self._versions: dict[HolderKey, int] = {}

    @property
    def predecessor_expiry(self) -> float:
        """Time from which no grant or lease of an earlier leader is valid."""
        leadership = self._leadership.require_leadership()
        with self._lock:
            self._reset_on_new_leadership(leadership)
            return self._since + self._max_lease

    @property
    def longest_lease(self) -> float:
        """Longest duration in seconds of a lease issued by any leader."""
        return self._state.settings.lease_bound_ms / MILLISECONDS

    def renew(self, request: RenewRequest, received_at: float) -> Lease:
        """Record what a proxy reports and issue grants to it for one lease.

        Raises:
            LeadershipLostError: the grants must not be sent.
            StaleIncarnationError: a newer process of the proxy has renewed.
        """
        leadership = self._leadership.require_leadership()
        with self._lock:
            self._reset_on_new_leadership(leadership)
            self._record_incarnation(request)
            self._record_acks(request)
            lease = self._issue(request, received_at)
        # The process may have been suspended since the first check for longer than its
        # leadership lease. Another leader may be active by now. It does not know these
        # grants, and they may outlast its wait for the predecessor's grants.
        if self._leadership.require_leadership().term != leadership.term:
            raise LeadershipLostError
        return lease

    def release(self, released: Release) -> None:
        """Record that a proxy's process has released its grant of a term."""
        key = (released.proxy, released.incarnation, released.group)
        with self._lock:
            acks = self._acks_of(released.group)
            _raise_offset(acks, released.acked)
            holding = self._holdings.get(key)
            if holding is not None and holding.term > released.term:
                # The answer is late: the proxy already holds a newer grant.
                return
            self._holdings.pop(key, None)
            acks.unreported.discard(key[:2])

    def holdings(self, group: str) -> list[IssuedGrant]:
        """Return a group's grants that may still be valid."""
        now = self._clock.now()
        with self._lock:
            self._reset_on_new_leadership(self._leadership.require_leadership())
            return [
                holding
                for holding in self._holdings.values()
                if holding.group == group and holding.expires_at > now
            ]

    def acknowledged_writes(self, group: str) -> AcknowledgedWrites:
        """Return what is known about a group's acknowledged writes."""
        is_replicated = self._state.settings.is_settled(group)
        with self._lock:
            acks = self._acks_of(group)
            return AcknowledgedWrites(
                positions=tuple(
                    Position(term, offset) for term, offset in acks.offsets.items()
                ),
                is_complete=acks.is_history_known and not acks.unreported,
                is_replicated=is_replicated,
            )

    def is_history_known(self, group: str) -> bool:
        """Tell whether an upper bound of writes under earlier leaders is known."""
        with self._lock:
            return self._acks_of(group).is_history_known

    def all_proxies_reached(self, version: int) -> bool:
        """Tell whether every registered proxy reported at least this view version."""
        proxies = self._state.proxies
        with self._lock:
            return all(
                self._versions.get((name, record.incarnation), -1) >= version
                for name, record in proxies.items()
            )

    def record_primary_position(
        self, group: str, position: Position, asked_at: float
    ) -> None:
        """Record the primary's position as an upper bound of acknowledged writes.

        Args:
            group: the primary's group.
            position: its answer, at the group's current term.
            asked_at: when the position was requested; each write acknowledged before
                that is at or below the position.
        """
        with self._lock:
            acks = self._acks_of(group)
            ended = {
                key for key in acks.unreported if self._expiry((*key, group)) < asked_at
            }
            is_past_predecessor = asked_at > self._since + self._max_lease
            if not ended and (acks.is_history_known or not is_past_predecessor):
                return
            acks.unreported -= ended
            acks.is_history_known |= is_past_predecessor
            _raise_offset(acks, position)

    def _reset_on_new_leadership(self, leadership: Leadership) -> None:
        if leadership.term == self._term:
            return
        self._term = leadership.term
        self._since = leadership.since
        self._max_lease = self.longest_lease
        self._holdings.clear()
        self._acks.clear()
        self._incarnations.clear()
        self._versions.clear()

    def _record_incarnation(self, request: RenewRequest) -> None:
        record = self._state.proxies.get(request.proxy)
        known = self._incarnations.get(request.proxy)
        is_replaced = record is not None and request.incarnation in record.replaced
        # The newer process may not be registered yet although its renewal was received.
        is_superseded = (
            record is not None
            and known not in (None, request.incarnation)
            and request.incarnation == record.incarnation
            and known not in record.replaced
        )
        if is_replaced or is_superseded:
            raise StaleIncarnationError(
                f"{request.proxy} has been replaced by a newer process"
            )
        self._incarnations[request.proxy] = request.incarnation
        self._versions[request.proxy, request.incarnation] = request.view_version

    def _record_acks(self, request: RenewRequest) -> None:
        for report in request.groups:
            if report.acked is not None:
                _raise_offset(self._acks_of(report.group), report.acked.value())

    def _issue(self, request: RenewRequest, received_at: float) -> Lease:
        # The settings are read once, so that the recorded and the returned lease agree.
        root = self._state.settings.root
        duration = root.lease_ms / MILLISECONDS * (1 + root.clock_drift)
        expires_at = received_at + duration
        record = self._state.proxies.get(request.proxy)
        if record is None or record.incarnation != request.incarnation:
            return Lease(root.lease_ms, expires_at, is_registered=False)
        grants = []
        # The group's phase is read while the table is locked. A promotion reads the
        # table after its start was applied, so it sees every grant that was issued on
        # the basis of the earlier phase.
        for group in self._state.groups.values():
            if group.phase is not Phase.STEADY or group.primary is None:
                continue
            self._record_grant(request, group, expires_at)
            grants.append(
                Grant(group=group.name, term=group.term, primary=group.primary)
            )
        return Lease(
            root.lease_ms, expires_at, is_registered=True, grants=tuple(grants)
        )

    def _record_grant(
        self, request: RenewRequest, group: GroupState, expires_at: float
    ) -> None:
        key = (request.proxy, request.incarnation, group.name)
        expires_at = max(expires_at, self._expiry(key))
        self._holdings[key] = IssuedGrant(*key, group.term, expires_at)
        self._acks_of(group.name).unreported.add(key[:2])

    def _expiry(self, key: tuple[str, str, str]) -> float:
        holding = self._holdings.get(key)
        return NEVER if holding is None else holding.expires_at

    def _acks_of(self, group: str) -> _GroupAcks:
        return self._acks.setdefault(group, _GroupAcks({}, set()))


def _raise_offset(acks: _GroupAcks, position: Position | None) -> None:
    if position is None:
        return
    known = acks.offsets.get(position.term, 0)
    acks.offsets[position.term] = max(known, position.offset)
