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
# Several file system blocks, so that the write fails on a full disk.
PROBE_BYTES: Final = 64 * 1024
TEMPORARY_SUFFIX: Final = ".tmp"

MIN_TICK_SECONDS: Final = 0.001

NOOP_LEADER_KEY: Final = "leader"
"""Key of the leader's node id in the no-op entry that begins its term."""

UNPINNED: Final = ""
"""Incarnation of a member whose incarnation is not pinned by the configuration yet."""

CONFIRMED_DIGITS: Final = 3
"""Decimal digits of the seconds in a confirmation, which every heartbeat carries."""

ENTRY_OVERHEAD_BYTES: Final = 96
"""Bytes that an entry's index, term and kind take in a message."""

DEFAULT_ELECTION_TIMEOUT_MIN: Final = 0.6
DEFAULT_ELECTION_TIMEOUT_MAX: Final = 1.2
DEFAULT_HEARTBEAT_INTERVAL: Final = 0.1
# A learner gets one heartbeat in the time in which a voter gets this many. It still
# hears from the leader within the minimum election timeout.
LEARNER_HEARTBEAT_FACTOR: Final = 3
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
