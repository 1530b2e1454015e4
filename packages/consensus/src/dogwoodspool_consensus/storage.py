"""Durable files of one node."""

import os
import threading
import uuid
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, Protocol, TypeVar

from dogwoodspool_common import Address, log_event

from .codec import (
    entry_from_json,
    entry_to_json,
    identity_from_json,
    identity_to_json,
    snapshot_from_json,
    snapshot_to_json,
)
from .const import (
    FILE_IDENTITY,
    FILE_LOG,
    FILE_PROBE,
    FILE_SNAPSHOT,
    FILE_VOTE,
    PROBE_BYTES,
)
from .errors import StorageCorruptError, StorageFailedError
from .files import create_folder, replace_file, sync_folder
from .models import Entry, Identity, LogBase, Snapshot, StoredState, Vote
from .records import encode_record, scan_records

ValueT = TypeVar("ValueT")


class LogStorage(Protocol):
    """Keep a node's identity, vote, log and snapshot.

    The effects of all methods but ``append`` are durable when they return. Any method
    that writes may raise ``StorageFailedError``; the node then treats its disk as lost.
    """

    def load(self) -> StoredState:
        """Load everything; what is returned is durable.

        Raises:
            StorageCorruptError: the content is corrupt or inconsistent.
            StorageFailedError: the disk refuses writes.
        """
        ...

    def create_identity(
        self, node_id: str, initial_voters: Mapping[str, Address] | None
    ) -> Identity:
        """Create the identity of an empty folder."""
        ...

    def save_vote(self, vote: Vote) -> None:
        """Replace the stored term and vote."""
        ...

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries to the log; they are durable only after ``sync``."""
        ...

    def sync(self) -> None:
        """Make all appended entries durable."""
        ...

    def truncate(self, index: int) -> None:
        """Drop the entries from ``index`` on."""
        ...

    def rewrite(self, base: LogBase, entries: Sequence[Entry]) -> None:
        """Replace the whole log atomically."""
        ...

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the snapshot atomically, unless the stored one is newer."""
        ...

    def close(self) -> None:
        """Close open files."""
        ...


