"""Constants of the operators' command line."""

from enum import IntEnum
from typing import Final

DEFAULT_AUTHOR: Final = "operator"
DEFAULT_TIMEOUT_S: Final = 30.0
RETRY_DELAY: Final = 0.2
ROLLOUT_POLL_INTERVAL: Final = 0.2

VOTER_CHANGE_TIMEOUT: Final = 15.0
HISTORY_LIMIT: Final = 500
QUERY_LIMIT: Final = "limit"

STATUS_NOT_LEADER: Final = 421
ATTR_IS_LEADER: Final = "is_leader"
ATTR_LEADER: Final = "leader"
STATUS_TOO_MANY_REQUESTS: Final = 429
STATUS_CONFLICT: Final = 409
FIRST_SERVER_ERROR: Final = 500

CHANGE_ID_LENGTH: Final = 40

# Values of these keys are taken as strings and not parsed as YAML: a hash that
# consists of digits alone would become a number.
TEXT_KEYS: Final = frozenset(
    {"token_key", "backend_user", "backend_password", "write_ack"}
)
SECTION_KEYS: Final = frozenset({"users", "statements"})


class ExitCode(IntEnum):
    """Exit codes of the program; docopt itself exits with 1 on bad usage."""

    DONE = 0
    BAD_USAGE = 1
    BAD_SETTINGS = 2
    CONTROL_UNREACHABLE = 3
    CONFLICT = 4
    REJECTED = 5
    NOT_IN_FORCE = 6
    DECLINED = 7
