"""Faults of a node that histories of members must detect."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

from dogwoodspool_common.const import NEVER
from dogwoodspool_consensus import NotLeaderError, Role
from dogwoodspool_consensus.errors import MembershipChangeError
from dogwoodspool_consensus.membership import Membership
from dogwoodspool_consensus.models import Configuration
from dogwoodspool_consensus.reads import Reads
from dogwoodspool_consensus.state import NodeState

ValueOf = Callable[[str], float]


def _any_leader(
    *, waits_committed: bool, needs_lease: bool
) -> Callable[[Membership, float], Any]:
    @contextlib.contextmanager
    def exclusive_change(self: Membership, timeout: float) -> Iterator[float]:
        state = self._state
        deadline = state.clock.now() + timeout
        if not self._change_lock.acquire(blocking=False):
            raise MembershipChangeError("another membership change is in progress")
        try:
            with state.changed:
                is_leader = state.role is Role.LEADER
                if not is_leader or (needs_lease and state.leadership() is None):
                    raise NotLeaderError(state.leader_address)
                if waits_committed:
                    self._wait_committed(deadline)
                yield deadline
        finally:
            self._change_lock.release()

    return exclusive_change


def _quorum(values: list[float], configuration: Configuration) -> float:
    values.sort(reverse=True)
    return values[configuration.quorum - 1] if values else NEVER


def _with_learners(self: NodeState, value_of: ValueOf) -> float:
    names = self.configuration.members
    return _quorum([value_of(one) for one in names], self.configuration)


def _with_former_voters(self: NodeState, value_of: ValueOf) -> float:
    names = set(self.configuration.voters)
    for one in self.configurations._configurations:
        names |= one.configuration.voters
    return _quorum([value_of(one) for one in names], self.configuration)


def _commit_any_term(self: NodeState) -> None:
    index = int(self._quorum_value(self._match_index))
    if index > self.commit_index:
        self.commit_index = index
        self.changed.notify_all()


def _commit_with_learners(self: NodeState) -> None:
    index = int(_with_learners(self, self._match_index))
    if index > self.commit_index and self.log.term_at(index) == self.term:
        self.commit_index = index
        self.changed.notify_all()


def _commit_with_former_voters(self: NodeState) -> None:
    index = int(_with_former_voters(self, self._match_index))
    if index > self.commit_index and self.log.term_at(index) == self.term:
        self.commit_index = index
        self.changed.notify_all()


def _lease_with_former_voters(self: NodeState) -> float:
    return _with_former_voters(self, self._acked_at) + self.settings.lease


def _early_read_point(self: Reads, deadline: float) -> int:
    state = self._state
    if state.role is not Role.LEADER:
        raise NotLeaderError(state.leader_address)
    if state.clock.now() < state.lease_end():
        return state.commit_index
    return _read_point(self, deadline)


_read_point = Reads.leader_read_point
_load = NodeState.load


def _load_without_contact(self: NodeState, *args: Any) -> None:
    _load(self, *args)
    self.last_leader_contact = NEVER


PLANTED: dict[str, tuple[type, str, Any]] = {
    "a change of members before an entry of the own term is committed": (
        Membership,
        "_exclusive_change",
        _any_leader(waits_committed=True, needs_lease=False),
    ),
    "two changes of members at once": (
        Membership,
        "_exclusive_change",
        _any_leader(waits_committed=False, needs_lease=True),
    ),
    "learners count towards the quorum of a commit": (
        NodeState,
        "advance_commit",
        _commit_with_learners,
    ),
    "demoted and removed voters count towards the quorum of a commit": (
        NodeState,
        "advance_commit",
        _commit_with_former_voters,
    ),
    "an entry of an older term is committed by counting replicas": (
        NodeState,
        "advance_commit",
        _commit_any_term,
    ),
    "demoted and removed voters count towards the lease": (
        NodeState,
        "lease_end",
        _lease_with_former_voters,
    ),
    "a read point before an entry of the own term is committed": (
        Reads,
        "leader_read_point",
        _early_read_point,
    ),
    "a restarted voter grants its vote at once": (
        NodeState,
        "load",
        _load_without_contact,
    ),
}
"""What each fault replaces, by its description."""


def planted(name: str) -> Any:
    """Return a context in which all nodes have a fault."""
    owner, attribute, value = PLANTED[name]
    return mock.patch.object(owner, attribute, value)
