"""Constants of the backend library."""

from typing import Final

PROGRAM_NAME: Final = "dogwoodspool-proxy"
CHARSET: Final = "utf8mb4"

ATTR_FAILURE_DOMAIN: Final = "failure_domain"

BINARY_CHARSET_ID: Final = 63
READ_BUFFER_BYTES: Final = 64 * 1024

# Numbers that a server answers to a connection attempt for want of connections.
ER_CON_COUNT: Final = 1040
ER_TOO_MANY_USER_CONNECTIONS: Final = 1203
ER_USER_LIMIT_REACHED: Final = 1226
CONNECTION_LIMIT_NUMBERS: Final = frozenset(
    {ER_CON_COUNT, ER_TOO_MANY_USER_CONNECTIONS, ER_USER_LIMIT_REACHED}
)

# Numbers after which the server closes the connection that it answered on:
# forced close, shutdown, broken network, killed, and idle for too long.
CONNECTION_LOST_NUMBERS: Final = frozenset(
    {1053, 1080, 1152, 1158, 1159, 1160, 1161, 1184, 1927, 3169, 4031}
)

# Numbers that the client library gives itself; no server answers them.
FIRST_CLIENT_NUMBER: Final = 2000
LAST_CLIENT_NUMBER: Final = 2999

ER_INVALID_CHARACTER_STRING: Final = 1300
SQLSTATE_GENERAL: Final = "HY000"

COM_RESET_CONNECTION: Final = 0x1F
SQL_ROLLBACK: Final = "ROLLBACK"
SQL_SET_NAMES: Final = f"SET NAMES {CHARSET}"

# Rows that closing an unread answer reads to save the connection.
MAX_DRAINED_ROWS: Final = 256

QUIT_TIMEOUT: Final = 0.05
