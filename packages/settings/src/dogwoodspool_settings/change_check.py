"""Decide whether a change to a settings node is accepted."""

from collections.abc import Iterator, Mapping
from typing import Any

from expression import Error, Ok, Result

from .change_history import ChangeHistory
from .const import MAX_REPORTED_PROBLEMS, ROOT_PATH, Level
from .errors import InvalidPathError
from .inheritance import Layer, merge
from .kept_secrets import restore_kept_secrets
from .models import ChangeRejected, RejectionCode, SettingsChange
from .node_store import ABSENT_VERSION, NodeStore
from .overrides import cross_field_problems, validate_overrides
from .paths import level_of, parent_of, split_path

# The overrides to store; None deletes the node.
CheckedOverrides = Result[dict[str, Any] | None, ChangeRejected]


class ChangeCheck:
    """Check one change against the current nodes.

    Only the changed node and those below it are validated: the change cannot affect
    any other node, so the work does not grow with the whole tree.
    """

    def __init__(self, nodes: NodeStore, history: ChangeHistory) -> None:
        self._nodes = nodes
        self._history = history

    def check(self, change: SettingsChange) -> CheckedOverrides:
        """Return the overrides to store, or why the change is rejected."""
        try:
            level = level_of(change.path)
        except InvalidPathError as error:
            return Error(
                ChangeRejected(RejectionCode.INVALID, str(error), ABSENT_VERSION)
            )
        current = self._nodes.version_of(change.path)
        if change.expected_version != current:
            reason = (
                f"expected version {change.expected_version}, "
                f"but the node's version is {current}"
            )
            return self._rejected(change.path, RejectionCode.CONFLICT, reason)
        if change.overrides is None:
            return self._check_deletion(change.path)
        return self._check_overrides(change.path, change.overrides, level)

    def _check_deletion(self, path: str) -> CheckedOverrides:
        if path == ROOT_PATH:
            reason = "the root cannot be deleted"
            return self._rejected(path, RejectionCode.INVALID, reason)
        if self._nodes.get(path) is None:
            reason = "there is no such node"
            return self._rejected(path, RejectionCode.NOT_FOUND, reason)
        if self._nodes.children_of(path):
            reason = "the node has children"
            return self._rejected(path, RejectionCode.HAS_CHILDREN, reason)
        return Ok(None)

    def _check_overrides(
        self, path: str, raw: Mapping[str, Any], level: Level
    ) -> CheckedOverrides:
        if self._nodes.get(parent_of(path)) is None:
            reason = f"{parent_of(path)} does not exist"
            return self._rejected(path, RejectionCode.NO_PARENT, reason)
        overrides, problems = self._validate(path, raw, level)
        problems += self._group_name_problems(path, level)
        lines = [f"{path}: {problem}" for problem in problems]
        if not lines:
            lines = list(self._subtree_problems(path, overrides))
        if lines:
            current = self._nodes.version_of(path)
            message = _summary(lines)
            return Error(ChangeRejected(RejectionCode.INVALID, message, current))
        return Ok(overrides)

    def _validate(
        self, path: str, raw: Mapping[str, Any], level: Level
    ) -> tuple[dict[str, Any], list[str]]:
        restored, problems = restore_kept_secrets(
            raw, lambda version: self._overrides_at(path, version)
        )
        if problems:
            return {}, problems
        return validate_overrides(restored, level)

    def _overrides_at(self, path: str, version: int | None) -> Mapping[str, Any] | None:
        node = self._nodes.get(path)
        if version is None or (node and node.version == version):
            return node.overrides if node else None
        return self._history.overrides_of(path, version)

    def _group_name_problems(self, path: str, level: Level) -> list[str]:
        if level is not Level.GROUP:
            return []
        taken = self._nodes.path_of_group(split_path(path)[-1])
        if taken in (None, path):
            return []
        return [f"the group's name is already used by {taken}"]

    def _subtree_problems(
        self, path: str, overrides: Mapping[str, Any]
    ) -> Iterator[str]:
        above = [] if path == ROOT_PATH else self._nodes.layers_of(parent_of(path))
        yield from self._problems_below([*above, Layer(path, overrides)])

    def _problems_below(self, layers: list[Layer]) -> Iterator[str]:
        path = layers[-1].path
        for problem in cross_field_problems(merge(layers)):
            yield f"{path}: {problem}"
        for child in self._nodes.children_of(path):
            below = [*layers, Layer(child.path, child.overrides)]
            yield from self._problems_below(below)

    def _rejected(
        self, path: str, code: RejectionCode, reason: str
    ) -> CheckedOverrides:
        current = self._nodes.version_of(path)
        return Error(ChangeRejected(code, f"{path}: {reason}", current))


def _summary(lines: list[str]) -> str:
    shown = lines[:MAX_REPORTED_PROBLEMS]
    if len(lines) > len(shown):
        shown.append(f"and {len(lines) - len(shown)} more")
    return "; ".join(shown)
