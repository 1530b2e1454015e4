"""Storage of the tree's nodes with the lookups that changes need."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from .const import ROOT_PATH, Level
from .inheritance import Layer
from .paths import level_of, lineage_of, parent_of, split_path

ABSENT_VERSION = 0


@dataclass(frozen=True, slots=True)
class StoredNode:
    """One node: its version and what it overrides, secrets included."""

    path: str
    version: int
    overrides: Mapping[str, Any]


class NodeStore:
    """Store nodes by path, with indexes of children and groups.

    The root always exists. The last versions of deleted nodes are kept permanently,
    so that a node created again continues its version count and an outdated expected
    version can never match a new node.
    """

    def __init__(self) -> None:
        self._nodes: dict[str, StoredNode] = {}
        self._children: dict[str, set[str]] = {}
        self._groups: dict[str, str] = {}
        self._deleted_versions: dict[str, int] = {}
        self.put(StoredNode(ROOT_PATH, ABSENT_VERSION, {}))

    @property
    def deleted_versions(self) -> dict[str, int]:
        """Last versions of the nodes that no longer exist, by path."""
        return dict(self._deleted_versions)

    def all(self) -> list[StoredNode]:
        """Return all nodes, ordered by path."""
        # Copy first: a node may be deleted while another thread lists them. The copy
        # is one step of the interpreter, which no other thread can interrupt.
        nodes = list(self._nodes.values())
        return sorted(nodes, key=lambda node: node.path)

    def get(self, path: str) -> StoredNode | None:
        """Return the node at a path."""
        return self._nodes.get(path)

    def version_of(self, path: str) -> int:
        """Return the version of a node; 0 when there is none."""
        node = self._nodes.get(path)
        return node.version if node else ABSENT_VERSION

    def next_version_of(self, path: str) -> int:
        """Return the version that the next change to a path creates."""
        return max(self.version_of(path), self._deleted_versions.get(path, 0)) + 1

    def children_of(self, path: str) -> list[StoredNode]:
        """Return the nodes one level below a path, ordered by path."""
        return [self._nodes[child] for child in sorted(self._children.get(path, ()))]

    def path_of_group(self, group: str) -> str | None:
        """Return the path of a database group by its name."""
        return self._groups.get(group)

    def layers_of(self, path: str) -> list[Layer]:
        """Return the layers of the existing nodes from the root down to a path."""
        found = (self._nodes.get(step) for step in lineage_of(path))
        return [Layer(node.path, node.overrides) for node in found if node]

    def put(self, node: StoredNode) -> None:
        """Add or replace a node."""
        self._nodes[node.path] = node
        self._deleted_versions.pop(node.path, None)
        if node.path == ROOT_PATH:
            return
        self._children.setdefault(parent_of(node.path), set()).add(node.path)
        if level_of(node.path) is Level.GROUP:
            self._groups[split_path(node.path)[-1]] = node.path

    def remove(self, path: str, version: int) -> None:
        """Remove a node that has no children and keep its last version."""
        del self._nodes[path]
        self._deleted_versions[path] = version
        self._children[parent_of(path)].discard(path)
        self._children.pop(path, None)
        if level_of(path) is Level.GROUP:
            del self._groups[split_path(path)[-1]]

    def add_deleted_versions(self, versions: Mapping[str, int]) -> None:
        """Add the last versions of nodes that no longer exist."""
        self._deleted_versions.update(versions)

    def copy(self) -> "NodeStore":
        """Return an independent store with the same nodes."""
        store = NodeStore.of(self._nodes.values())
        store.add_deleted_versions(self._deleted_versions)
        return store

    @classmethod
    def of(cls, nodes: Iterable[StoredNode]) -> "NodeStore":
        """Build a store of the given nodes."""
        store = cls()
        for node in nodes:
            store.put(node)
        return store
