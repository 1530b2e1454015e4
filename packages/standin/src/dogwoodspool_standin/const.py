"""Constants of the stand-in."""

from typing import Final

PROGRAM: Final = "dogwoodspool-standin"
REPLICATION_USER: Final = "standin_replication"

ATTR_FAILURE_DOMAIN: Final = "failure_domain"
ATTR_PROGRAM_NAME: Final = "program_name"

PATH_FAULTS: Final = "/v1/faults"
PATH_DIAGNOSTICS: Final = "/v1/diagnostics"

FILE_DATA: Final = "data.sqlite"
FILE_STATE: Final = "state.sqlite"

DEFAULT_LISTEN: Final = "127.0.0.1:0"
DEFAULT_ANNOUNCE_INTERVAL_MS: Final = 500
DEFAULT_SLOTS: Final = 3
DEFAULT_CONNECTIONS: Final = 20
DEFAULT_CONNECT_DELAY_MS: Final = 10
DEFAULT_STATEMENT_MS: Final = 1
DEFAULT_LOCK_WAIT_MS: Final = 5_000
DEFAULT_USER: Final = "dogwoodspool"

# Connections of replicas, which do not count against the limit for callers.
MAX_REPLICATION_CONNECTIONS: Final = 16
FIRST_TERM: Final = 1

HANDSHAKE_TIMEOUT: Final = 5.0
SLOT_WAIT_TIMEOUT: Final = 30.0
STOP_TIMEOUT: Final = 5.0
SQLITE_BUSY_TIMEOUT: Final = 5.0
FOLDER_LOCK_TIMEOUT: Final = 0.5
HTTP_THREADS: Final = 4
ANNOUNCE_TIMEOUT: Final = 1.0
ROWS_PER_CHUNK: Final = 500

REPLICATION_TIMEOUT: Final = 2.0
REPLICATION_POLL_MS: Final = 50
REPLICATION_BATCH: Final = 200
REPLICATION_MAX_PENDING: Final = 10_000
REPLICATION_FIRST_BACKOFF: Final = 0.05
REPLICATION_LAST_BACKOFF: Final = 1.0
# Fraction of the primary's reported waiting time that is taken as elapsed on this
# server too. It is below one because the clocks of two machines may run at different
# rates.
REPLICATION_CLOCK_MARGIN: Final = 0.95

MAX_WAIT_MS: Final = 60_000
MAX_LOG_LIMIT: Final = 1_000
EXIT_KILLED: Final = 137

STATUS_COLUMNS: Final = (
    "server",
    "role",
    "term",
    "offset",
    "lag_ms",
    "slots",
    "connections",
    "leaving",
)
LOG_COLUMNS: Final = (
    "source_term",
    "last_offset",
    "is_match",
    "waited_ms",
    "failure_domain",
    "entry_offset",
    "entry_term",
    "statements",
)

# Number of recent statements in the diagnostics, so that a test can name a statement
# that ran unexpectedly.
RECENT_STATEMENTS: Final = 16
