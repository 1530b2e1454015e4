"""Constants of the pooler library."""

from typing import Final

# Part of a request's target in which it may wait for a place on a server. One that
# would wait longer is told at once to come back, and finds another proxy's share.
WAIT_SHARE: Final = 0.25
# Part of a read's time that its first attempt gets: a connection that went silent
# shows only by the missing answer, and time must be left for another server.
READ_ATTEMPT_SHARE: Final = 0.4
# Part of its time that a read at the primary gets. A primary that has gone dark shows
# by nothing else, and its caller has another try left at the end.
PRIMARY_READ_SHARE: Final = 0.7
MAX_READ_ATTEMPTS: Final = 4
MAX_WRITE_ATTEMPTS: Final = 4
# Pause before a statement that a full server refused is sent to it again: about one
# statement's time.
BUSY_RETRY_SECONDS: Final = 0.02
# Wait for the answer to an order that costs the server nothing, such as a begin.
SESSION_ORDER_TIMEOUT: Final = 0.3

# Least distance of two marks of freshness, and how long they are kept: above the
# greatest age that an endpoint states.
MARK_SPACING_SECONDS: Final = 0.05
MARK_LIFE_SECONDS: Final = 10.0

# Pause before a server that lacked a position is asked for one again: about the usual
# lag, and longer each time up to a part of the age that reads commonly accept.
BEHIND_LOOK_SECONDS: Final = 0.05
MAX_BEHIND_LOOK_SECONDS: Final = 0.8

# A read prefers its own failure domain until the others are expected to answer so
# much sooner: about one statement's time, as bytes between failure domains cost.
OTHER_DOMAIN_PENALTY: Final = 0.025
# The primary's slots are wanted by writes: a replica may take so much longer.
PRIMARY_PENALTY: Final = 0.008

# A planned change of primary ends within 2 s; a server that leaves stays for 7 s.
LEAVING_GRACE_SECONDS: Final = 4.5

# Connections to one server that this process keeps in use at most, as a part of
# what the server takes. Proxies are many and unevenly used, so the parts add up to
# more than there is; the server's refusal lowers the part for a while.
CONNECTION_SHARE: Final = 0.2
MIN_CONNECTIONS: Final = 2
DEFAULT_CONNECTIONS: Final = 16
CEILING_STEP_SECONDS: Final = 1.0
# Connections to one server that a process may hold at first, and the time until it may
# hold one more: of proxies that start together each has one before any has two.
FIRST_CONNECTIONS: Final = 1
START_STEP_SECONDS: Final = 0.2
# Pause before another connection is asked for where the server has too many and this
# process has none: about two statements' time.
CONNECTION_RETRY_SECONDS: Final = 0.05
# After a power loss of many proxies the servers go on to count their connections for
# some seconds, and what was held then is missing when they are back. One connection
# stays for callers that come now and then; those beyond it go after a few statements'
# times.
IDLE_EXPIRY_SECONDS: Final = 1.0
SURPLUS_EXPIRY_SECONDS: Final = 0.12
# Time between two looks for such connections in pools that nobody uses: short, so that
# bursts leave little behind.
EXPIRY_CHECK_SECONDS: Final = 0.15
CONNECT_TIMEOUT: Final = 0.5
CHECK_TIMEOUT: Final = 0.25
# Idle time after which a connection is asked for a sign of life before its use: it
# may have gone silent meanwhile, and a write that it swallows is in doubt.
CHECK_AFTER_IDLE: Final = 1.0
RESET_TIMEOUT: Final = 0.3
QUEUE_LIMIT: Final = 64

# A write without an answer for so long, while reads have theirs, is reported.
STALL_REPORT_SECONDS: Final = 0.4
REPORT_SECONDS: Final = 0.2
REPORT_CHECK_SECONDS: Final = 0.2
# A control process answers within milliseconds; a lost packet is sent again after
# 0.2 s.
REPORT_TIMEOUT: Final = 0.3
# Pause after an answer that did not come: its wait was a pause already.
REPORT_RETRY_SECONDS: Final = 0.05
# Control processes that are given one report, the one believed to lead included: enough
# to follow a refusal that names the leader.
REPORT_ATTEMPTS: Final = 2
# Time between two questions to control that only the failure of a poll calls for: about
# as long as an election, in which each of thousands of proxies asks once.
IN_QUESTION_SECONDS: Final = 1.0
# Primaries that a process asks when a majority of control is silent: one that cannot be
# reached shows enough, and a large deployment has thousands.
MAX_PRIMARIES_ASKED: Final = 8
# Pause between attempts to reach a server that failed.
RECOVERY_PROBE_SECONDS: Final = 0.25
# Servers that are tried at the same time: a cut failure domain has some of each group.
RECOVERY_THREADS: Final = 4

# From a failure to the first write at the new primary: detection and the platform's
# own second.
NO_PRIMARY_RETRY_MS: Final = 1_000
# While a change of primary is under way.
CHANGING_RETRY_MS: Final = 300
BUSY_RETRY_MS: Final = 50
# Connections of processes that ended are counted for a second and more, and a caller
# has three attempts within a second.
NO_CONNECTION_RETRY_MS: Final = 150
WATCH_WAIT_MS: Final = 1_000
# Time for which a caller waits for the first view, and time from a process's start in
# which callers do so: an election and the way to the view, and short enough that one
# who is refused then can still come back.
FIRST_VIEW_WAIT_SECONDS: Final = 0.5
FIRST_VIEW_DUE_SECONDS: Final = 1.5

OWN_REQUEST: Final = "-"
NO_PROOF: Final = "-"
PREPARED_NAME_BYTES: Final = 6
