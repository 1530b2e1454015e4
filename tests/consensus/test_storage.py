"""Tests of the durable files of a node."""

import errno
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from dogwoodspool_common import Address
from dogwoodspool_consensus import (
    FileLogStorage,
    StorageCorruptError,
    StorageFailedError,
)
from dogwoodspool_consensus.models import (
    Configuration,
    Entry,
    EntryKind,
    LogBase,
    Snapshot,
    StoredState,
    Vote,
)

VOTERS = {"a": Address("127.0.0.1", 1)}


def entries(first: int, last: int, term: int = 1) -> list[Entry]:
    return [
        Entry(index, term, EntryKind.COMMAND, f'{{"id":{index}}}')
        for index in range(first, last + 1)
    ]


class StorageCase(unittest.TestCase):
    """Base class that opens and reopens the files of one folder."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "raft"
        self.storage = FileLogStorage(self.folder)
        self.addCleanup(self.storage.close)
        self.storage.load()
        self.identity = self.storage.create_identity("a", VOTERS)

    def reopen(self) -> StoredState:
        self.storage.close()
        self.storage = FileLogStorage(self.folder)
        self.addCleanup(self.storage.close)
        return self.storage.load()


class FileLogStorageTests(StorageCase):
    """What was written is read back."""

    def test_keeps_identity_vote_log_and_snapshot(self) -> None:
        snapshot = Snapshot(2, 1, Configuration.of(VOTERS), '{"x":1}')
        self.storage.save_vote(Vote(3, "someone"))
        self.storage.append(entries(1, 5))
        self.storage.sync()
        self.storage.truncate(4)
        self.storage.save_snapshot(snapshot)
        self.storage.rewrite(LogBase(1, 1), entries(2, 3))
        self.storage.append(entries(4, 4, term=3))
        self.assertEqual(
            self.reopen(),
            StoredState(
                self.identity,
                Vote(3, "someone"),
                snapshot,
                LogBase(1, 1),
                (*entries(2, 3), *entries(4, 4, term=3)),
            ),
        )

    def test_older_snapshot_does_not_replace_newer_one(self) -> None:
        newer = Snapshot(9, 1, Configuration.of(VOTERS), "{}")
        self.storage.save_snapshot(newer)
        self.storage.save_snapshot(Snapshot(5, 1, Configuration.of(VOTERS), "{}"))
        self.assertEqual(self.reopen().snapshot, newer)

    def test_new_folder_gets_another_incarnation(self) -> None:
        other = FileLogStorage(self.folder.with_name("other"))
        self.addCleanup(other.close)
        identity = other.create_identity("a", None)
        self.assertNotEqual(identity.incarnation, self.identity.incarnation)

    def test_lost_identity_is_refused(self) -> None:
        # An operator deletes the identity file. With a newly created identity the node
        # would vote again in a term in which it has voted.
        self.storage.save_vote(Vote(1, "someone"))
        (self.folder / "identity").unlink()
        with self.assertRaises(StorageCorruptError):
            self.reopen()


class DamagedLogTests(StorageCase):
    """A torn tail is removed; any other damage is refused."""

    def setUp(self) -> None:
        super().setUp()
        self.storage.append(entries(1, 3))
        self.storage.sync()
        self.log = self.folder / "log"

    def test_every_torn_tail_is_cut_and_written_over(self) -> None:
        # The power fails while the last record is being written. The node must be able
        # to start again, and its next records must be valid.
        whole = self.log.read_bytes()
        last = len(whole.splitlines(keepends=True)[-1])
        for length in (1, last // 2, last - 1):
            with self.subTest(length=length):
                self.storage.close()
                self.log.write_bytes(whole[: len(whole) - last + length])
                self.assertEqual(list(self.reopen().entries), entries(1, 2))
                self.storage.append(entries(3, 4, term=2))
                kept = entries(1, 2) + entries(3, 4, term=2)
                self.assertEqual(list(self.reopen().entries), kept)

    def test_damage_before_the_tail_is_refused(self) -> None:
        # A bit flips in a synced record. Truncating the log there would silently drop
        # entries that this node has acknowledged.
        content = bytearray(self.log.read_bytes())
        content[content.index(b'{\\"id\\":2}') + 7] ^= 1
        self.log.write_bytes(content)
        with self.assertRaisesRegex(StorageCorruptError, "damaged record"):
            self.reopen()

    def test_missing_entry_is_refused(self) -> None:
        lines = self.log.read_bytes().splitlines(keepends=True)
        self.log.write_bytes(b"".join([*lines[:2], *lines[3:]]))
        with self.assertRaisesRegex(StorageCorruptError, "missing"):
            self.reopen()

    def test_damaged_vote_is_refused(self) -> None:
        vote = self.folder / "vote"
        vote.write_bytes(vote.read_bytes()[:-3])
        with self.assertRaises(StorageCorruptError):
            self.reopen()


class FullDiskTests(StorageCase):
    """After a failure the disk is checked before the node is started again."""

    def test_full_disk_is_told_from_a_writable_one(self) -> None:
        # A disk is full for some seconds. Without the check the process restarts three
        # times in a row and fails at its first write each time.
        full = OSError(errno.ENOSPC, "No space left on device")
        with mock.patch.object(os, "fsync", side_effect=full):
            self.assertFalse(self.storage.takes_writes())
        self.assertTrue(self.storage.takes_writes())

    def test_write_check_leaves_no_file(self) -> None:
        before = sorted(path.name for path in self.folder.iterdir())
        self.storage.takes_writes()
        after = sorted(path.name for path in self.folder.iterdir())
        self.assertEqual(before, after)


class SyncTests(StorageCase):
    """Nothing counts as durable before the file and its folder are synced."""

    def test_replaced_files_and_their_folder_are_synced(self) -> None:
        # A vote is granted, the power fails, and the rename of the file was never
        # synced: the node votes a second time in the same term.
        order: list[str] = []
        real_fsync, real_replace = os.fsync, os.replace

        def fsync(file: int) -> None:
            order.append(Path(os.readlink(f"/proc/self/fd/{file}")).name)
            real_fsync(file)

        def replace(source: str, target: str) -> None:
            order.append("rename")
            real_replace(source, target)

        with mock.patch("os.fsync", fsync), mock.patch("os.replace", replace):
            self.storage.save_vote(Vote(2, "b"))
        self.assertEqual(order, ["vote.tmp", "rename", "raft"])

    def test_new_folders_are_durable_before_the_identity(self) -> None:
        """Guard against a power loss that takes a new node's folder."""
        order: list[str] = []
        real_fsync = os.fsync

        def fsync(file: int) -> None:
            order.append(Path(os.readlink(f"/proc/self/fd/{file}")).name)
            real_fsync(file)

        storage = FileLogStorage(self.folder / "outer" / "inner")
        self.addCleanup(storage.close)
        with mock.patch("os.fsync", fsync):
            storage.create_identity("b", VOTERS)
        self.assertEqual(order[:2], ["outer", "raft"])
        self.assertLess(order.index("raft"), order.index("identity.tmp"))

    def test_crash_while_replacing_keeps_the_old_content(self) -> None:
        self.storage.save_vote(Vote(1, "b"))
        with (
            mock.patch("os.replace", side_effect=OSError(errno.EIO, "gone")),
            self.assertRaises(StorageFailedError),
        ):
            self.storage.save_vote(Vote(2, "c"))
        self.assertEqual(self.reopen().vote, Vote(1, "b"))

    def test_no_sync_succeeds_after_a_failed_one(self) -> None:
        # fsync fails once and the kernel drops the dirty pages. The next fsync reports
        # success, and the node would acknowledge entries that are lost.
        self.storage.append(entries(1, 1))
        with (
            mock.patch("os.fsync", side_effect=OSError(errno.EIO, "bad")),
            self.assertRaises(StorageFailedError),
        ):
            self.storage.sync()
        with self.assertRaises(StorageFailedError):
            self.storage.sync()
