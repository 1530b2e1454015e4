"""Proposals: the queue of the leader and the group commit."""

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
    """One command on its way through the log."""

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
        """Give the result of the machine to the waiting thread."""
        with self._condition:
            self._result = result
            self._condition.notify_all()

    def fail(self, error: ConsensusError) -> None:
        """Give an error to the waiting thread."""
        with self._condition:
            self._error = error
            self._condition.notify_all()

    def wait(self, clock: Clock, deadline: float) -> bool:
        """Wait until the outcome is known; return False when time ran out."""
        with self._condition:
            while not self.is_done:
                remaining = deadline - clock.now()
                if remaining <= 0:
                    return False
                clock.wait(self._condition, remaining)
        return True

    def result(self) -> dict[str, Any]:
        """Return the result or raise the error, once the outcome is known."""
        if self._error is not None:
            raise self._error
        if self._result is None:
            raise OutcomeUnknownError("the entry was not committed in time")
        return self._result


class Proposals:
    """Queue commands and append them in batches, one sync for each batch."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._pending: deque[Proposal] = deque()
        self._waiting: dict[int, Proposal] = {}
        state.step_down_listeners.append(self._refuse_pending)

    @property
    def has_work(self) -> bool:
        """Whether the log writer has something to append or to sync."""
        state = self._state
        if state.role is not Role.LEADER:
            return False
        return bool(self._pending) or state.log.durable_index < state.log.last_index

    def propose(self, command: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Append a command and return what the machine answered to it.

        Raises:
            NotLeaderError: the command is surely not in the log.
            OutcomeUnknownError: it was appended and may or may not be committed.
            ProposalRefusedError: it can never be appended.
        """
        clock = self._state.clock
        proposal = self.submit(command)
        if not proposal.wait(clock, clock.now() + timeout):
            self._withdraw(proposal)
        return proposal.result()

    def submit(self, command: dict[str, Any]) -> Proposal:
        """Queue a command without waiting for it; errors as for ``propose``."""
        state = self._state
        proposal = Proposal(self._encode(command))
        with state.changed:
            if not self._accepts():
                raise NotLeaderError(state.leader_address)
            self._pending.append(proposal)
            state.changed.notify_all()
        return proposal

    def write_pending(self) -> None:
        """Append what waits and sync it: one sync however many proposals.

        The sync runs without the lock, so that the entries travel to the peers
        meanwhile; the leader counts itself only when the sync has ended.
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
        """Answer the proposals whose fate an applied entry decides.

        Terms only grow along a committed log, so a proposal of an older term
        that is not applied yet can never follow this entry.
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
        """Give up the proposals whose entries only a snapshot shows."""
        with self._state.changed:
            for known in [known for known in self._waiting if known <= index]:
                error = OutcomeUnknownError("the log moved on without an answer")
                self._waiting.pop(known).fail(error)

    def _encode(self, command: dict[str, Any]) -> str:
        try:
            data = json.dumps(command, separators=(",", ":"))
        except (TypeError, ValueError) as error:
            raise ProposalRefusedError(f"the command is no JSON: {error}") from error
        if len(data) > self._state.settings.max_command_bytes:
            raise ProposalRefusedError(f"the command has {len(data)} bytes")
        return data

    def _accepts(self) -> bool:
        # A leader without a lease may have been replaced: refusing now is better
        # for the caller than an unknown outcome later. A leader that is new has
        # no lease before its first heartbeats are answered.
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
        # Before the write: when the disk fails, what reached it is not known.
        for index, proposal in enumerate(batch, start=state.log.last_index + 1):
            proposal.term = state.term
            self._waiting[index] = proposal
        state.append_own(EntryKind.COMMAND, [proposal.data for proposal in batch])

    def _withdraw(self, proposal: Proposal) -> None:
        with self._state.changed:
            if proposal in self._pending:
                self._pending.remove(proposal)
                proposal.fail(NotLeaderError(self._state.leader_address))

    def _refuse_pending(self) -> None:
        while self._pending:
            error = NotLeaderError(self._state.leader_address)
            self._pending.popleft().fail(error)
