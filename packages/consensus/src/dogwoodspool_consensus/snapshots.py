"""Transfer of snapshots from a leader to a node that is far behind."""

import json
from dataclasses import dataclass

from dogwoodspool_common import log_event

from .codec import snapshot_from_json, snapshot_to_json
from .configurations import ConfigurationAt
from .const import PATH_SNAPSHOT
from .identities import check_request
from .messages import SnapshotRequest, SnapshotResponse
from .models import LogBase, Role, Snapshot
from .peers import PeerCaller
from .state import NodeState


@dataclass(slots=True)
class PartialSnapshot:
    """The chunks of a leader's snapshot that have been received so far."""

    term: int
    index: int
    chunks: list[str]
    length: int = 0


class SnapshotSender:
    """Send the newest snapshot to peers, chunk by chunk."""

    def __init__(self, state: NodeState, caller: PeerCaller) -> None:
        self._state = state
        self._caller = caller
        self._encoded: tuple[int, str] = (0, "")

    def send(self, peer: str) -> None:
        """Send the next chunk to a peer that needs entries the log no longer holds."""
        state = self._state
        with state.changed:
            snapshot = state.snapshot
            if snapshot is None or state.role is not Role.LEADER:
                return
            request = self._build(peer, snapshot)
            progress = state.progress_of(peer)
            progress.sent_at = sent_at = state.clock.now()
        response = self._caller.call(peer, PATH_SNAPSHOT, request, SnapshotResponse)
        with state.changed:
            if response is None:
                interval = state.settings.heartbeat_interval
                progress.retry_at = state.clock.now() + interval
            elif state.record_response(peer, request, response, sent_at):
                self._handle_response(peer, request, response)

    def _build(self, peer: str, snapshot: Snapshot) -> SnapshotRequest:
        state = self._state
        progress = state.progress_of(peer)
        text = self._encode(snapshot)
        if progress.snapshot_index != snapshot.index:
            progress.snapshot_index, progress.snapshot_offset = snapshot.index, 0
        start = progress.snapshot_offset
        end = start + state.settings.snapshot_chunk_bytes
        return SnapshotRequest(
            **self._caller.header(peer, state.term),
            leader_address=str(state.address),
            index=snapshot.index,
            offset=start,
            data=text[start:end],
            is_last=end >= len(text),
        )

    def _handle_response(
        self, peer: str, request: SnapshotRequest, response: SnapshotResponse
    ) -> None:
        progress = self._state.progress_of(peer)
        progress.snapshot_offset = response.next_offset
        is_whole = response.next_offset == request.offset + len(request.data)
        if request.is_last and is_whole:
            progress.match_index = max(progress.match_index, request.index)
            progress.next_index = progress.match_index + 1
            progress.snapshot_index = 0
            log_event("snapshot_sent", peer=peer, index=request.index)
        self._state.changed.notify_all()

    def _encode(self, snapshot: Snapshot) -> str:
        index, text = self._encoded
        if index != snapshot.index:
            text = json.dumps(snapshot_to_json(snapshot), separators=(",", ":"))
            self._encoded = (snapshot.index, text)
        return text


class SnapshotReceiver:
    """Assemble chunks, and replace log and state with the complete snapshot."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._partial: PartialSnapshot | None = None

    def handle_snapshot(self, request: SnapshotRequest) -> SnapshotResponse:
        """Store one chunk, and install the snapshot with the last one."""
        state = self._state
        with state.changed:
            check_request(state, request)
            next_offset = 0
            if request.term >= state.term:
                state.follow(request)
                next_offset = self._add_chunk(request)
                state.record_leader_contact()
            return SnapshotResponse(
                term=state.term,
                incarnation=state.identity.incarnation,
                next_offset=next_offset,
            )

    def _add_chunk(self, request: SnapshotRequest) -> int:
        partial = self._partial
        key = (request.term, request.index)
        if partial is None or (partial.term, partial.index) != key:
            partial = PartialSnapshot(request.term, request.index, [])
            self._partial = partial
        # A chunk was repeated or lost: return the expected offset.
        if request.offset != partial.length:
            return partial.length
        limit = self._state.settings.max_snapshot_bytes
        if partial.length + len(request.data) > limit:
            log_event("snapshot_too_large", level="ERROR", limit=limit)
            self._partial = None
            return 0
        partial.chunks.append(request.data)
        partial.length += len(request.data)
        if request.is_last:
            self._partial = None
            self._install(snapshot_from_json(json.loads("".join(partial.chunks))))
        return partial.length

    def _install(self, snapshot: Snapshot) -> None:
        state = self._state
        if snapshot.index <= state.commit_index:
            return
        # Save the snapshot first: a crash before the log is replaced is detected when
        # the node starts (NodeState.load). The reverse order would lose entries.
        state.storage.save_snapshot(snapshot)
        state.log.install(LogBase(snapshot.index, snapshot.term))
        base = ConfigurationAt(snapshot.index, snapshot.configuration)
        state.configurations.install(base, state.log.all_entries())
        state.snapshot = state.snapshot_to_restore = snapshot
        state.commit_index = snapshot.index
        log_event("snapshot_installed", node=state.node_id, index=snapshot.index)
        state.changed.notify_all()
