"""Control operations for callers outside the system, in the system's own models."""

from collections.abc import Callable, Iterable

from dogwoodspool_common import log_event
from dogwoodspool_control.commands import ApplyDocument, Command
from dogwoodspool_control.node import ControlNode
from dogwoodspool_control.settings.documents import Document, pack, unpack
from dogwoodspool_control.state import ControlState

from .heartbeats import HeartbeatTracker
from .models import Heartbeat


class ControlService:
    """Record heartbeats, apply configuration documents and return the one in force.

    Every method raises ``ControlError`` or ``ConsensusError`` if its result cannot be
    guaranteed; ``LeadershipLostError`` names the leader to call instead.
    """

    def __init__(
        self,
        node: ControlNode,
        state: ControlState,
        heartbeats: HeartbeatTracker,
        wake: Callable[[], None],
    ) -> None:
        self._node = node
        self._state = state
        self._heartbeats = heartbeats
        self._wake = wake

    @property
    def is_leader(self) -> bool:
        """Whether this voter is certain to be the leader now."""
        return self._node.leadership() is not None

    def knows_group(self, group: str) -> bool:
        """Tell whether the document in force describes a database group."""
        return self._state.describes_group(group)

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat; the changes it causes are committed on return.

        A server may end as soon as its announcement of leaving is acknowledged, and
        this voter may lose power right after that. So the commit comes first.
        """
        self._node.require_leadership()
        self._commit(self._heartbeats.record(heartbeat))
        self._wake()

    def end_server(self, name: str, incarnation: int | None) -> None:
        """Record that a server's process ends; see ``HeartbeatTracker.end``."""
        self._node.require_leadership()
        self._commit(self._heartbeats.end(name, incarnation))
        self._wake()

    def apply_document(self, revision: int, document: Document, author: str) -> int:
        """Apply a document; one that is not newer than the current one has no effect.

        Returns:
            Version of the first view in which this document or a newer one is in force.

        Raises:
            CommandRejectedError: it was rejected and is not in force.
        """
        leadership = self._node.require_leadership()
        outcome = self._node.commit(ApplyDocument(revision, pack(document), author))
        view = self._state.version
        is_in_force = outcome.version == revision
        log_event(
            "document_committed",
            level="INFO" if is_in_force else "WARNING",
            revision=revision,
            in_force=outcome.version,
            index=outcome.index,
            view=view,
            term=leadership.term,
            voters=",".join(self._node.holders(outcome.index or view)),
        )
        return view

    def source(self) -> str | None:
        """Return the text of the newest document; None before the first.

        The read is confirmed by a quorum, so that a voter that was cut off for long
        does not return an outdated document.
        """
        self._node.confirm_read()
        held = self._state.document
        return unpack(held.content).source if held.content else None

    def _commit(self, commands: Iterable[Command]) -> None:
        for command in commands:
            outcome = self._node.propose(command)
            if not outcome.is_accepted:
                log_event(
                    "command_rejected",
                    level="WARNING",
                    command=type(command).__name__,
                    reason=outcome.message,
                )
