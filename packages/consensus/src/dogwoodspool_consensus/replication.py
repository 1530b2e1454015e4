"""Replication: the leader's messages to a peer and the follower's responses."""

from .confirmations import Confirmations
from .const import CONFIRMED_DIGITS, LEARNER_HEARTBEAT_FACTOR, PATH_APPEND
from .identities import check_request
from .messages import AppendRequest, AppendResponse, EntryMessage
from .models import Role
from .peers import PeerCaller
from .progress import PeerProgress
from .snapshots import SnapshotSender
from .state import NodeState


class Replication:
    """Send log entries to peers, and append those received from a leader."""

    def __init__(
        self,
        state: NodeState,
        caller: PeerCaller,
        snapshots: SnapshotSender,
        confirmations: Confirmations,
    ) -> None:
        self._state = state
        self._caller = caller
        self._snapshots = snapshots
        self._confirmations = confirmations

    def next_send(self, peer: str) -> float:
        """Return the clock time of the leader's next message to a peer."""
        state = self._state
        progress = state.progress_of(peer)
        has_entries = progress.next_index <= state.log.last_index
        has_new_commit = progress.sent_commit_index < state.commit_index
        if has_entries or has_new_commit or progress.sent_at < state.quorum_check_at:
            return progress.retry_at
        interval = state.settings.heartbeat_interval
        if peer not in state.configuration.voters:
            # The lease does not depend on learners' responses, and entries and commits
            # are sent without waiting for the next heartbeat.
            interval *= LEARNER_HEARTBEAT_FACTOR
        return max(progress.retry_at, progress.sent_at + interval)

    def send(self, peer: str) -> None:
        """Send the next entries, a heartbeat or a chunk of a snapshot."""
        state = self._state
        with state.changed:
            if state.role is not Role.LEADER or peer not in state.configuration.members:
                return
            progress = state.progress_of(peer)
            prev_index = progress.next_index - 1
            prev_term = state.log.term_at(prev_index)
            if prev_term is not None:
                request = self._build(peer, prev_index, prev_term)
                progress.sent_at = sent_at = state.clock.now()
                progress.sent_commit_index = request.commit_index
        if prev_term is None:
            self._snapshots.send(peer)
            return
        response = self._caller.call(peer, PATH_APPEND, request, AppendResponse)
        with state.changed:
            if response is None:
                self._delay(progress)
            elif state.record_response(peer, request, response, sent_at):
                self._handle_response(peer, request, response)

    def handle_append(self, request: AppendRequest) -> AppendResponse:
        """Append the leader's entries and respond once they are durable."""
        state = self._state
        received_at = state.clock.now()
        with state.changed:
            check_request(state, request)
            is_success = request.term >= state.term and self._append_entries(request)
            if is_success:
                self._confirmations.record(request, received_at)
            return AppendResponse(
                term=state.term,
                incarnation=state.identity.incarnation,
                is_success=is_success,
                last_index=self._last_match_hint(request.prev_index),
            )

    def _last_match_hint(self, prev_index: int) -> int:
        # Skip the whole conflicting term, so that a leader finds the last common entry
        # with one message per term and not per entry.
        log = self._state.log
        if log.term_at(prev_index) is None:
            return min(log.last_index, prev_index)
        return max(log.first_index_of_term(prev_index) - 1, self._state.commit_index)

    def _build(self, peer: str, prev_index: int, prev_term: int) -> AppendRequest:
        state = self._state
        remaining = None
        if not self._caller.is_earlier_build(peer):
            remaining = round(self._confirmations.remaining(), CONFIRMED_DIGITS)
        entries = state.log.entries_from(
            prev_index + 1, state.settings.max_batch, state.settings.max_batch_bytes
        )
        return AppendRequest(
            **self._caller.header(peer, state.term),
            leader_address=str(state.address),
            prev_index=prev_index,
            prev_term=prev_term,
            entries=[EntryMessage.of(entry) for entry in entries],
            commit_index=state.commit_index,
            confirmed_s=remaining,
        )

    def _delay(self, progress: PeerProgress) -> None:
        settings = self._state.settings
        progress.retry_at = self._state.clock.now() + settings.heartbeat_interval

    def _handle_response(
        self, peer: str, request: AppendRequest, response: AppendResponse
    ) -> None:
        state = self._state
        progress = state.progress_of(peer)
        if response.is_success:
            match = request.prev_index + len(request.entries)
            progress.match_index = max(progress.match_index, match)
            progress.next_index = progress.match_index + 1
            state.advance_commit()
        else:
            lower = min(request.prev_index, response.last_index + 1)
            progress.next_index = max(1, progress.match_index + 1, lower)
        state.changed.notify_all()

    def _append_entries(self, request: AppendRequest) -> bool:
        state = self._state
        state.follow(request)
        entries = request.log_entries()
        prev_index, prev_term = request.prev_index, request.prev_term
        # Entries covered by the snapshot are committed, so they equal those received.
        base = state.log.base
        if prev_index < base.index:
            entries = [entry for entry in entries if entry.index > base.index]
            prev_index, prev_term = base.index, base.term
        if state.log.term_at(prev_index) != prev_term:
            return False
        for offset, entry in enumerate(entries):
            known_term = state.log.term_at(entry.index)
            if known_term == entry.term:
                continue
            if known_term is not None:
                state.truncate(entry.index)
            state.append_from_leader(entries[offset:])
            break
        # Entries that this node appended as leader may not be durable yet.
        if state.log.durable_index < state.log.last_index:
            state.log.sync()
        last = request.prev_index + len(request.entries)
        if min(request.commit_index, last) > state.commit_index:
            state.commit_index = min(request.commit_index, last)
            state.changed.notify_all()
        state.record_leader_contact()
        return True
