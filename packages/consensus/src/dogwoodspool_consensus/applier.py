"""Apply committed entries to the state machine and take its snapshots."""

import json
from collections.abc import Sequence
from typing import Any, Protocol

from .models import Entry, EntryKind, Snapshot
from .proposals import Proposals
from .state import NodeState


class StateMachine(Protocol):
    """State that the commands of the log change; identical on every node."""

    def apply(self, index: int, command: dict[str, Any]) -> dict[str, Any]:
        """Apply one command.

        Implementations are deterministic and never raise for an invalid command.
        """
        ...

    def snapshot(self) -> dict[str, Any]:
        """Return the whole state as JSON-serializable content."""
        ...

    def restore(self, snapshot: dict[str, Any]) -> None:
        """Replace the whole state with one returned by ``snapshot``."""
        ...


class Applier:
    """Apply entries to the state machine.

    Only one thread may call it.
    """

    def __init__(
        self, state: NodeState, machine: StateMachine, proposals: Proposals
    ) -> None:
        self._state = state
        self._machine = machine
        self._proposals = proposals

    @property
    def has_work(self) -> bool:
        """Whether a committed entry or a received snapshot is not applied yet."""
        state = self._state
        if state.has_failed:
            return False
        has_entries = state.last_applied < state.commit_index
        return has_entries or state.snapshot_to_restore is not None

    def apply_committed(self) -> None:
        """Restore a received snapshot, or apply the next committed entries."""
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
        """Save the state machine's state and compact the log up to it.

        Only the applier thread takes snapshots, so the state is the one after
        ``last_applied``. Serializing and writing the state run without the lock, as
        they are slow.
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
