"""The settings tree: versioned nodes that inherit from the level above."""

from collections.abc import Iterable
from typing import Any, Self

from dogwoodspool_api import SettingsNode
from expression import Error, Ok, Result

from .answers import AnswerStore, ChangeAnswer, RecordedAnswer, content_digest
from .change_check import ChangeCheck
from .change_history import ChangeHistory
from .const import RETAINED_CHANGE_IDS, RETAINED_HISTORY, ROOT_PATH
from .errors import ReadOnlyTreeError, UnknownNodeError
from .inheritance import explain, merge
from .models import (
    ChangeAccepted,
    ChangeRejected,
    EffectiveSettings,
    ExplainedValue,
    HistoryEntry,
    RejectionCode,
    SettingsChange,
)
from .node_store import NodeStore, StoredNode
from .paths import join_path, level_of, split_path
from .snapshot import StoredAnswer, StoredHistoryEntry, TreeSnapshot


class SettingsTree:
    """Store the tree, validate and apply changes, and return effective settings.

    Whether a change is accepted depends only on the changes applied before it, so
    that all voters that apply the same log have the same tree. Only one thread at a
    time may apply changes and take or restore snapshots; every other read may be
    called from any thread meanwhile.

    Example:
        >>> tree = SettingsTree()
        >>> change = SettingsChange("c1", "/", 0, {"deadline_ms": 800}, "ana")
        >>> tree.apply(change, index=1).ok
        ChangeAccepted(path='/', version=1, index=1)
        >>> tree.effective(None, None).deadline_ms
        800
    """

    def __init__(
        self,
        retained_change_ids: int = RETAINED_CHANGE_IDS,
        retained_history: int = RETAINED_HISTORY,
    ) -> None:
        self._retained_change_ids = retained_change_ids
        self._retained_history = retained_history
        self._nodes = NodeStore()
        self._answers = AnswerStore(retained_change_ids)
        self._history = ChangeHistory(retained_history)
        self._effective: dict[str, EffectiveSettings] = {}
        self._version = 0
        self._is_read_only = False

    @property
    def version(self) -> int:
        """Index of the last change that took effect."""
        return self._version

    def apply(self, change: SettingsChange, index: int) -> ChangeAnswer:
        """Validate one change and apply it if it is accepted.

        Every answer is recorded, including rejections: a delayed copy of a rejected
        change must not take effect after its operator was told that it did not.

        Args:
            change: the change as stored in the replicated log.
            index: index of its log entry.

        Raises:
            ReadOnlyTreeError: the tree is a read-only mirror of another one.
        """
        if self._is_read_only:
            raise ReadOnlyTreeError("settings tree is a read-only mirror of control's")
        digest = content_digest(change)
        recorded = self._answers.get(change.change_id)
        if recorded is not None:
            return self._repeat_answer(recorded, digest, change.path)
        check = ChangeCheck(self._nodes, self._history)
        answer = check.check(change).map(
            lambda overrides: self._accept(change, overrides, index)
        )
        self._answers.add(RecordedAnswer(change.change_id, digest, answer))
        return answer

    def apply_together(
        self, changes: Iterable[SettingsChange], index: int
    ) -> Result[int, ChangeRejected]:
        """Apply several changes atomically.

        Either all of them take effect or none, and a reader sees all or none. Answers
        are not recorded: a sender that repeats such a set identifies it by a revision
        of its own.

        Returns:
            The number of changes that took effect.
        """
        if self._is_read_only:
            raise ReadOnlyTreeError("settings tree is a read-only mirror of control's")
        draft = SettingsTree(self._retained_change_ids, self._retained_history)
        draft._nodes = self._nodes.copy()
        draft._history = ChangeHistory(self._retained_history, self._history.all())
        count = 0
        for change in changes:
            checked = ChangeCheck(draft._nodes, draft._history).check(change)
            if checked.is_error():
                return Error(checked.error)
            draft._accept(change, checked.ok, index)
            count += 1
        if count:
            self._nodes, self._history = draft._nodes, draft._history
            self._version = index
            self._effective = {}
        return Ok(count)

    def effective(
        self, group: str | None, failure_domain: str | None
    ) -> EffectiveSettings:
        """Return the effective settings of a database group in a failure domain.

        An unknown group has the root's values, and a failure domain without a
        node of its own has the group's.
        """
        # A reader that started before a change fills the cache object it took here,
        # which no later reader sees: `_accept` replaces that object as its last step.
        cache = self._effective
        path = self._nearest_path(group, failure_domain)
        values = cache.get(path)
        if values is None:
            values = merge(self._nodes.layers_of(path))
            cache[path] = values
        return values

    def has_group(self, group: str) -> bool:
        """Return whether a database group has a node."""
        return self._nodes.path_of_group(group) is not None

    def explain(self, path: str) -> list[ExplainedValue]:
        """Return each effective value at a node with the path that sets it.

        Raises:
            InvalidPathError: the path is not a valid node path.
            UnknownNodeError: there is no such node.
        """
        level_of(path)
        if self._nodes.get(path) is None:
            raise UnknownNodeError(f"{path}: there is no such node")
        return explain(self._nodes.layers_of(path))

    def nodes(self) -> list[SettingsNode]:
        """Return all nodes ordered by path, secrets included."""
        return [
            SettingsNode(
                path=node.path, version=node.version, overrides=dict(node.overrides)
            )
            for node in self._nodes.all()
        ]

    def history(self, limit: int, path: str | None = None) -> list[HistoryEntry]:
        """Return the latest accepted changes, newest first and redacted."""
        return self._history.latest(limit, path)

    def snapshot(self) -> dict[str, Any]:
        """Return the whole state as JSON values, secrets included."""
        return TreeSnapshot(
            version=self._version,
            nodes=self.nodes(),
            deleted_versions=self._nodes.deleted_versions,
            history=[StoredHistoryEntry.of(entry) for entry in self._history.all()],
            answers=[StoredAnswer.of(answer) for answer in self._answers.all()],
        ).model_dump(mode="json")

    def restore(self, snapshot: dict[str, Any]) -> None:
        """Replace the whole state.

        Raises:
            SnapshotError: the snapshot is invalid; the state is unchanged.
        """
        state = TreeSnapshot.parse(snapshot)
        nodes = _build_store(state.nodes)
        nodes.add_deleted_versions(state.deleted_versions)
        answers = AnswerStore(self._retained_change_ids)
        for answer in state.answers:
            answers.add(answer.value())
        entries = (entry.value() for entry in state.history)
        self._nodes = nodes
        self._answers = answers
        self._history = ChangeHistory(self._retained_history, entries)
        self._version = state.version
        self._effective = {}

    @classmethod
    def from_snapshot(cls, snapshot: dict[str, Any]) -> Self:
        """Build a tree from a snapshot; raise ``SnapshotError`` for an invalid one."""
        tree = cls()
        tree.restore(snapshot)
        return tree

    @classmethod
    def from_nodes(cls, nodes: Iterable[SettingsNode]) -> Self:
        """Build a read-only tree from the nodes that control has committed."""
        tree = cls()
        tree._nodes = _build_store(nodes)
        tree._is_read_only = True
        return tree

    def _repeat_answer(
        self, recorded: RecordedAnswer, digest: str, path: str
    ) -> ChangeAnswer:
        if recorded.digest == digest:
            return recorded.answer
        return Error(
            ChangeRejected(
                RejectionCode.CHANGE_ID_REUSED,
                f"{path}: the change id belongs to a change with other content",
                self._nodes.version_of(path),
            )
        )

    def _accept(
        self, change: SettingsChange, overrides: dict[str, Any] | None, index: int
    ) -> ChangeAccepted:
        version = self._nodes.next_version_of(change.path)
        if overrides is None:
            self._nodes.remove(change.path, version)
        else:
            self._nodes.put(StoredNode(change.path, version, overrides))
        self._history.append(
            HistoryEntry(
                index, change.change_id, change.author, change.path, version, overrides
            )
        )
        self._version = index
        self._effective = {}
        return ChangeAccepted(change.path, version, index)

    def _nearest_path(self, group: str | None, failure_domain: str | None) -> str:
        path = self._nodes.path_of_group(group) if group is not None else None
        if path is None:
            return ROOT_PATH
        if failure_domain is None:
            return path
        own = join_path(*split_path(path), failure_domain)
        return own if self._nodes.get(own) else path


def _build_store(nodes: Iterable[SettingsNode]) -> NodeStore:
    return NodeStore.of(
        StoredNode(node.path, node.version, node.overrides) for node in nodes
    )
