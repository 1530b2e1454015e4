"""Constants of the settings library."""

from enum import IntEnum
from typing import Final

ROOT_PATH: Final = "/"
PATH_SEPARATOR: Final = "/"
FROM_DEFAULT: Final = "default"

CONF_STATEMENTS: Final = "statements"
CONF_TOKEN_KEY: Final = "token_key"
CONF_BACKEND_PASSWORD: Final = "backend_password"
CONF_USERS: Final = "users"
CONF_ACCOUNTS: Final = "accounts"
CONF_WRITE_ACK: Final = "write_ack"

SECRET_KEYS: Final = frozenset({CONF_TOKEN_KEY, CONF_BACKEND_PASSWORD})

# A proxy renews its grants of all groups in one request, and the number of proxies is
# limited for the system as a whole, so these cannot differ per group. Limits of client
# accounts count the operations on all groups.
ROOT_ONLY_KEYS: Final = frozenset(
    {"lease_ms", "renew_interval_ms", "clock_drift", "max_proxies", CONF_ACCOUNTS}
)
# Sessions move between failure domains, promotions involve all of them, and the shares
# of a backend server's connections are summed over them, so all proxies of a group
# must use the same values.
NOT_PER_FAILURE_DOMAIN_KEYS: Final = frozenset(
    {
        CONF_TOKEN_KEY,
        CONF_WRITE_ACK,
        CONF_STATEMENTS,
        "server_connections",
        "base_connections",
        "reserved_connections",
        "failure_detect_ms",
        "down_detect_ms",
        "release_drain_ms",
        "request_retention_s",
    }
)

RETAINED_CHANGE_IDS: Final = 4_096
RETAINED_HISTORY: Final = 2_000
MAX_REPORTED_PROBLEMS: Final = 20
SNAPSHOT_FORMAT: Final = 1
MIN_TOKEN_KEY_BYTES: Final = 32
MAX_SERVER_CONNECTIONS: Final = 100_000
MIN_TRANSACTION_IDLE_MS: Final = 100
MAX_TRANSACTION_IDLE_MS: Final = 86_400_000


class Level(IntEnum):
    """Depth of a node in the tree, equal to the number of names in its path."""

    ROOT = 0
    SERVICE = 1
    GROUP = 2
    FAILURE_DOMAIN = 3
