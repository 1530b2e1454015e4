"""What callers outside the system ask of control, in the system's own words."""

from collections.abc import Callable, Iterable

from dogwoodspool_common import log_event
from dogwoodspool_control.commands import ApplyDocument, Command
from dogwoodspool_control.node import ControlNode
from dogwoodspool_control.settings.documents import Document, pack, unpack
from dogwoodspool_control.state import ControlState

from .heartbeats import HeartbeatBook
from .models import Heartbeat


class ControlService:
    """Take heartbeats and documents in, and give the document in force back.

    Every method raises ``ControlError`` or ``ConsensusError`` where nothing can be
    promised; ``LeadershipLostError`` names the leader that should be asked.
    """

    def __init__(
        self,
        node: ControlNode,
        state: ControlState,
        heartbeats: HeartbeatBook,
        wake: Callable[[], None],
    ) -> None:
        self._node = node
        self._state = state
        self._heartbeats = heartbeats
        self._wake = wake

    @property
    def is_leader(self) -> bool:
        """Whether this voter surely leads now."""
        return self._node.leadership() is not None

    def knows_group(self, group: str) -> bool:
        """Tell whether the document in force describes a database group."""
        return self._state.describes_group(group)

    def record_heartbeat(self, beat: Heartbeat) -> None:
        """Take in a heartbeat; what it changes is committed on return.

        Whoever stated its leaving may end once that was acknowledged, and this
        voter may lose its power right after: so the commit comes first.
        """
        self._node.require_leadership()
        self._commit(self._heartbeats.take(beat))
        self._wake()

    def end_server(self, name: str, incarnation: int | None) -> None:
        """Take in that a server's process ends; see ``HeartbeatBook.end``."""
        self._node.require_leadership()
        self._commit(self._heartbeats.end(name, incarnation))
        self._wake()

    def apply_document(self, revision: int, document: Document, author: str) -> int:
        """Put a document in force; one that is not newer changes nothing.

        Returns:
            Version of the view from which on it, or a newer one, is in force.

        Raises:
            CommandRejectedError: it was refused and is not in force.
        """
        self._node.require_leadership()
        self._node.commit(ApplyDocument(revision, pack(document), author))
        return self._state.version

    def source(self) -> str | None:
        """Return the text of the newest document; None before the first.

        The read is confirmed by a quorum: a voter that was cut off for long must
        not show an old one.
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
