"""The settings tree in the replicated state, with what its history still binds."""

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
    """What a snapshot holds of the settings.

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
    """Apply changes of settings and remember what outlives them.

    A shorter lease or a stricter acknowledgement is in force at once for what
    comes after, but grants of the longer lease still run and writes acknowledged
    by the primary alone still lack a replica. Both are remembered until the
    leader has seen them end.
    """

    def __init__(self, snapshot: SettingsSnapshot | None = None) -> None:
        held = snapshot or SettingsSnapshot()
        self._tree = SettingsTree()
        if held.tree:
            self._tree.restore(held.tree)
        self._index = held.index
        self._unsettled = set(held.unsettled_groups)
        self._lease_bound_ms = max(held.lease_bound_ms, self._current_bound_ms())

    @property
    def tree(self) -> SettingsTree:
        """The settings tree."""
        return self._tree

    @property
    def root(self) -> EffectiveSettings:
        """The values in force at the root."""
        return self._tree.effective(None, None)

    @property
    def index(self) -> int:
        """Log index of the last accepted change."""
        return self._index

    @property
    def lease_bound_ms(self) -> int:
        """Longest time that a lease of any leader may still run, with drift."""
        return self._lease_bound_ms

    @property
    def is_lease_bound_lowerable(self) -> bool:
        """Whether the bound comes from settings that are no longer in force."""
        return self._lease_bound_ms > self._current_bound_ms()

    @property
    def unsettled_groups(self) -> tuple[str, ...]:
        """Groups with acknowledged writes that may be at the primary alone."""
        return tuple(sorted(self._unsettled))

    def effective(
        self, group: str | None, failure_domain: str | None = None
    ) -> EffectiveSettings:
        """Return the values in force for a group in a failure domain."""
        return self._tree.effective(group, failure_domain)

    def is_settled(self, group: str) -> bool:
        """Tell whether each acknowledged write of the group is on a replica."""
        return self.is_strict(group) and group not in self._unsettled

    def is_strict(self, group: str) -> bool:
        """Tell whether a replica must have a write before it is acknowledged."""
        return self.effective(group).write_ack is not WriteAck.PRIMARY

    def change(
        self, index: int, command: ChangeSettings, groups: Mapping[str, object]
    ) -> Outcome:
        """Decide one change of the tree."""
        change = SettingsChange(
            change_id=command.change_id,
            path=command.path,
            expected_version=command.expected_version,
            overrides=command.overrides,
            author=command.author,
        )
        version_before = self._tree.version
        self.note_write_acks(groups)
        answer = self._tree.apply(change, index)
        if self._tree.version != version_before:
            self._index = index
            self.note_write_acks(groups)
            self._lease_bound_ms = max(self._lease_bound_ms, self._current_bound_ms())
        return _outcome(answer)

    def note_document(self, index: int, groups: Mapping[str, object]) -> None:
        """Note that a document changed the tree."""
        self._index = index
        self.note_write_acks(groups)
        self._lease_bound_ms = max(self._lease_bound_ms, self._current_bound_ms())

    def lower_lease_bound(self, command: LowerLeaseBound) -> Outcome:
        """Take over the present lease as the bound."""
        if command.settings_index != self._index:
            return Outcome(False, CODE_CONFLICT, "the settings have changed")
        self._lease_bound_ms = self._current_bound_ms()
        return Outcome(True)

    def settle_write_acks(self, command: SettleWriteAcks) -> Outcome:
        """Trust from now on that each acknowledged write is on a replica."""
        if command.settings_index != self._index:
            return Outcome(False, CODE_CONFLICT, "the settings have changed")
        self._unsettled.discard(command.group)
        return Outcome(True)

    def note_write_acks(self, groups: Mapping[str, object]) -> None:
        """Remember groups whose writes the primary alone may acknowledge."""
        for group in groups:
            if self.effective(group).write_ack is WriteAck.PRIMARY:
                self._unsettled.add(group)

    def snapshot(self) -> SettingsSnapshot:
        """Return what a snapshot holds."""
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
