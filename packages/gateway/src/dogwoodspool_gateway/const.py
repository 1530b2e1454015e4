"""Constants of the gateway."""

from typing import Final

ATTR_SESSION: Final = "session"
ATTR_REQUEST_ID: Final = "request_id"
ATTR_IDEMPOTENT: Final = "idempotent"
ATTR_MAX_AGE_MS: Final = "max_age_ms"
ATTR_DEADLINE_MS: Final = "deadline_ms"
ATTR_TRACEPARENT: Final = "traceparent"

VARIABLE_SESSION: Final = "dogwoodspool_session"

MAX_REQUEST_ID_LENGTH: Final = 64
MAX_PACKET_BYTES: Final = 16 * 1024 * 1024
MAX_PREPARED_STATEMENTS: Final = 1_024
CLASSIFY_CACHE_SIZE: Final = 4_096
ROWS_PER_BATCH: Final = 512

# Size of the TLS request packet (36 bytes); see ``CallerStream``.
TLS_REQUEST_BYTES: Final = 36
HANDSHAKE_READ_LIMIT: Final = TLS_REQUEST_BYTES // 2 - 1
COMMAND_READ_LIMIT: Final = 64 * 1024
COMMAND_RECEIVE_BYTES: Final = 256 * 1024

CALLER_STALL_SECONDS: Final = 30.0

DEFAULT_WORKERS: Final = 128
DEFAULT_MAX_CALLERS: Final = 4_096
BUSY_RETRY_AFTER_MS: Final = 50
SHUTDOWN_RETRY_AFTER_MS: Final = 0

# MySQL error numbers with their SQLSTATE.
ER_NO_DATABASE: Final = (1046, "3D000")
ER_SHUTDOWN: Final = (1053, "08S01")
ER_PARSE: Final = (1064, "42000")
ER_NET_PACKET_TOO_LARGE: Final = (1153, "08S01")
ER_UNKNOWN_VARIABLE: Final = (1193, "HY000")
ER_TOO_MANY_USER_CONNECTIONS: Final = (1203, "42000")
ER_WRONG_ARGUMENTS: Final = (1210, "HY000")
ER_NOT_SUPPORTED: Final = (1235, "42000")
ER_OPTION_PREVENTS_STATEMENT: Final = (1290, "HY000")
CR_SERVER_LOST: Final = (2013, "HY000")
