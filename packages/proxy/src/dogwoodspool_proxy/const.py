"""Constants of the proxy program."""

from typing import Final

PROGRAM: Final = "dogwoodspool-proxy"

RENEW_TIMEOUT_SECONDS: Final = 0.5
RETRY_PAUSE_SECONDS: Final = 0.1

NO_PRIMARY_RETRY_AFTER_MS: Final = 250
NO_GRANT_RETRY_AFTER_MS: Final = 300
NEWER_SESSION_RETRY_AFTER_MS: Final = 100
CONNECT_RETRY_AFTER_MS: Final = 100

MAX_READ_ATTEMPTS: Final = 4
# Fraction of a read's remaining time that its first attempt may use.
READ_ATTEMPT_FRACTION: Final = 0.75
RESULT_STALL_SECONDS: Final = 10.0
RESULT_STALL_ROWS: Final = 256
ACK_WAIT_SLICE_SECONDS: Final = 0.05
ACK_IDLE_SECONDS: Final = 1.0
STATUS_TIMEOUT_SECONDS: Final = 1.0

ER_READ_ONLY: Final = frozenset({1290, 1836, 1792})
ER_TRANSACTION_ROLLED_BACK: Final = (1213, "40001")
ER_SESSION_REFUSED: Final = (1044, "42000")

MAX_WRITE_RESULT_ROWS: Final = 10_000
SERVER_VERSION: Final = "8.0.36-dogwoodspool"

PRUNE_FIRST_SECONDS: Final = 60.0
PRUNE_INTERVAL_SECONDS: Final = 600.0
PRUNE_TIMEOUT_SECONDS: Final = 5.0

FAILING_PROBE_SECONDS: Final = 0.1
FAILING_RENEW_SECONDS: Final = 0.1

# Transactions may hold every connection for a long time. If the connection share can
# grow, it does so within this time; a caller that would wait longer is refused with a
# retry time.
MAX_CONNECTION_WAIT_SECONDS: Final = 0.7
REPLICA_PROBE_FACTOR: Final = 4
SHARE_EXPIRY_MARGIN_SECONDS: Final = RENEW_TIMEOUT_SECONDS + RETRY_PAUSE_SECONDS
