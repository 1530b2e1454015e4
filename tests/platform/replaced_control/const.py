"""Bounds of the users' rules, and the times of a day."""

from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parents[3]
ZONES: Final = ("zone-a", "zone-b", "zone-c")

# Bounds of the users' pages, in seconds.
CONFIG_APPLY_SECONDS: Final = 3.0
ROLLBACK_SLACK_SECONDS: Final = 0.25
STABLE_SECONDS: Final = 4.0
UNSTABLE_APPLY_SECONDS: Final = 15.0

# Last part of the address of the first proxy; those of control processes are lower.
EDGE_HOSTS_FROM: Final = 50
CALL_SECONDS: Final = 1.0
REDIRECTS: Final = 2
RETRY_SECONDS: Final = 0.05
ANSWER_SECONDS: Final = 2.0
FORMING_SECONDS: Final = 40.0
EVENTUALLY_SECONDS: Final = 60.0
REPLACEMENT_SECONDS: Final = 2.0
# For how long the operator's list of control processes lags behind.
LIST_LAG_SECONDS: Final = 3.0
RESTART_SECONDS: Final = (0.5, 0.7)
EDGE_RESTART_SECONDS: Final = (0.3, 1.0)
EDGE_PAUSE_SECONDS: Final = 3.5
EDGE_PAUSE_GAP_SECONDS: Final = (1.0, 6.0)
# Time from the last replacement of a control process until the proxy that was stopped
# throughout goes on.
PAUSED_AFTER_SECONDS: Final = 6.0
EDGE_RESTART_GAP_SECONDS: Final = (1.0, 6.0)
CORE_RESTART_GAP_SECONDS: Final = (6.0, 14.0)
GRACE_SECONDS: Final = 6.0
FINAL_CHANGE_SECONDS: Final = (0.005, 0.4)
CHANGE_GAP_SECONDS: Final = (0.5, 1.5)
BURST_GAP_SECONDS: Final = 0.33
BURST_CHANGES: Final = 8
ORDERS_AT_ONCE: Final = 8
LATER_OF_PAIR_SECONDS: Final = 0.5
MANY_ROUTES: Final = (20, 350)
BEFORE_LOSS_SECONDS: Final = (0.5, 3.0)
# What the address of a lost machine does with connections: refuses them, resets them,
# accepts them without an answer, or leaves their setup unanswered; its process may also
# be stopped, without (frozen) or with (dark) a full backlog.
WAYS: Final = ("refuses", "resets", "accepts", "unanswered", "frozen", "dark")
MAX_BACKLOG: Final = 5_000
FULL_SECONDS: Final = 0.1
PROBE_GAP_SECONDS: Final = 0.03
USE_GAP_SECONDS: Final = 0.05
READ_GAP_SECONDS: Final = 0.3
HEARTBEAT_SECONDS: Final = 0.6
BACKEND_SERVERS: Final = 3
WATCHED_AFTER_RESTART_SECONDS: Final = 14.0
LAST_CHANGE_AFTER_SECONDS: Final = 8.0
# Which share of the changes also removes a database, and brings one back.
REMOVAL_SHARE: Final = 0.35
RETURN_SHARE: Final = 0.25
# Which share of the orders loses its first answer, is an old one, or is invalid.
LOST_ANSWER_SHARE: Final = 0.15
OLD_ORDER_SHARE: Final = 0.1
INVALID_SHARE: Final = 0.05
FIRST_VERSION: Final = 6
# Databases that are in every version.
KEPT_DATABASES: Final = ("kept0", "kept1", "kept2", "kept3")
TIMEOUTS_MS: Final = (800, 1200, 2000)
RECENT_DATABASES: Final = 60
# Which share of the sessions whose database is gone is kept open.
KEPT_REFUSED_SHARE: Final = 0.9
# Callers who ask for hardly anything that is denied: threads for those of one proxy,
# the time between two operations, between a begin and the first statement, between the
# first statement and the next, and how long a session is used.
QUIET_WORKERS: Final = 4
QUIET_GAP_SECONDS: Final = (0.2, 1.5)
MIN_PAUSE_SECONDS: Final = 0.2
STATEMENT_GAP_SECONDS: Final = (0.01, 0.1)
QUIET_SESSION_SECONDS: Final = (5.0, 40.0)
QUIET_RETRY_SECONDS: Final = 0.2
QUIET_TICK_SECONDS: Final = 0.1
# Which share of their sessions names databases that are in every version.
QUIET_STABLE_SHARE: Final = 0.1
# Time since the acknowledgement after which callers connect to a new database.
SETTLED_SECONDS: Final = 4.0
LOAD_RETRY_SECONDS: Final = 0.2
