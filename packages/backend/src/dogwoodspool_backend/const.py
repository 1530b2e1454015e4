"""Constants of the backend library."""

from typing import Final

PROGRAM_NAME: Final = "dogwoodspool-proxy"
CHARSET: Final = "utf8mb4"

ATTR_FAILURE_DOMAIN: Final = "failure_domain"
ATTR_ACCOUNT: Final = "client_account"

BINARY_CHARSET_ID: Final = 63
READ_BUFFER_BYTES: Final = 64 * 1024

# Errors with which a server refuses a connection because a connection limit is
# reached.
ER_CON_COUNT: Final = 1040
ER_TOO_MANY_USER_CONNECTIONS: Final = 1203
ER_USER_LIMIT_REACHED: Final = 1226
CONNECTION_LIMIT_ERRORS: Final = frozenset(
    {ER_CON_COUNT, ER_TOO_MANY_USER_CONNECTIONS, ER_USER_LIMIT_REACHED}
)

# Errors after which the server closes the connection: forced close, shutdown,
# network failure, killed connection and idle timeout.
CONNECTION_LOST_ERRORS: Final = frozenset(
    {1053, 1080, 1152, 1158, 1159, 1160, 1161, 1184, 1927, 3169, 4031}
)

# Range of the errors raised by the client library; servers do not send them.
CR_MIN_ERROR: Final = 2000
CR_MAX_ERROR: Final = 2999

ER_INVALID_CHARACTER_STRING: Final = 1300
SQLSTATE_GENERAL: Final = "HY000"

COM_RESET_CONNECTION: Final = 0x1F
SQL_ROLLBACK: Final = "ROLLBACK"
SQL_SET_NAMES: Final = f"SET NAMES {CHARSET}"

# Rows read at most from an unread answer on close, so that the connection can be
# used again.
MAX_DRAINED_ROWS: Final = 256

QUIT_TIMEOUT: Final = 0.05
