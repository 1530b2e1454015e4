"""Checks of what all processes of a simulated control group agree on."""

from collections.abc import Iterable
from typing import Any

from dogwoodspool_api.models import ControlView
from dogwoodspool_consensus import Role
from dogwoodspool_control.state import ControlState
from dogwoodspool_following.view import ProxyView

from .machines import Machine, Process

MARKER = "r-revision"


def revision_of(view: ControlView | ProxyView) -> int:
    """Return the revision of the document that a view shows; 0 without one."""
    found = [one for one in endpoints_of(view) if one.name == MARKER]
    return found[0].deadline_ms if found else 0


def endpoints_of(view: ControlView | ProxyView) -> list[Any]:
    """Return the endpoints of a view."""
    if isinstance(view, ProxyView):
        return list(view.endpoints.values())
    return list(view.endpoints)


class Checks:
    """What was seen of each index, term and version, compared with what follows."""

    def __init__(self) -> None:
        self.views: dict[int, ControlView] = {}
        self._commands: dict[int, dict[str, Any]] = {}
        self._terms: dict[int, int] = {}
        self.revisions: dict[int, int] = {}
        self._leader_of: dict[int, str] = {}

    def check_command(self, index: int, command: dict[str, Any]) -> None:
        """Check that all processes apply the same command at an index."""
        known = self._commands.setdefault(index, command)
        assert known == command, f"two commands were applied at {index}"

    def check_state(self, state: ControlState) -> None:
        """Check that a version has the same content at all processes."""
        version, view, revision = state.version, state.view(), state.document.revision
        known = self.views.setdefault(version, view)
        assert known == view, f"two states of version {version}"
        known_revision = self.revisions.setdefault(version, revision)
        assert known_revision == revision, f"two documents in version {version}"
        assert revision == revision_of(view), "the view lacks the document"

    def check_logs(self, process: Process) -> None:
        """Check that a committed entry has the same term in all logs."""
        state = process.node._state
        while process.checked_index < state.commit_index:
            process.checked_index += 1
            index = process.checked_index
            term = state.log.term_at(index)
            if term is not None:
                known = self._terms.setdefault(index, term)
                assert known == term, f"entry {index} is of terms {known} and {term}"

    def check_leaders(self, machines: Iterable[Machine]) -> None:
        """Check that each term has one leader, and one process a lease."""
        leaders = []
        for machine in machines:
            process = machine.process
            if process is None:
                continue
            assert not process.node._state.has_failed, f"{machine.node_id} has failed"
            if process.node._state.role is Role.LEADER:
                term = process.node._state.term
                known = self._leader_of.setdefault(term, machine.node_id)
                assert known == machine.node_id, f"two leaders in term {term}"
            if process.node.leadership() is not None:
                leaders.append(machine.node_id)
        assert len(leaders) <= 1, f"two leases: {leaders}"
