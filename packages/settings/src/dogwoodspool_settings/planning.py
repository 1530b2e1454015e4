"""Compare declared nodes with the current nodes."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from dogwoodspool_api import SettingsNode

from .node_store import ABSENT_VERSION
from .paths import level_of
from .redaction import redact


class PlannedAction(StrEnum):
    """What a planned change does to its node."""

    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """One change that brings a node to its declared state.

    Attributes:
        expected_version: version of the current node, 0 for a new one.
        current: current overrides, secrets redacted.
        overrides: declared overrides with their secrets; None for a deletion.
    """

    action: PlannedAction
    path: str
    expected_version: int
    current: dict[str, Any]
    overrides: dict[str, Any] | None = field(repr=False)


def plan(
    declared: Mapping[str, Mapping[str, Any]],
    current: Iterable[SettingsNode],
    fingerprint_key: bytes | None = None,
) -> list[PlannedChange]:
    """Return the changes that bring the tree to its declared state.

    Parents come before their children, and deletions last, the deepest first,
    so that each node's parent exists and no deleted node has children left.

    Args:
        declared: overrides with their secrets, by path.
        current: the current nodes, redacted or not.
        fingerprint_key: the key that control redacts with; without it a
            redacted current secret cannot be compared and counts as changed.
    """
    current_by_path = {node.path: node for node in current}
    changes = [
        _change(path, overrides, current_by_path.get(path), fingerprint_key)
        for path, overrides in sorted(declared.items(), key=_depth_and_name)
    ]
    removed = [
        current_by_path[path] for path in current_by_path if path not in declared
    ]
    removed.sort(key=lambda node: (-level_of(node.path), node.path))
    deletions = [
        PlannedChange(
            PlannedAction.DELETE, node.path, node.version, redact(node.overrides), None
        )
        for node in removed
    ]
    return [change for change in changes if change] + deletions


def _change(
    path: str,
    overrides: Mapping[str, Any],
    node: SettingsNode | None,
    fingerprint_key: bytes | None,
) -> PlannedChange | None:
    wanted = dict(overrides)
    if node is None:
        return PlannedChange(PlannedAction.CREATE, path, ABSENT_VERSION, {}, wanted)
    if node.overrides == wanted:
        return None
    if fingerprint_key and node.overrides == redact(wanted, fingerprint_key):
        return None
    shown = redact(node.overrides)
    return PlannedChange(PlannedAction.UPDATE, path, node.version, shown, wanted)


def _depth_and_name(item: tuple[str, Mapping[str, Any]]) -> tuple[int, str]:
    return level_of(item[0]), item[0]
