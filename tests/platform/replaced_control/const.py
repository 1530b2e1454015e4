"""Bounds of the users' rules, and the times of a day."""

from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parents[3]
ZONES: Final = ("zone-a", "zone-b", "zone-c")

# Bounds of the users' pages, in seconds.
CONFIG_APPLY_SECONDS: Final = 3.0
ROLLBACK_SLACK_SECONDS: Final = 0.25
STABLE_SECONDS: Final = 4.0

CALL_SECONDS: Final = 1.0
REDIRECTS: Final = 2
RETRY_SECONDS: Final = 0.05
ANSWER_SECONDS: Final = 2.0
FORMING_SECONDS: Final = 40.0
EVENTUALLY_SECONDS: Final = 60.0
REPLACEMENT_SECONDS: Final = 2.0
RESTART_SECONDS: Final = 0.6
FINAL_CHANGE_SECONDS: Final = (0.0, 0.4)
CHANGE_GAP_SECONDS: Final = (0.2, 2.5)
BEFORE_LOSS_SECONDS: Final = (0.5, 3.0)
# What the address of a lost machine does with connections: refuses them, accepts them
# without an answer, or leaves their setup unanswered; its process may also be stopped,
# without (frozen) or with (dark) a full backlog.
WAYS: Final = ("refuses", "accepts", "unanswered", "frozen", "dark")
MAX_BACKLOG: Final = 5_000
FULL_SECONDS: Final = 0.1
PROBE_GAP_SECONDS: Final = 0.02
READ_GAP_SECONDS: Final = 0.2
WATCHED_AFTER_RESTART_SECONDS: Final = 14.0
LAST_CHANGE_AFTER_SECONDS: Final = 8.0
# Which share of the changes also removes a database.
REMOVAL_SHARE: Final = 0.35
FIRST_VERSION: Final = 6
