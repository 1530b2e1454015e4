"""Constants of load and experiments."""

from typing import Final

PROGRAM: Final = "load"

FILE_HISTORY: Final = "history.jsonl"
FILE_RESULTS: Final = "results.json"
FILE_HDR: Final = "latencies-{kind}.hdr"
FILE_PLOT: Final = "latency.png"

# A caller moves on to a new room after this number of writes, so that the answer
# to a read of a room stays small regardless of the length of a run.
WRITES_PER_ROOM: Final = 12

DEFAULT_SECONDS: Final = 10.0
DEFAULT_RATE: Final = 100.0
DEFAULT_CALLERS: Final = 24
DEFAULT_SEED: Final = 1
DEFAULT_STATEMENT_MS: Final = 2.0
DEFAULT_LAG_MS: Final = 20

ROAM_PROBABILITY: Final = 0.1
ROLLBACK_PROBABILITY: Final = 0.2
MAX_ATTEMPTS: Final = 4
RETRY_PAUSE_SECONDS: Final = 0.05
CONNECT_TIMEOUT_SECONDS: Final = 3
ANSWER_TIMEOUT_SECONDS: Final = 6
FINAL_READ_TIMEOUT_SECONDS: Final = 20.0
STALE_READ_MS: Final = 2_000

# Error number that a proxy sends to its callers, see docs/ARCHITECTURE.md.
ER_SESSION_REFUSED: Final = 1044

MIN_LATENCY_US: Final = 1
MAX_LATENCY_US: Final = 120_000_000
SIGNIFICANT_DIGITS: Final = 3
MICROSECONDS: Final = 1_000_000
PERCENTILE_MEDIAN: Final = 50.0
PERCENTILE_TAIL: Final = 99.0
PERCENTILE_EXTREME_TAIL: Final = 99.9

SHARED_MACHINE_NOTE: Final = (
    "one machine with all processes on loopback, shared with other test runs"
)

SLOPE_DOMAINS: Final = ("fd-a", "fd-b", "fd-c")
SLOPE_SERVERS_PER_GROUP: Final = 3
SLOPE_SETTLE_SECONDS: Final = 4.0
SLOPE_WINDOW_SECONDS: Final = 8.0
