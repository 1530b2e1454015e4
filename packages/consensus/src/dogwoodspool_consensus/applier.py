"""Apply committed entries to the machine and take its snapshots."""

import json
from collections.abc import Sequence
from typing import Any, Protocol

from .models import Entry, EntryKind, Snapshot
from .proposals import Proposals
from .state import NodeState


class StateMachine(Protocol):
    """What the log's commands change; the same on every node."""

    def apply(self, index: int, command: dict[str, Any]) -> dict[str, Any]:
        """Apply one command; deterministic, and never raises for a bad one."""
        ...

    def snapshot(self) -> dict[str, Any]:
        """Return the whole state as JSON content."""
        ...

    def restore(self, snapshot: dict[str, Any]) -> None:
        """Replace the whole state by one that ``snapshot`` returned."""
        ...


class Applier:
    """Drive the machine; only one thread calls it."""

    def __init__(
        self, state: NodeState, machine: StateMachine, proposals: Proposals
    ) -> None:
        self._state = state
        self._machine = machine
        self._proposals = proposals

    @property
    def has_work(self) -> bool:
        """Whether something committed is not applied yet."""
        state = self._state
        if state.has_failed:
            return False
        has_entries = state.last_applied < state.commit_index
        return has_entries or state.snapshot_to_restore is not None

    def apply_committed(self) -> None:
        """Restore a snapshot that came, or apply the next committed entries."""
        state = self._state
        with state.changed:
            if not self.has_work:
                return
            snapshot, state.snapshot_to_restore = state.snapshot_to_restore, None
            entries = self._next_entries() if snapshot is None else ()
        if snapshot is not None:
            self._restore(snapshot)
            return
        self._apply(entries)
        if state.last_applied - self._snapshot_index() >= state.settings.snapshot_every:
            self.take_snapshot()

    def take_snapshot(self) -> None:
        """Save the machine's state and drop the entries that it covers.

        Only the thread that applies takes snapshots, so the state is that after
        ``last_applied``. The slow parts run without the lock.
        """
        state = self._state
        with state.changed:
            index, term = state.last_applied, state.applied_term
            configuration = state.configurations.at(index)
        text = json.dumps(self._machine.snapshot(), separators=(",", ":"))
        snapshot = Snapshot(index, term, configuration, text)
        state.storage.save_snapshot(snapshot)
        with state.changed:
            if state.snapshot is not None and state.snapshot.index >= index:
                return
            state.snapshot = snapshot
            state.log.compact(index - state.settings.log_kept)

    def _snapshot_index(self) -> int:
        snapshot = self._state.snapshot
        return snapshot.index if snapshot is not None else 0

    def _next_entries(self) -> tuple[Entry, ...]:
        state = self._state
        count = min(state.commit_index - state.last_applied, state.settings.max_batch)
        return state.log.entries_from(
            state.last_applied + 1, count, state.settings.max_batch_bytes
        )

    def _restore(self, snapshot: Snapshot) -> None:
        state = self._state
        self._machine.restore(json.loads(snapshot.state))
        self._proposals.resolve_through_snapshot(snapshot.index)
        with state.changed:
            state.last_applied, state.applied_term = snapshot.index, snapshot.term
            state.changed.notify_all()

    def _apply(self, entries: Sequence[Entry]) -> None:
        state = self._state
        results = [self._apply_one(entry) for entry in entries]
        with state.changed:
            state.last_applied = entries[-1].index
            state.applied_term = entries[-1].term
            state.changed.notify_all()
        for entry, result in zip(entries, results, strict=True):
            self._proposals.resolve(entry.index, entry.term, result)

    def _apply_one(self, entry: Entry) -> dict[str, Any]:
        if entry.kind is not EntryKind.COMMAND:
            return {}
        return self._machine.apply(entry.index, json.loads(entry.data))
