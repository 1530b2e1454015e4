"""The settings tree of the replicated state and the effects of earlier settings."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import ceil
from typing import Any

from dogwoodspool_settings import (
    ChangeAccepted,
    ChangeRejected,
    EffectiveSettings,
    RejectionCode,
    SettingsChange,
    SettingsTree,
    WriteAck,
)
from expression import Result

from ..commands import ChangeSettings, LowerLeaseBound, SettleWriteAcks
from ..const import CODE_CONFLICT, CODE_INVALID
from ..models import Outcome


@dataclass(frozen=True, slots=True)
class SettingsSnapshot:
    """The settings in the form kept in a snapshot.

    Attributes:
        index: log index of the last accepted change.
        lease_bound_ms: see ``SettingsState.lease_bound_ms``.
        unsettled_groups: see ``SettingsState.is_settled``.
    """

    tree: dict[str, Any] = field(default_factory=dict)
    index: int = 0
    lease_bound_ms: int = 0
    unsettled_groups: tuple[str, ...] = ()


class SettingsState:
    """Apply changes of settings and track what earlier settings left behind.

    A shorter lease or a stricter acknowledgement applies at once to later grants
    and writes, but grants with the longer lease are still valid and writes that
    only the primary acknowledged may not be on a replica yet. Both are tracked
    until the leader has confirmed that the grants have expired and that the writes
    are replicated.
    """

    def __init__(self, snapshot: SettingsSnapshot | None = None) -> None:
        restored = snapshot or SettingsSnapshot()
        self._tree = SettingsTree()
        if restored.tree:
            self._tree.restore(restored.tree)
        self._index = restored.index
        self._unsettled = set(restored.unsettled_groups)
        self._lease_bound_ms = max(restored.lease_bound_ms, self._current_bound_ms())

    @property
    def tree(self) -> SettingsTree:
        """The settings tree."""
        return self._tree

    @property
    def root(self) -> EffectiveSettings:
        """The effective values at the root."""
        return self._tree.effective(None, None)

    @property
    def index(self) -> int:
        """Log index of the last accepted change."""
        return self._index

    @property
    def lease_bound_ms(self) -> int:
        """Longest time that any leader's lease may be valid, with clock drift."""
        return self._lease_bound_ms

    @property
    def is_lease_bound_lowerable(self) -> bool:
        """Whether the bound comes from settings that have been replaced."""
        return self._lease_bound_ms > self._current_bound_ms()

    @property
    def unsettled_groups(self) -> tuple[str, ...]:
        """Groups with acknowledged writes that may be on the primary only."""
        return tuple(sorted(self._unsettled))

    def effective(
        self, group: str | None, failure_domain: str | None = None
    ) -> EffectiveSettings:
        """Return the effective values for a group in a failure domain."""
        return self._tree.effective(group, failure_domain)

    def is_settled(self, group: str) -> bool:
        """Return whether each acknowledged write of the group is on a replica."""
        return self.requires_replica_ack(group) and group not in self._unsettled

    def requires_replica_ack(self, group: str) -> bool:
        """Return whether a write must be on a replica before it is acknowledged."""
        return self.effective(group).write_ack is not WriteAck.PRIMARY

    def change(
        self, index: int, command: ChangeSettings, groups: Mapping[str, object]
    ) -> Outcome:
        """Apply or reject one change of the tree."""
        change = SettingsChange(
            change_id=command.change_id,
            path=command.path,
            expected_version=command.expected_version,
            overrides=command.overrides,
            author=command.author,
        )
        version_before = self._tree.version
        self.record_unsettled_groups(groups)
        answer = self._tree.apply(change, index)
        if self._tree.version != version_before:
            self._index = index
            self.record_unsettled_groups(groups)
            self._lease_bound_ms = max(self._lease_bound_ms, self._current_bound_ms())
        return _outcome(answer)

    def record_document_change(self, index: int, groups: Mapping[str, object]) -> None:
        """Record that a document changed the tree."""
        self._index = index
        self.record_unsettled_groups(groups)
        self._lease_bound_ms = max(self._lease_bound_ms, self._current_bound_ms())

    def lower_lease_bound(self, command: LowerLeaseBound) -> Outcome:
        """Set the bound to the lease of the current settings."""
        if command.settings_index != self._index:
            return Outcome(False, CODE_CONFLICT, "settings changed in the meantime")
        self._lease_bound_ms = self._current_bound_ms()
        return Outcome(True)

    def settle_write_acks(self, command: SettleWriteAcks) -> Outcome:
        """Record that each acknowledged write of a group is on a replica."""
        if command.settings_index != self._index:
            return Outcome(False, CODE_CONFLICT, "settings changed in the meantime")
        self._unsettled.discard(command.group)
        return Outcome(True)

    def record_unsettled_groups(self, groups: Mapping[str, object]) -> None:
        """Record the groups whose writes the primary alone may acknowledge."""
        for group in groups:
            if self.effective(group).write_ack is WriteAck.PRIMARY:
                self._unsettled.add(group)

    def snapshot(self) -> SettingsSnapshot:
        """Return the snapshot of this state."""
        return SettingsSnapshot(
            self._tree.snapshot(),
            self._index,
            self._lease_bound_ms,
            self.unsettled_groups,
        )

    def _current_bound_ms(self) -> int:
        root = self.root
        return ceil(root.lease_ms * (1 + root.clock_drift))


def _outcome(answer: Result[ChangeAccepted, ChangeRejected]) -> Outcome:
    match answer:
        case Result(tag="ok", ok=accepted):
            return Outcome(True, index=accepted.index, version=accepted.version)
        case Result(error=rejected):
            is_conflict = rejected.code in (
                RejectionCode.CONFLICT,
                RejectionCode.CHANGE_ID_REUSED,
            )
            return Outcome(
                False,
                CODE_CONFLICT if is_conflict else CODE_INVALID,
                rejected.message,
                version=rejected.current_version,
            )
