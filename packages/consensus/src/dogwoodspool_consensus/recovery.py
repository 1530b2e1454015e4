"""Bring what a storage held into one consistent beginning."""

from collections.abc import Mapping

from dogwoodspool_common import Address, log_event

from .configurations import ConfigurationAt, ConfigurationHistory
from .errors import StorageCorruptError
from .log import ReplicatedLog
from .models import Configuration, Identity, LogBase, StoredState
from .storage import LogStorage


def recover_identity(
    storage: LogStorage,
    stored: StoredState,
    node_id: str,
    voters: Mapping[str, Address] | None,
) -> Identity:
    """Return the stored identity, or make one for an empty storage.

    An empty folder gives no right to vote by itself: its owner may be a voter
    whose disk was lost, and its vote or answer could undo what it had promised
    before. Only ``voters``, given at bootstrap, lets it begin as a voter, once
    in the life of a cluster.

    Raises:
        StorageCorruptError: the storage belongs to another node.
    """
    identity = stored.identity
    if identity is None:
        identity = storage.create_identity(node_id, voters)
        log_event(
            "identity_created",
            node=node_id,
            incarnation=identity.incarnation,
            bootstrap=voters is not None,
        )
    if identity.node_id != node_id:
        owner = identity.node_id
        raise StorageCorruptError(f"the folder belongs to {owner}, not to {node_id}")
    return identity


def recover_log(storage: LogStorage, stored: StoredState) -> ReplicatedLog:
    """Return the log that follows the stored snapshot.

    Raises:
        StorageCorruptError: entries between snapshot and log are missing.
    """
    log = ReplicatedLog(storage, stored.base, stored.entries)
    snapshot = stored.snapshot
    if snapshot is None:
        if stored.base.index:
            raise StorageCorruptError("the log begins behind a missing snapshot")
        return log
    if stored.base.index > snapshot.index:
        raise StorageCorruptError("the log begins behind the snapshot")
    # A crash between saving a snapshot that the leader sent and replacing the
    # log leaves entries that need not follow the snapshot.
    if log.term_at(snapshot.index) != snapshot.term:
        log.install(LogBase(snapshot.index, snapshot.term))
    return log


def recover_configurations(
    identity: Identity, stored: StoredState, log: ReplicatedLog
) -> ConfigurationHistory:
    """Return the configurations of the snapshot and of the log behind it."""
    snapshot = stored.snapshot
    if snapshot is not None:
        base = ConfigurationAt(snapshot.index, snapshot.configuration)
    else:
        base = ConfigurationAt(0, Configuration.of(identity.initial_voters or {}))
    later = [entry for entry in log.all_entries() if entry.index > base.index]
    return ConfigurationHistory(base, later)
