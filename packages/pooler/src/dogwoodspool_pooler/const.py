"""Constants of the pooler library."""

from typing import Final

from dogwoodspool_accounts import TOKEN_AGE_SECONDS

# Part of a request's target latency that it may spend waiting for admission to a
# server. One that would wait longer is refused at once with a retry time, so that its
# caller can use the share of another proxy.
WAIT_SHARE: Final = 0.25
# Seconds between the arrival of an operation and its first statement above which its
# token is exchanged for another one.
MAX_TOKEN_AGE: Final = TOKEN_AGE_SECONDS
# Part of a read's remaining time that its first attempt gets: a broken connection is
# detected only by the missing answer, and time must be left to try another server.
READ_ATTEMPT_SHARE: Final = 0.4
# Part of its remaining time that a read at the primary gets. A primary that stopped
# answering is detected only by this timeout, and its caller needs time for a retry.
PRIMARY_READ_SHARE: Final = 0.7
MAX_READ_ATTEMPTS: Final = 4
MAX_WRITE_ATTEMPTS: Final = 4
# Pause before a statement that a full server refused is sent to it again: about the
# duration of one statement.
BUSY_RETRY_SECONDS: Final = 0.02
# Time limit for the reply to a statement that costs the server next to nothing, such
# as a begin or a rollback.
INTERNAL_STATEMENT_TIMEOUT: Final = 0.3

# Least time between two freshness marks, and the time for which they are kept, which
# is longer than the greatest data age that any endpoint accepts.
FRESHNESS_MARK_SPACING_SECONDS: Final = 0.05
FRESHNESS_MARK_RETENTION_SECONDS: Final = 10.0

# Pause before a server that lacked a position is tried again: at first about the usual
# replication lag, then doubled each time up to a part of the data age that reads
# commonly accept.
LAG_RECHECK_SECONDS: Final = 0.05
MAX_LAG_RECHECK_SECONDS: Final = 0.8

# A read stays in its own failure domain until another one is expected to answer this
# many seconds sooner: about the duration of one statement, because traffic between
# failure domains is charged.
OTHER_DOMAIN_PENALTY: Final = 0.025
# A replica is preferred to the primary until it is expected to take this many seconds
# longer, because only the primary's slots can run writes.
PRIMARY_PENALTY: Final = 0.008
# Utilisation of the primary above which a read is sent to a replica in another failure
# domain rather than to the primary in its own.
CROSSING_UTILISATION: Final = 1 / 12
# Least room, in slots, against which a process compares its statements at the primary.
# With a smaller room, each of its own statements would look like a full primary.
MIN_ROOM: Final = 0.5
# Greatest utilisation that is assumed for the primary, and greatest value in seconds of
# its room: near full utilisation the value would grow without limit, and reads would
# queue at full replicas for longer than at the primary.
MAX_PRIMARY_UTILISATION: Final = 0.95
MAX_PRIMARY_VALUE: Final = 0.07
# Servers whose costs differ by less than this many seconds may be chosen at random, so
# that processes that observe the same do not all move their reads together.
NEARLY_EQUAL_COST: Final = 0.006

# Part of a read's target latency, from its arrival, that it may spend waiting for a
# replica to reach its position. The rest is left for admission and the read itself.
CATCH_UP_SHARE: Final = 0.4
# Multiple of the expected time at the replica that must be left after such a wait:
# statements take up to a few times their average.
CATCH_UP_RUN_FACTOR: Final = 3.0
# Cost in seconds of a second of such a wait, which delays one read but uses no server.
CATCH_UP_COST: Final = 0.1
# Reads of one process that may wait for replicas at a time. Each occupies a thread, and
# at an owner one of its slots for requests of neighbours.
MAX_CATCH_UP_WAITS: Final = 24
# Shortest wait in seconds for a replica; for less the read is sent at once.
MIN_CATCH_UP_SECONDS: Final = 0.002
# Least time in seconds between two recorded positions of a primary, and the time for
# which they are kept: no read waits for a replica that lags by more.
POSITION_SPACING_SECONDS: Final = 0.005
POSITION_RETENTION_SECONDS: Final = 3.0
# Weight of a new lag in the moving average, deviations above it within which most lags
# are, and seconds after which an estimate without a new lag is no longer used.
LAG_WEIGHT: Final = 0.2
LAG_DEVIATIONS: Final = 1.0
LAG_EXPIRY_SECONDS: Final = 10.0
# Greatest uncertainty in seconds of the first observed lag of a server.
MAX_LAG_UNCERTAINTY: Final = 0.1

