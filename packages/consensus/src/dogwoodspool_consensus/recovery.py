"""Recovery of a consistent state from the storage at start."""

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
    """Return the stored identity, or create one for an empty storage.

    A node with an empty folder may not vote: it may be a voter that lost its disk,
    and its vote or response could contradict the votes and acknowledgements that it
    gave before. Only ``voters``, given at bootstrap, lets it start as a voter, once in
    the lifetime of a cluster.

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
        raise StorageCorruptError(f"data folder belongs to {owner}, not to {node_id}")
    return identity


def recover_log(storage: LogStorage, stored: StoredState) -> ReplicatedLog:
    """Return the log after the stored snapshot.

    Raises:
        StorageCorruptError: entries between snapshot and log are missing.
    """
    log = ReplicatedLog(storage, stored.base, stored.entries)
    snapshot = stored.snapshot
    if snapshot is None:
        if stored.base.index:
            raise StorageCorruptError(
                f"log begins after entry {stored.base.index}, but there is no snapshot"
            )
        return log
    if stored.base.index > snapshot.index:
        raise StorageCorruptError(
            f"log begins after entry {stored.base.index}, but the snapshot ends at "
            f"{snapshot.index}"
        )
    # After a crash between saving a snapshot from the leader and replacing the log,
    # the entries of the log do not necessarily follow the snapshot.
    if log.term_at(snapshot.index) != snapshot.term:
        log.install(LogBase(snapshot.index, snapshot.term))
    return log


def recover_configurations(
    identity: Identity, stored: StoredState, log: ReplicatedLog
) -> ConfigurationHistory:
    """Return the configurations in the snapshot and in the log after it."""
    snapshot = stored.snapshot
    if snapshot is not None:
        base = ConfigurationAt(snapshot.index, snapshot.configuration)
    else:
        base = ConfigurationAt(0, Configuration.of(identity.initial_voters or {}))
    later = [entry for entry in log.all_entries() if entry.index > base.index]
    return ConfigurationHistory(base, later)
