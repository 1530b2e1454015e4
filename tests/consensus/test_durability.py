"""Tests of what survives process kills, power losses and a lost disk together."""

import contextlib
import unittest
from collections.abc import Callable

from dogwoodspool_common import Address
from dogwoodspool_consensus import FileLogStorage
from dogwoodspool_consensus.models import Entry
from dogwoodspool_consensus.proposals import Proposal

from .disks import DiskCluster, SimulatedDisks, kill_storage
from .fakes import SETTINGS, SimulatedCrashError
from .test_storage import entries


class DurabilityCase(unittest.TestCase):
    """Base class with three voters on simulated disks."""

    def setUp(self) -> None:
        self.disks = SimulatedDisks(seed=1)
        self.addCleanup(self.disks.close)
        self.cluster = DiskCluster(self.disks)
        self.cluster.run(1.5)
        self.leader = self.cluster.leader()
        self.cluster.run(0.5)
        self.first, self.second = sorted(set(self.cluster.nodes) - {self.leader})

    def kill_at(self, *calls: tuple[str, str]) -> None:
        """Kill the process that makes the last of these calls right after the others.

        Only calls on paths of that process count.
        """
        node = calls[-1][1].partition("/")[0]
        seen: list[tuple[str, str]] = []

        def kill(kind: str, path: str) -> None:
            if path.partition("/")[0] != node:
                return
            seen.append((kind, path))
            if tuple(seen[-len(calls) :]) == calls:
                self.disks.before_call = lambda _kind, _path: None
                raise SimulatedCrashError

        self.disks.before_call = kill

    def submit(self, text: str) -> Proposal:
        leader = self.cluster.leader()
        return self.cluster.nodes[leader].submit({"id": text})

    def assert_kept(self, text: str) -> None:
        """Check that the group elects a leader that has applied a command."""
        leader = self.cluster.leader()
        self.assertIn(text, self.cluster.machines[leader].applied.values())


class KilledBeforeSyncTests(DurabilityCase):
    """A process is killed between a write and its sync, and power is lost later."""

    def test_read_back_entry_counts_only_once_durable(self) -> None:
        """Guard against entries acknowledged from the page cache alone."""
        cluster = self.cluster
        cluster.crash(self.second)
        proposal = self.submit("kept")
        cluster.nodes[self.leader].write_pending()
        self.kill_at(("fsync", f"{self.first}/log"))
        cluster.nodes[self.leader].step_peer(self.first)
        self.assertNotIn(self.first, cluster.nodes)
        cluster.start(self.first)
        cluster.run(0.3)
        self.assertTrue(proposal.is_done)
        proposal.result()
        cluster.lose_disk(self.leader)
        cluster.lose_power(self.first, self.second, fates=("lost",))
        cluster.start(self.first)
        cluster.start(self.second)
        self.assert_kept("kept")

    def test_renamed_log_counts_only_once_its_name_is_durable(self) -> None:
        """Guard against a power loss that brings the former log file back."""
        cluster = self.cluster
        self.kill_at(("rename", f"{self.first}/log"), ("fsync", f"{self.first}/"))
        for count in range(SETTINGS.snapshot_every):
            self.submit(f"before {count}")
        cluster.run(0.5)
        self.assertNotIn(self.first, cluster.nodes)
        cluster.start(self.first)
        cluster.crash(self.second)
        cluster.run(0.3)
        proposal = self.submit("kept")
        cluster.run(0.3)
        proposal.result()
        cluster.lose_disk(self.leader)
        cluster.lose_power(self.first, self.second, fates=("lost",))
        cluster.start(self.first)
        cluster.start(self.second)
        self.assert_kept("kept")


class UnsyncedWritesTests(unittest.TestCase):
    """Power is lost with several appends that no sync has covered."""

    def test_every_subset_of_unsynced_writes_leaves_a_usable_log(self) -> None:
        """Guard against a voter that refuses its log after a power loss."""
        for seed in range(60):
            with (
                self.subTest(seed=seed),
                contextlib.closing(SimulatedDisks(seed)) as disks,
            ):
                loaded = self._load_after_power_loss(disks)
                self.assertEqual(loaded, tuple(entries(1, 5)[: len(loaded)]))
                self.assertGreaterEqual(len(loaded), 2)

    def _load_after_power_loss(self, disks: SimulatedDisks) -> tuple[Entry, ...]:
        disk = disks.disk("n0")
        storage = FileLogStorage(disk.folder)
        storage.load()
        storage.create_identity("n0", {"n0": Address("10.0.0.1", 1)})
        storage.append(entries(1, 2))
        storage.sync()
        disks.before_call = self._append_during_sync(disks, storage)
        storage.append(entries(3, 3))
        with self.assertRaises(SimulatedCrashError):
            storage.sync()
        kill_storage(storage)
        disk.lose_power()
        again = FileLogStorage(disk.folder)
        self.addCleanup(again.close)
        return again.load().entries

    def _append_during_sync(
        self, disks: SimulatedDisks, storage: FileLogStorage
    ) -> Callable[[str, str], None]:
        def append(kind: str, _path: str) -> None:
            if kind == "fsync":
                disks.before_call = lambda _kind, _path: None
                storage.append(entries(4, 4))
                storage.append(entries(5, 5))
                raise SimulatedCrashError

        return append
