"""Constants of the control library and program."""

from typing import Final

TICK_SECONDS: Final = 0.05
# A longer gap between two ticks, counted in ticks, means that the process was paused.
MAX_TICK_GAP: Final = 3
FRESH_RENEW_INTERVALS: Final = 2
MIN_OBSERVERS: Final = 2

PROPOSE_TIMEOUT: Final = 2.0
CONFIRM_TIMEOUT: Final = 2.0
# A starting proxy cannot serve callers until it has a view. Failing early lets it
# poll another control process, as this one may be cut off or have lost its disk.
WATCH_CONFIRM_TIMEOUT: Final = 0.4
READINESS_SECONDS: Final = 1.0

RELEASE_TIMEOUT: Final = 0.5
RELEASE_RETRY_SECONDS: Final = 0.2
REMOVED_PROXIES: Final = "(removed proxies)"
CHOICE_GRACE_SECONDS: Final = 0.1
STATUS_POLL_SECONDS: Final = 0.02
OUTCOME_RETRY_SECONDS: Final = 0.1
WAITING_LOG_SECONDS: Final = 1.0
CATCH_UP_SECONDS: Final = 3.0
PROMOTE_ATTEMPT_SECONDS: Final = 3.0
PROMOTE_RETRY_SECONDS: Final = 0.1
PROMOTE_WAIT_SECONDS: Final = 15.0
MAX_PLANNED_LAG_MS: Final = 2_000.0
MAX_FAILOVERS_KEPT: Final = 32

FOLLOW_RETRY_SECONDS: Final = 1.0

MAX_REPLACED_INCARNATIONS: Final = 16
MAX_CHANGE_IDS: Final = 256

OUTDATED_RECORD_SECONDS: Final = 1.0
SERVER_REMOVAL_SECONDS: Final = 30.0
SERVER_SILENT_SECONDS: Final = 2.0
MAX_SERVERS: Final = 1_024
# Ended backend servers that are kept: days of replacements in a small system.
MAX_ENDED_SERVERS: Final = 1_024

# Changes of the state that a proxy may lag behind and still get a delta: minutes at a
# few changes per second.
MAX_VIEW_CHANGES: Final = 1_024

MAX_WATCH_MS: Final = 20_000
# Retries of polls that found no free slot are spaced by this time: at some 1.5 ms of
# processor time each, they leave most of a core to other work.
POLL_RETRY_SPACING_SECONDS: Final = 0.01
# Longest delay of such a retry; part of the seconds within which a change has to be in
# force at every proxy.
MAX_POLL_RETRY_SECONDS: Final = 2.0
# Shortest delay, so that a few such polls are not repeated as soon as answered.
MIN_POLL_RETRY_SECONDS: Final = 0.1
MAX_WATCHERS: Final = 24
# Confirmed reads that do not wait for a change, at a time.
MAX_CONFIRMED_READS: Final = 4
# Part of the greatest age that a read accepts, after which one read renews the
# confirmation. The others have the last one meanwhile and need no slot.
CONFIRMATION_RENEWAL_FRACTION: Final = 0.5
# Time after which a proxy may repeat such a read that found no free slot.
CONFIRMED_READ_RETRY_SECONDS: Final = 1.0
HTTP_THREADS: Final = 64
MAX_RENEW_ITEMS: Final = 512
MAX_RENEWALS_PER_SECOND: Final = 20
RENEWAL_BURST: Final = 40
MAX_HISTORY: Final = 500
DEFAULT_HISTORY: Final = 50
MAX_PENDING_COMMANDS: Final = 256
ACCEPTED_PAUSE_SECONDS: Final = 0.2
REJECTED_PAUSE_SECONDS: Final = 10.0
AUDIT_SECONDS: Final = 1.0

CODE_CONFLICT: Final = "conflict"
CODE_FULL: Final = "too_many_proxies"
CODE_INVALID: Final = "invalid"
CODE_OUTCOME_UNKNOWN: Final = "outcome_unknown"
CODE_TOO_MANY: Final = "too_many_requests"

QUERY_WAIT: Final = "wait"
QUERY_LIMIT: Final = "limit"
VOTER_CHANGE_TIMEOUT: Final = 10.0

PROGRAM_NAME: Final = "dogwoodspool-control"
WORKER_THREADS: Final = 48
MAX_RATE_LIMITED_PROXIES: Final = 256
ROLE_STATEMENT_TIMEOUT: Final = 2.0

# Pause before another attempt to replace a primary that leaves.
DEPARTURE_RETRY_SECONDS: Final = 5.0
