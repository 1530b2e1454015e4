"""Status and metrics of a control process with synchronously replicated groups."""

from dataclasses import asdict
from typing import Any

from dogwoodspool_consensus import ConsensusNode
from dogwoodspool_control.node import ControlNode
from dogwoodspool_control.promotion.failovers import FailoverTimeline
from dogwoodspool_control.state import ControlState

from .changes import PrimaryChanges


class FailoverDiagnostics:
    """Describe the state of one voter."""

    def __init__(
        self,
        consensus: ConsensusNode,
        node: ControlNode,
        state: ControlState,
        changes: PrimaryChanges,
        timeline: FailoverTimeline,
    ) -> None:
        self._consensus = consensus
        self._node = node
        self._state = state
        self._changes = changes
        self._timeline = timeline

    def status(self) -> dict[str, Any]:
        """Return the status as JSON values."""
        view = self._state.view().model_dump(mode="json")
        members = self._consensus.diagnostics().members
        return {
            "leader": self._node.leader or None,
            "is_leader": self._node.leadership() is not None,
            "voters": [asdict(member) for member in members],
            "groups": view["groups"],
            "servers": view["servers"],
            "proxies": view["proxies"],
            "promotions": [asdict(report) for report in self._changes.reports],
            "failovers": self._timeline.describe(),
            "view_version": view["version"],
            "document_revision": self._state.document.revision,
        }

    def metrics(self) -> str:
        """Return gauges, one ``name value`` per line."""
        diagnostics = self._consensus.diagnostics()
        values = {
            "is_leader": int(diagnostics.has_lease),
            "term": diagnostics.term,
            "commit_index": diagnostics.commit_index,
            "last_applied": diagnostics.last_applied,
            "voters": sum(one.is_voter for one in diagnostics.members),
            "view_version": self._state.version,
            "document_revision": self._state.document.revision,
            "groups": len(self._state.groups),
            "servers": len(self._state.servers),
            "promotions": len(self._state.promotions),
        }
        return "".join(
            f"dogwoodspool_control_{name} {value}\n" for name, value in values.items()
        )
