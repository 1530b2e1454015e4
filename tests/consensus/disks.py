"""Simulated disks below the real files of nodes: process kills and power losses."""

import os
import random
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from unittest import mock

from dogwoodspool_consensus import FileLogStorage, StorageCorruptError
from dogwoodspool_consensus.storage import LogStorage

from .fakes import Cluster, SimulatedCrashError

FATES = ("kept", "lost", "torn")


@dataclass
class FileModel:
    """One file: what its last sync covered, and the calls made since."""

    durable: bytes = b""
    unsynced: list[tuple[int, bytes | None]] = field(default_factory=list)

    def after_power_loss(self, rng: random.Random, fates: tuple[str, ...]) -> bytes:
        """Return the content if each unsynced write is kept, lost or torn by itself."""
        content = bytearray(self.durable)
        for offset, data in self.unsynced:
            fate = rng.choice(fates)
            if fate == "lost" or (data is None and fate == "torn"):
                continue
            if data is None:
                del content[offset:]
                continue
            kept = data[: rng.randrange(len(data))] if fate == "torn" else data
            if kept:
                content.extend(bytes(max(0, offset - len(content))))
                content[offset : offset + len(kept)] = kept
        return bytes(content)


class SimulatedDisk:
    """The folder of one node, and what of it would survive a power loss."""

    def __init__(self, folder: Path, rng: random.Random) -> None:
        self.folder = folder
        self.names: dict[str, FileModel] = {}
        self.durable_names: dict[str, FileModel] = {}
        self._rng = rng

    def lose_power(self, fates: tuple[str, ...] = FATES) -> None:
        """Replace the files by what a power loss leaves of them.

        Each name that changed since the folder was synced is old or new by itself.
        """
        left: dict[str, FileModel] = {}
        for name in sorted({*self.names, *self.durable_names}):
            choices = [self.durable_names.get(name), self.names.get(name)]
            if "kept" not in fates:
                choices = choices[:1]
            model = self._rng.choice(choices)
            if model is not None:
                left[name] = model
        contents = {
            name: model.after_power_loss(self._rng, fates)
            for name, model in left.items()
        }
        self.wipe()
        for name, content in contents.items():
            (self.folder / name).write_bytes(content)
            self.names[name] = FileModel(content)
        self.durable_names = dict(self.names)

    def wipe(self) -> None:
        """Lose everything."""
        for path in self.folder.iterdir():
            path.unlink()
        self.names, self.durable_names = {}, {}

    def record_write(self, name: str, offset: int, data: bytes | None) -> None:
        """Record a write, or the truncation to a length."""
        self.names.setdefault(name, FileModel()).unsynced.append((offset, data))

    def record_sync(self, name: str) -> None:
        """Record the sync of a file, or of the folder for an empty name."""
        if not name:
            self.durable_names = dict(self.names)
            return
        model = self.names.setdefault(name, FileModel())
        model.durable = (self.folder / name).read_bytes()
        model.unsynced.clear()
        self.durable_names.setdefault(name, model)

    def record_rename(self, source: str, target: str) -> None:
        """Record the renaming of a file."""
        self.names[target] = self.names.pop(source)


class SimulatedDisks:
    """Observe the file calls of storages in folders of simulated disks.

    ``before_call`` runs before each call, such as ``("fsync", "n0/log")`` or
    ``("fsync", "n0/")`` for the folder, and may raise ``SimulatedCrashError``.
    """

    def __init__(self, seed: int) -> None:
        self._root = tempfile.TemporaryDirectory()
        self._rng = random.Random(seed)
        self._disks: dict[Path, SimulatedDisk] = {}
        self._real = (os.write, os.fsync, os.ftruncate, os.replace)
        self.before_call: Callable[[str, str], None] = lambda _kind, _path: None
        names = ("write", "fsync", "ftruncate", "replace")
        fakes = (self._write, self._fsync, self._ftruncate, self._replace)
        self._patches = [
            mock.patch.object(os, name, fake)
            for name, fake in zip(names, fakes, strict=True)
        ]
        for patch in self._patches:
            patch.start()

    def close(self) -> None:
        """Remove the patches and the folders."""
        for patch in self._patches:
            patch.stop()
        self._root.cleanup()

    def disk(self, name: str) -> SimulatedDisk:
        """Return the disk of a node, which is empty at first."""
        folder = Path(self._root.name).resolve() / name
        if folder not in self._disks:
            folder.mkdir()
            self._disks[folder] = SimulatedDisk(folder, self._rng)
        return self._disks[folder]

    def _find(self, path: Path) -> tuple[SimulatedDisk, str] | None:
        if path in self._disks:
            return self._disks[path], ""
        disk = self._disks.get(path.parent)
        return None if disk is None else (disk, path.name)

    def _find_open(self, kind: str, file: int) -> tuple[SimulatedDisk, str] | None:
        found = self._find(Path(os.readlink(f"/proc/self/fd/{file}")))
        if found is not None:
            self.before_call(kind, f"{found[0].folder.name}/{found[1]}")
        return found

    def _write(self, file: int, data: bytes) -> int:
        found = self._find_open("write", file)
        size = os.fstat(file).st_size
        written = self._real[0](file, data)
        if found is not None:
            found[0].record_write(found[1], size, bytes(data[:written]))
        return written

    def _fsync(self, file: int) -> None:
        found = self._find_open("fsync", file)
        if found is None:
            self._real[1](file)
        elif found[1] == "" or (found[0].folder / found[1]).exists():
            found[0].record_sync(found[1])

    def _ftruncate(self, file: int, length: int) -> None:
        found = self._find_open("ftruncate", file)
        self._real[2](file, length)
        if found is not None:
            found[0].record_write(found[1], length, None)

    def _replace(self, source: Path, target: Path) -> None:
        found = self._find(Path(target))
        if found is not None:
            self.before_call("rename", f"{found[0].folder.name}/{found[1]}")
        self._real[3](source, target)
        if found is not None:
            found[0].record_rename(Path(source).name, found[1])


def kill_storage(storage: FileLogStorage) -> None:
    """Close the files of a storage as the kill of its process does."""
    if storage._log_file is not None:
        os.close(storage._log_file)
        storage._log_file = None


class DiskCluster(Cluster):
    """Nodes that keep their files on simulated disks."""

    def __init__(self, disks: SimulatedDisks, count: int = 3) -> None:
        self.disks = disks
        self.refused: dict[str, StorageCorruptError] = {}
        self._files: dict[str, FileLogStorage] = {}
        super().__init__(count)

    def open_storage(self, name: str) -> LogStorage:
        storage = FileLogStorage(self.disks.disk(name).folder)
        self._files[name] = storage
        return storage

    def start(
        self, name: str, *, bootstrap: bool = False, loading: float | None = None
    ) -> None:
        """Start a node; one that refuses its files is recorded and stays down."""
        try:
            super().start(name, bootstrap=bootstrap, loading=loading)
        except StorageCorruptError as error:
            self.refused[name] = error
            self.crash(name)
        except SimulatedCrashError:
            self.crash(name)

    def crash(self, name: str, kept: int = 0) -> None:
        """Kill the process of a node; its files stay as they are."""
        self.nodes.pop(name, None)
        if name in self._files:
            kill_storage(self._files.pop(name))

    def lose_power(self, *names: str, fates: tuple[str, ...] = FATES) -> None:
        """Cut the power of machines at the same moment."""
        for name in names:
            self.crash(name)
        for name in names:
            self.disks.disk(name).lose_power(fates)

    def lose_disk(self, name: str) -> None:
        """Stop a node, with the loss of its files."""
        self.crash(name)
        self.disks.disk(name).wipe()
