"""Proposals: the leader's queue and its group commit."""

import json
import threading
from collections import deque
from typing import Any

from dogwoodspool_common import Clock

from .errors import (
    ConsensusError,
    NotLeaderError,
    OutcomeUnknownError,
    ProposalRefusedError,
)
from .models import EntryKind, Role
from .state import NodeState


class Proposal:
    """A command to be appended to the log, and its outcome."""

    def __init__(self, data: str) -> None:
        self.data = data
        self.term = 0
        self._condition = threading.Condition()
        self._result: dict[str, Any] | None = None
        self._error: ConsensusError | None = None

    @property
    def is_done(self) -> bool:
        """Whether the outcome is known."""
        return self._result is not None or self._error is not None

    def complete(self, result: dict[str, Any]) -> None:
        """Set the result of the state machine and wake the waiting threads."""
        with self._condition:
            self._result = result
            self._condition.notify_all()

    def fail(self, error: ConsensusError) -> None:
        """Set an error and wake the waiting threads."""
        with self._condition:
            self._error = error
            self._condition.notify_all()

    def wait(self, clock: Clock, deadline: float) -> bool:
        """Wait until the outcome is known; return False if the deadline passed."""
        with self._condition:
            while not self.is_done:
                remaining = deadline - clock.now()
                if remaining <= 0:
                    return False
                clock.wait(self._condition, remaining)
        return True

    def result(self) -> dict[str, Any]:
        """Return the result, or raise the error.

        Raises:
            ConsensusError: the error of the proposal.
            OutcomeUnknownError: the outcome is not known yet.
        """
        if self._error is not None:
            raise self._error
        if self._result is None:
            raise OutcomeUnknownError("the entry was not committed before the deadline")
        return self._result


class Proposals:
    """Queue commands and append them in batches, with one sync per batch."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._pending: deque[Proposal] = deque()
        self._waiting: dict[int, Proposal] = {}
        state.step_down_listeners.append(self._refuse_pending)

    @property
    def has_work(self) -> bool:
        """Whether the log writer has entries to append or to sync."""
        state = self._state
        if state.role is not Role.LEADER:
            return False
        return bool(self._pending) or state.log.durable_index < state.log.last_index

    def propose(self, command: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Append a command and return the result of the state machine.

        Raises:
            NotLeaderError: the command is not committed and never will be.
            OutcomeUnknownError: it was appended and may or may not be committed.
            ProposalRefusedError: it can never be appended.
        """
        clock = self._state.clock
        proposal = self.submit(command)
        if not proposal.wait(clock, clock.now() + timeout):
            self._withdraw(proposal)
        return proposal.result()

    def submit(self, command: dict[str, Any]) -> Proposal:
        """Queue a command without waiting for its outcome.

        The errors of ``propose`` are raised here or by ``Proposal.result``.
        """
        state = self._state
        proposal = Proposal(self._encode(command))
        with state.changed:
            if not self._accepts():
                raise NotLeaderError(state.leader_address)
            self._pending.append(proposal)
            state.changed.notify_all()
        return proposal

    def write_pending(self) -> None:
        """Append a batch of pending proposals and sync the log once.

        The sync runs without the lock, so that the entries are sent to the peers
        meanwhile. The leader counts itself towards the quorum only after the sync.
        """
        state = self._state
        with state.changed:
            if not self.has_work:
                return
            self._append_batch()
            term, last_index = state.term, state.log.last_index
        state.storage.sync()
        with state.changed:
            if state.role is not Role.LEADER or state.term != term:
                return
            state.log.durable_index = max(state.log.durable_index, last_index)
            state.advance_commit()

    def resolve(self, index: int, term: int, result: dict[str, Any]) -> None:
        """Complete the proposals whose outcome an applied entry decides.

        Terms never decrease along a committed log, so a proposal of an older term
        that is not applied yet can never be committed after this entry.
        """
        with self._state.changed:
            leader = self._state.leader_address
            proposal = self._waiting.get(index)
            if proposal is not None and proposal.term == term:
                self._waiting.pop(index).complete(result)
            for known in [
                key for key, item in self._waiting.items() if item.term < term
            ]:
                self._waiting.pop(known).fail(NotLeaderError(leader))

    def resolve_through_snapshot(self, index: int) -> None:
        """Fail the proposals whose entries a restored snapshot covers.

        A snapshot does not contain their results.
        """
        with self._state.changed:
            for known in [known for known in self._waiting if known <= index]:
                error = OutcomeUnknownError(
                    "a snapshot replaced the entry before its result was known"
                )
                self._waiting.pop(known).fail(error)

    def end(self) -> None:
        """Fail the proposals that were appended: this node learns no outcome any more.

        Otherwise their callers would wait until the process is gone.
        """
        with self._state.changed:
            while self._waiting:
                _, proposal = self._waiting.popitem()
                proposal.fail(OutcomeUnknownError("this node stopped before a commit"))

    def _encode(self, command: dict[str, Any]) -> str:
        try:
            data = json.dumps(command, separators=(",", ":"))
        except (TypeError, ValueError) as error:
            raise ProposalRefusedError(
                f"command cannot be encoded as JSON: {error}"
            ) from error
        if len(data) > self._state.settings.max_command_bytes:
            raise ProposalRefusedError(
                f"command has {len(data)} bytes, above the limit of "
                f"{self._state.settings.max_command_bytes}"
            )
        return data

    def _accepts(self) -> bool:
        # A leader without a lease may have been replaced: an immediate refusal is
        # better for the caller than an unknown outcome later. A new leader has no
        # lease until its first heartbeats are answered, so it accepts proposals for
        # the duration of one lease.
        state = self._state
        if state.role is not Role.LEADER or state.has_failed or state.is_closed:
            return False
        if len(self._pending) >= state.settings.max_pending:
            return False
        fresh_until = state.leader_since + state.settings.lease
        return state.clock.now() < max(state.lease_end(), fresh_until)

    def _append_batch(self) -> None:
        state = self._state
        count = min(len(self._pending), state.settings.max_batch)
        batch = [self._pending.popleft() for _ in range(count)]
        if not batch:
            return
        # Record the proposals before the write: if it fails, it is not known what
        # reached the disk.
        for index, proposal in enumerate(batch, start=state.log.last_index + 1):
            proposal.term = state.term
            self._waiting[index] = proposal
        state.append_as_leader(EntryKind.COMMAND, [proposal.data for proposal in batch])

    def _withdraw(self, proposal: Proposal) -> None:
        with self._state.changed:
            if proposal in self._pending:
                self._pending.remove(proposal)
                proposal.fail(NotLeaderError(self._state.leader_address))

    def _refuse_pending(self) -> None:
        while self._pending:
            error = NotLeaderError(self._state.leader_address)
            self._pending.popleft().fail(error)
