"""Constants of the consensus library."""

from typing import Final

PATH_VOTE: Final = "/raft/vote"
PATH_APPEND: Final = "/raft/append"
PATH_SNAPSHOT: Final = "/raft/snapshot"
PATH_READ: Final = "/raft/read"

CODE_TARGET_MISMATCH: Final = "target_mismatch"
CODE_SOURCE_REFUSED: Final = "source_refused"
CODE_NOT_CONFIRMED: Final = "not_confirmed"
CODE_STORAGE_FAILED: Final = "storage_failed"

FILE_IDENTITY: Final = "identity"
FILE_VOTE: Final = "vote"
FILE_LOG: Final = "log"
FILE_SNAPSHOT: Final = "snapshot"
FILE_PROBE: Final = "probe"
# A few blocks: enough that a full disk refuses them.
PROBE_BYTES: Final = 64 * 1024
TEMPORARY_SUFFIX: Final = ".tmp"

SHORTEST_TICK_SECONDS: Final = 0.001

LEADER: Final = "leader"
"""Key of the leader's name in the first entry of its term."""

UNPINNED: Final = ""
"""Incarnation of a member that the configuration has not pinned yet."""

ENTRY_OVERHEAD_BYTES: Final = 96
"""Room that one entry's index, term and kind take in a message."""

DEFAULT_ELECTION_TIMEOUT_MIN: Final = 0.6
DEFAULT_ELECTION_TIMEOUT_MAX: Final = 1.2
DEFAULT_HEARTBEAT_INTERVAL: Final = 0.1
# Heartbeats of voters for each one of a learner, which still hears the leader within
# the shortest election timeout.
LEARNER_HEARTBEATS: Final = 3
DEFAULT_CLOCK_DRIFT: Final = 0.02
DEFAULT_LEASE_FRACTION: Final = 0.9
DEFAULT_RPC_TIMEOUT: Final = 0.5
DEFAULT_SNAPSHOT_EVERY: Final = 1024
DEFAULT_LOG_KEPT: Final = 128
DEFAULT_MAX_BATCH: Final = 256
DEFAULT_MAX_BATCH_BYTES: Final = 1024 * 1024
DEFAULT_MAX_COMMAND_BYTES: Final = 1024 * 1024
DEFAULT_SNAPSHOT_CHUNK_BYTES: Final = 512 * 1024
DEFAULT_MAX_SNAPSHOT_BYTES: Final = 64 * 1024 * 1024
DEFAULT_MAX_PENDING: Final = 4096