# Greatest part of a server's connections that this process may hold. There are many
# proxies with uneven load, so their parts add up to more than the server accepts; a
# refusal by the server lowers the part for a while.
CONNECTION_SHARE: Final = 0.2
MIN_CONNECTIONS: Final = 2
# Connections of a server that are left to control.
CONTROL_CONNECTIONS: Final = 2
DEFAULT_CONNECTIONS: Final = 16
CEILING_STEP_SECONDS: Final = 1.0
# Connections to one server that a process may hold at first, and the time after which
# it may hold one more: when proxies start together, each gets one connection before any
# gets two.
FIRST_CONNECTIONS: Final = 1
START_STEP_SECONDS: Final = 0.2
# Connections by which the ceiling rises with each connection that the server accepts,
# where the parts of all processes fit the server: two, so that it doubles.
CONNECTIONS_PER_SUCCESS: Final = 2
# Time after a change of role in which the ceiling rises only with time: neighbours
# learn of it with a heartbeat, one a second.
PART_SETTLING_SECONDS: Final = 1.0
# Length of the turn of a proxy that serves its own callers while no owner answers:
# about one statement.
TURN_SECONDS: Final = 0.05
# Greatest factor by which refusals by the server extend the time between two turns.
MAX_REFUSED_TURN_FACTOR: Final = 16.0
# Pause before another connection attempt if the server is at its connection limit and
# this process has no connection: about the duration of two statements.
CONNECTION_RETRY_SECONDS: Final = 0.05
# Idle time after which the last connection of a pool and those beyond it (surplus
# connections) are closed. After many proxies lose power, the servers still count their
# connections for some seconds, and the restarted proxies cannot use that many. One
# connection is kept for occasional callers; surplus connections are closed after the
# duration of a few statements, unless they belong to a client account: connections of
# other accounts cannot replace them.
IDLE_EXPIRY_SECONDS: Final = 1.0
SURPLUS_EXPIRY_SECONDS: Final = 0.12
# Time between two checks for such connections in unused pools: short, so that few
# connections stay open after a burst.
EXPIRY_CHECK_SECONDS: Final = 0.15
CONNECT_TIMEOUT: Final = 0.5
CHECK_TIMEOUT: Final = 0.25
# Idle time after which a connection is pinged before its use: it may have been lost
# unnoticed meanwhile, and the outcome of a write sent on it would be in doubt.
CHECK_AFTER_IDLE: Final = 1.0
RESET_TIMEOUT: Final = 0.3
QUEUE_LIMIT: Final = 64
# Requests that may wait for one server at an owner of pools that orders them by target:
# they come from its whole failure domain, or from all, and wait until their targets.
SHARED_QUEUE_LIMIT: Final = 192
# Statements that all owners together may have in flight for each slot of a primary. It
# is above 1 because their demand is uneven, and because a statement from another
# failure domain also counts during its network round trip.
SLOT_OVERSUBSCRIPTION: Final = 2.0

# A server is reported as stalled once a write has been unanswered for this long, even
# if it still answers reads.
STALL_REPORT_SECONDS: Final = 0.4
REPORT_SECONDS: Final = 0.2
REPORT_CHECK_SECONDS: Final = 0.2
# A control process answers within milliseconds, and a lost packet is retransmitted
# after 0.2 s.
REPORT_TIMEOUT: Final = 0.3
# Pause after a report that was not answered: short, because the wait for the answer was
# a pause already.
REPORT_RETRY_SECONDS: Final = 0.05
# Control processes that one report is sent to, including the presumed leader: enough to
# follow one refusal that names the leader.
REPORT_ATTEMPTS: Final = 2
# Least time between two calls to control that were triggered only by a failed poll:
# about the duration of an election, so that each of thousands of proxies calls once per
# election.
CONTROL_QUERY_INTERVAL_SECONDS: Final = 1.0
# Primaries that a process probes when a majority of control does not answer: a single
# unreachable one is evidence enough, and a large deployment has thousands.
MAX_PRIMARIES_PROBED: Final = 8
# Pause between attempts to connect to a server that failed, and their time limit.
RECOVERY_PROBE_SECONDS: Final = 0.25
# Time for which one replica may take to tell its position before another one is asked:
# longer than a statement that it may have to wait for.
REPLICA_ANSWER_SECONDS: Final = 0.15
# Time for which an acknowledged write waits to be applied by a replica before replicas
# are asked what they have received, and the pause between two such questions.
APPLIED_WAIT_SECONDS: Final = 0.05
APPLIED_RETRY_SECONDS: Final = 0.008
# First and longest pause after all replicas were asked in vain.
FINAL_RETRY_SECONDS: Final = 0.01
MAX_FINAL_RETRY_SECONDS: Final = 0.08
# Servers that are probed at the same time: a failure domain that is cut off contains
# servers of every group.
RECOVERY_THREADS: Final = 4

# Time from a primary's failure to the first write at the new one: failure detection
# plus the second that the platform itself needs.
NO_PRIMARY_RETRY_MS: Final = 1_000
# Retry time while a promotion is in progress.
PROMOTION_RETRY_MS: Final = 300
BUSY_RETRY_MS: Final = 50
# A process that has just started receives the state from control within about 1 s.
NOT_READY_RETRY_MS: Final = 300
# The server counts the connections of processes that ended for more than a second, and
# a caller makes three attempts within a second.
NO_CONNECTION_RETRY_MS: Final = 150
# Retry time of a caller of a proxy without a turn: the length of a turn.
NO_TURN_RETRY_MS: Final = 50
WATCH_WAIT_MS: Final = 1_000
# Time for which a caller waits for the first view, and time after a process's start in
# which callers do so: long enough for an election and the first view to arrive, and
# short enough that a caller that is refused afterwards can still retry.
FIRST_VIEW_WAIT_SECONDS: Final = 0.5
FIRST_VIEW_DUE_SECONDS: Final = 1.5

# Shares of the grace time after which a process that shuts down begins no new work,
# gives requests in progress their final answer, and ends. The rest is left for the
# answers to arrive before the process is killed.
NEW_WORK_GRACE_SHARE: Final = 0.5
INTERRUPT_GRACE_SHARE: Final = 0.9
EXIT_GRACE_SHARE: Final = 0.95
DRAIN_POLL_SECONDS: Final = 0.02
# Time that a caller which connected last has to send its first request.
ARRIVAL_SECONDS: Final = 0.3

# Number of connections to one limit owner that are kept open.
CONNECTIONS_TO_LIMIT_OWNER: Final = 1

OWN_REQUEST: Final = "-"
NO_PROOF: Final = "-"
NO_ACCOUNT: Final = "-"
PREPARED_NAME_BYTES: Final = 6

# Removed databases whose time of removal is known, and named in one line of the log.
MAX_REMOVED_DATABASES: Final = 1_024
MAX_LOGGED_DATABASES: Final = 8