class FileLogStorage:
    """Keep a node's state in files of one folder.

    ``identity`` is written last when a folder is created, so its absence means that
    the folder was never used by a node.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._lock = threading.Lock()
        # Held for the whole of a sync, so that no second write begins before it.
        self._sync_lock = threading.Lock()
        self._snapshot_lock = threading.Lock()
        self._snapshot_index = 0
        self._log_file: int | None = None
        self._has_failed = False
        self._first_index = 1
        # End offset of each record: first the header, then each entry.
        self._record_ends: list[int] = []
        # The last records, which are not in the file yet.
        self._unwritten: list[bytes] = []

    def stored_node_id(self) -> str | None:
        """Return the id of the node that owns the folder; None for an empty one.

        Raises:
            StorageCorruptError: the identity file is damaged.
        """
        if not (self._folder / FILE_IDENTITY).exists():
            return None
        return identity_from_json(self._read_single(FILE_IDENTITY)).node_id

    def takes_writes(self) -> bool:
        """Return whether the disk currently accepts a durable write.

        Checked after a failure: a disk that was full or refused writes for a while may
        be used by a new process, which reads what is really stored.
        """
        path = self._folder / FILE_PROBE
        try:
            replace_file(path, bytes(PROBE_BYTES))
            path.unlink()
        except OSError as error:
            log_event("disk_refuses_writes", path=path, reason=error)
            return False
        return True

    def load(self) -> StoredState:
        """Load everything and remove a torn tail of the log."""
        if not (self._folder / FILE_IDENTITY).exists():
            if any((self._folder / name).exists() for name in (FILE_VOTE, FILE_LOG)):
                self._reject_lost_identity()
            return StoredState()
        # A killed process may have renamed a file without syncing the folder. Later
        # syncs of the file itself would not keep its name through a power loss.
        self._guard(lambda: sync_folder(self._folder))
        identity = identity_from_json(self._read_single(FILE_IDENTITY))
        vote = self._read_single(FILE_VOTE)
        snapshot: Snapshot | None = None
        if (self._folder / FILE_SNAPSHOT).exists():
            snapshot = snapshot_from_json(self._read_single(FILE_SNAPSHOT))
            self._snapshot_index = snapshot.index
        base, entries = self._load_log()
        return StoredState(
            identity,
            Vote(int(vote["term"]), vote["voted_for"]),
            snapshot,
            base,
            tuple(entries),
        )

    def create_identity(
        self, node_id: str, initial_voters: Mapping[str, Address] | None
    ) -> Identity:
        """Create an empty log and vote, then the identity that makes them valid."""
        # The incarnation must differ after a disk was wiped, so it comes from the
        # operating system's random source and not from the node's seeded one.
        identity = Identity(node_id, uuid.uuid4().hex, initial_voters)
        self._guard(lambda: create_folder(self._folder))
        self.save_vote(Vote())
        self.rewrite(LogBase(), ())
        self._write_atomically(FILE_IDENTITY, identity_to_json(identity))
        return identity

    def save_vote(self, vote: Vote) -> None:
        """Replace the stored term and vote."""
        content = {"term": vote.term, "voted_for": vote.voted_for}
        self._write_atomically(FILE_VOTE, content)

    def append(self, entries: Sequence[Entry]) -> None:
        """Keep entries for the next sync, which writes them to the log file."""
        with self._lock:
            end = self._record_ends[-1]
            for entry in entries:
                record = encode_record(entry_to_json(entry))
                end += len(record)
                self._record_ends.append(end)
                self._unwritten.append(record)

    def sync(self) -> None:
        """Write the appended entries to the log file and sync it.

        There is at most one write that is not synced. Of several, a power loss could
        keep a later one and lose an earlier one, which cannot be told from damage to
        entries that were synced.
        """
        with self._sync_lock:
            # Duplicate the descriptor, as a rewrite may close the original meanwhile.
            # The rewrite syncs what it writes itself.
            with self._lock:
                self._write_appended()
                file = os.dup(self._log_descriptor())
            try:
                self._guard(lambda: os.fsync(file))
            finally:
                os.close(file)

    def truncate(self, index: int) -> None:
        """Truncate the log file before an entry.

        The truncation is synced before anything new is appended: otherwise a crash
        could leave new records followed by old ones that look valid.
        """
        with self._lock:
            written = len(self._record_ends) - len(self._unwritten)
            kept = index - self._first_index + 1
            del self._record_ends[kept:]
            del self._unwritten[max(0, kept - written) :]
            if kept < written:
                self._guard(lambda: self._truncate_log_file(self._record_ends[-1]))

    def rewrite(self, base: LogBase, entries: Sequence[Entry]) -> None:
        """Replace the log file."""
        header = encode_record({"base_index": base.index, "base_term": base.term})
        records = [header, *(encode_record(entry_to_json(item)) for item in entries)]
        with self._lock:
            self._replace(FILE_LOG, b"".join(records))
            self._guard(self._reopen_log)
            self._first_index = base.index + 1
            self._record_ends = _end_offsets(records)
            self._unwritten = []

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the snapshot file, unless the stored snapshot is newer.

        The node's own snapshot and one sent by the leader may be saved at the same
        time; the log is already compacted up to the newer one.
        """
        with self._snapshot_lock:
            if snapshot.index < self._snapshot_index:
                return
            self._write_atomically(FILE_SNAPSHOT, snapshot_to_json(snapshot))
            self._snapshot_index = snapshot.index

    def close(self) -> None:
        """Write the appended entries, without a sync, and close the log file."""
        with self._sync_lock, self._lock:
            if self._log_file is not None:
                if not self._has_failed:
                    self._write_appended()
                os.close(self._log_file)
                self._log_file = None

    def _load_log(self) -> tuple[LogBase, list[Entry]]:
        path = self._folder / FILE_LOG
        if not path.exists():
            raise StorageCorruptError(f"{path} is missing")
        try:
            scanned = scan_records(path.read_bytes())
            header, *records = scanned.records
            base = LogBase(int(header["base_index"]), int(header["base_term"]))
            entries = [entry_from_json(record) for record in records]
        except StorageCorruptError as error:
            raise StorageCorruptError(f"{path}: {error}") from error
        except (KeyError, ValueError) as error:
            raise StorageCorruptError(f"{path}: invalid record: {error}") from error
        for expected, entry in enumerate(entries, start=base.index + 1):
            if entry.index != expected:
                raise StorageCorruptError(f"{path}: entry {expected} is missing")
        self._first_index = base.index + 1
        self._record_ends = list(scanned.ends)
        with self._lock:
            self._guard(self._reopen_log)
            if scanned.is_torn:
                lost = path.stat().st_size - self._record_ends[-1]
                log_event("log_tail_cut", level="WARNING", path=path, bytes=lost)
                self._guard(lambda: self._truncate_log_file(self._record_ends[-1]))
            else:
                # Entries that a killed process wrote are read back although they were
                # never synced. The node acknowledges everything that it has read.
                self._guard(lambda: os.fsync(self._log_descriptor()))
        return base, entries

    def _reject_lost_identity(self) -> None:
        # A crash during the creation of a folder leaves an empty log and vote; any
        # entry or vote means that the identity file was lost.
        if (self._folder / FILE_SNAPSHOT).exists():
            raise StorageCorruptError(f"{self._folder}: the identity file is missing")
        vote_path, log_path = self._folder / FILE_VOTE, self._folder / FILE_LOG
        vote = self._read_single(FILE_VOTE) if vote_path.exists() else {"term": 0}
        has_entries = log_path.exists() and len(self._load_log()[1]) > 0
        if vote["term"] or has_entries:
            raise StorageCorruptError(f"{self._folder}: the identity file is missing")

    def _read_single(self, name: str) -> dict[str, Any]:
        path = self._folder / name
        if not path.exists():
            raise StorageCorruptError(f"{path} is missing")
        scanned = scan_records(path.read_bytes())
        if len(scanned.records) != 1 or scanned.is_torn:
            raise StorageCorruptError(f"{path} is damaged")
        return scanned.records[0]

    def _write_atomically(self, name: str, content: dict[str, Any]) -> None:
        self._replace(name, encode_record(content))

    def _replace(self, name: str, content: bytes) -> None:
        self._guard(lambda: replace_file(self._folder / name, content))

    def _write_appended(self) -> None:
        content, self._unwritten = b"".join(self._unwritten), []
        self._guard(lambda: self._write(content))

    def _write(self, content: bytes) -> None:
        view = memoryview(content)
        while view:
            view = view[os.write(self._log_descriptor(), view) :]

    def _truncate_log_file(self, length: int) -> None:
        file = self._log_descriptor()
        os.ftruncate(file, length)
        os.fsync(file)

    def _reopen_log(self) -> None:
        if self._log_file is not None:
            os.close(self._log_file)
        self._log_file = os.open(self._folder / FILE_LOG, os.O_WRONLY | os.O_APPEND)

    def _log_descriptor(self) -> int:
        if self._log_file is None:
            raise StorageFailedError("the log file is not open")
        return self._log_file

    def _guard(self, operation: Callable[[], ValueT]) -> ValueT:
        # After a failed fsync the kernel may drop the dirty pages and report success
        # for the next one, so the result of a later call cannot be trusted.
        if self._has_failed:
            raise StorageFailedError(f"{self._folder}: an earlier write or sync failed")
        try:
            return operation()
        except OSError as error:
            self._has_failed = True
            raise StorageFailedError(f"{self._folder}: {error}") from error


def _end_offsets(records: Sequence[bytes]) -> list[int]:
    ends: list[int] = []
    end = 0
    for record in records:
        end += len(record)
        ends.append(end)
    return ends
