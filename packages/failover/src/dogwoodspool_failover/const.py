"""Constants of the failover library."""

from typing import Final

# Term of a group's first primary.
FIRST_TERM: Final = 1
# Offset of the first entry of a log; an empty log ends at 0.
FIRST_OFFSET: Final = 1

# Interval at which the leader checks all groups: small compared with the failure
# detection time, and 20 checks per second cost about 2% of a core.
TICK_SECONDS: Final = 0.05

# Proxies report every 200 ms, so that three lost reports are tolerated.
REPORT_LIFETIME: Final = 0.8
# Connections refused for this long mean that the process is gone. A shorter period
# may be a restart, which completes sooner than a change of primary.
REFUSING_SECONDS: Final = 0.15
# No answer for this long counts as a failure. Longer than the longest statement
# (0.3 s) and the retransmission of a lost packet (0.2 s to 0.4 s).
SILENT_SECONDS: Final = 0.6
# Writes unanswered for this long while reads are answered. Replicas lag by 20 ms, so
# this is not replication lag but a primary that reaches none of its replicas.
STALLED_SECONDS: Final = 0.8
# Proxies that must agree while the leader itself still reaches the server.
MIN_REPORTERS: Final = 3
MIN_REPORTING_DOMAINS: Final = 2
# Time without a heartbeat of a primary after which the leader probes it: three of the
# usual heartbeat intervals.
HEARTBEAT_SILENCE: Final = 3.6

# A server whose last heartbeat is at most this old keeps its address when another
# server id claims it: two of the usual heartbeat intervals.
ADDRESS_HOLD_SECONDS: Final = 2.4

# The leader's probes of a suspected server.
PROBE_TIMEOUT: Final = 0.3
PROBE_PAUSE: Final = 0.1

# One status request or command to a server during a change of primary.
SERVER_CALL_TIMEOUT: Final = 0.5
FENCE_RETRY_SECONDS: Final = 0.15
# Time for every replica to answer before the most advanced of those that did is
# chosen.
FENCE_GRACE_SECONDS: Final = 0.25
# Additional wait for the failed primary once all replicas have answered: enough for
# one connection and one answer. It adds to the duration of every failover.
SUSPECT_GRACE_SECONDS: Final = 0.05
# A switchover becomes a failover, which interrupts writes, if the replicas cannot be
# paused within this time.
SWITCHOVER_TIMEOUT_SECONDS: Final = 2.0
# Timeout of the platform's promotion call, which answers once it has accepted the
# request, or not at all.
PROMOTION_CALL_TIMEOUT: Final = 2.0
PROMOTION_RETRY_SECONDS: Final = 0.3
# Longest time from the first request until the server is the primary; 0.3 s to 1 s is
# usual.
PROMOTION_COMPLETION_SECONDS: Final = 4.0
# Writes wait until control has seen the new primary and recorded its epoch.
PROMOTION_POLL_SECONDS: Final = 0.1
# Longest time from an accepted request until it takes effect.
PROMOTION_EFFECT_SECONDS: Final = 2.0

RESUME_ATTEMPTS: Final = 20
RESUME_RETRY_SECONDS: Final = 0.5
# Pause before a primary is asked for its term again.
EPOCH_RETRY_SECONDS: Final = 0.5
# A command must be sent within this time after it has been recorded.
RESUME_SEND_SECONDS: Final = 1.0
# Longest time after which a server or the platform carries out a command that got no
# answer: up to 12 s after it was sent.
LATE_COMMAND_SECONDS: Final = 15.0
# A recorded command to resume counts as open for this long unless its sender closes it:
# the process may have been frozen before it sent the command.
OPEN_RESUME_SECONDS: Final = 120.0
# A server whose end is recorded has ended if it gives no answer for this long.
SILENT_END_SECONDS: Final = 10.0
# Interval at which silent servers are looked at and asked.
LOST_CHECK_SECONDS: Final = 0.5
# A silent server that refuses connections for this long has ended. A restart at the
# same address is usually shorter or sends a heartbeat first.
REFUSED_END_SECONDS: Final = 1.0
# Ended servers that are remembered; any of them can be asked again.
MAX_ENDED_KNOWN: Final = 10_000
# Groups that are looked at again, and epochs that are compared, in one tick.
CHECKS_PER_TICK: Final = 4
# Interval at which one steady group's epoch is compared.
EPOCH_CHECK_SECONDS: Final = 1.0

# Pause before another try to move the primary away from a leaving server.
DEPARTURE_RETRY_SECONDS: Final = 2.0
PRESERVED_CHECK_SECONDS: Final = 0.5

WORKER_THREADS: Final = 12
# Long polls that wait at one control process, each in its own thread: its share of 200
# proxies when two of six processes are lost. Further proxies poll at intervals.
MAX_WATCHERS: Final = 48
# Additional threads for votes, log entries, reports and joins, none of which waits for
# long.
HTTP_THREADS: Final = MAX_WATCHERS + 16

# Control group: time without an answer after which a voter is replaced by a learner.
# Longer than an election (1.1 s), so that a change of leader replaces no voter.
SILENT_VOTER_SECONDS: Final = 2.5
# A learner must have answered within this time to become a voter.
LIVE_LEARNER_SECONDS: Final = 1.5
MAX_LEARNER_LAG: Final = 64
LEARNER_REMOVAL_SECONDS: Final = 120.0
MEMBER_CHANGE_TIMEOUT: Final = 3.0
MEMBER_CHECK_SECONDS: Final = 0.25
JOIN_RETRY_SECONDS: Final = 0.4
JOIN_CHECK_SECONDS: Final = 3.0
JOIN_TIMEOUT: Final = 3.0
