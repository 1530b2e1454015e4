"""Constants of the following library."""

from typing import Final

# Short, since a poll to a cut-off process waits in vain for so long.
DEFAULT_WATCH_WAIT_MS: Final = 2_000
# Time beyond the wait in which a control process must answer a poll.
WATCH_TIMEOUT_MARGIN: Final = 2.0
RETRY_PAUSE_SECONDS: Final = 0.1
# How far an idle transaction may outlast its limit, which is 10 s by default.
REAP_INTERVAL_SECONDS: Final = 0.25
# Good polls of another control process before the preferred one is tried again:
# some seconds, so that one that keeps failing costs a small part of the polls.
POLLS_BEFORE_RETURN: Final = 5
