"""Constants of the following library."""

from typing import Final

# Kept short: a poll to a cut-off process waits for the whole time without a result.
DEFAULT_WATCH_WAIT_MS: Final = 2_000
# Time after the end of its wait within which a control process must answer a poll. It
# allows for one retransmission of a lost packet. Two silent processes in a row must not
# delay a change beyond the few seconds in which it has to be in force.
WATCH_TIMEOUT_MARGIN: Final = 0.5
# Timeout in seconds of a poll that does not wait, while a proxy searches for a current
# control process: short, as several in a row may be lost.
SEARCH_TIMEOUT: Final = 0.4
# The same after a search in which no process answered: their answers may be slow.
SLOW_SEARCH_TIMEOUT: Final = 0.8
# The same for a leader that has answered other calls.
SEARCH_LEADER_TIMEOUT: Final = 1.0
# Least time from the beginning of one search to that of the next.
SEARCH_INTERVAL_SECONDS: Final = 1.0
# The margin for the first view, which also waits for a quorum and contains the whole
# state.
FIRST_VIEW_TIMEOUT_MARGIN: Final = 1.5
RETRY_PAUSE_SECONDS: Final = 0.1
# Time for which callers wait for a confirmation of the view.
CONFIRMATION_TIMEOUT: Final = 0.5
# Time after the end of a wait at which callers wait again: this process was held up,
# and control had no time to answer.
HELD_UP_SECONDS: Final = 0.3
# How often callers wait together before they use the view in force.
MAX_WAITS: Final = 3
# Least time after which the other control processes are asked as well, and how many
# times as long it is as the last read that was confirmed. With the longest time and a
# slow answer callers do not wait for the next confirmation yet.
HEDGE_SECONDS: Final = 0.1
HEDGE_FACTOR: Final = 1.25
MAX_HEDGE_SECONDS: Final = 0.4
# Bounds of the random time after which another control process is asked where one had
# no free slot: no check of the view is due earlier, and two of these times are shorter
# than that between attempts.
MIN_NO_SLOT_PAUSE_SECONDS: Final = HEDGE_SECONDS
MAX_NO_SLOT_PAUSE_SECONDS: Final = 0.2
# Age of a confirmation that a read accepts from a control process, which counts as if
# the read had begun that long before: reads of many proxies need few of a quorum.
ACCEPTED_AGE_MS: Final = 250
# Least time between two reads that callers ask for and that accept no age.
REQUESTED_READ_SECONDS: Final = 0.1
# How often the time doubles that control names for the next one if it has no slot.
MAX_REQUEST_DOUBLINGS: Final = 10
# Time for which a confirmation holds: a part of the few seconds in which a change has
# to be in force.
CONFIRMED_FOR_SECONDS: Final = 1.0
# Time since the last confirmation for which a view is used without another one: a part
# of the few seconds in which a change has to be in force.
MAX_UNCONFIRMED_SECONDS: Final = 2.0
# Time from a failed confirmation to the next attempt; it doubles with each failure.
CONFIRMATION_RETRY_SECONDS: Final = 0.2
MAX_CONFIRMATION_RETRY_SECONDS: Final = 1.0
CONFIRMATION_THREADS: Final = 32
# Time limit for one control process, for which no caller waits: as long as that of a
# poll, so that a control group that answers slowly still gives newer views.
CONFIRMATION_READ_TIMEOUT: Final = 1.5
# Longest time that an attempt takes unless this process is held up: the reads at all
# processes, and some time for threads to run.
MAX_ATTEMPT_SECONDS: Final = MAX_HEDGE_SECONDS + CONFIRMATION_READ_TIMEOUT + 0.4
# Reads at one control process at a time: one that hangs must not keep the next from
# being made.
MAX_READS_IN_FLIGHT: Final = 2
# Time from the beginning of a confirmation to that of the next one. With the time that
# a read takes it is less than the few seconds in which a change has to be in force.
VIEW_CHECK_SECONDS: Final = 1.0
# Greatest random change of that time, so that proxies do not read in step.
VIEW_CHECK_SPREAD_SECONDS: Final = 0.05
# The same while no attempt succeeds.
VIEW_CHECK_ATTEMPT_SECONDS: Final = 0.5
# Interval of the search for control processes while no attempt succeeds.
CONTROL_SEARCH_SECONDS: Final = 0.5
# Time for which the view counts as old after a neighbour has told of a newer one: some
# intervals of the search.
TOLD_FOR_SECONDS: Final = 3.0
# Confirmations of all proxies together for which control has room.
MAX_VIEW_CHECKS_PER_SECOND: Final = 400
# Age of a document, when it comes into force here, from which on that is logged: near
# the few seconds in which a change has to be in force.
LATE_DOCUMENT_MS: Final = 2_000
# Maximum time by which an idle transaction exceeds its limit, which is 10 s by default.
REAP_INTERVAL_SECONDS: Final = 0.25
# Successful polls of another control process before the preferred one is tried again.
# They take some seconds, so that a preferred process that keeps failing costs only a
# small part of the polls.
POLLS_BEFORE_RETURN: Final = 5

# Consecutive failed health checks after which load balancers commonly remove a process
# from the rotation.
BALANCER_REFUSALS: Final = 2
# Time for which a partition must be observed before a process considers itself cut
# off: longer than the retransmission of a lost packet (0.2 s), so that a single loss
# does not count.
LEAVE_AFTER_SECONDS: Final = 0.3
# Time without a new suspicion after an unfounded one, so that intermittent suspicions
# do not give two consecutive refusals to a load balancer that checks once a second.
SUSPICION_PAUSE_SECONDS: Final = 1.2
# Time for which control must answer before a cut-off process rejoins the rotation.
# Callers are served elsewhere meanwhile, and an intermittent link moves them less
# often.
RETURN_AFTER_SECONDS: Final = 0.5
# Interval between checks of reachability: short compared with the second that load
# balancers commonly wait between health checks.
ROTATION_CHECK_SECONDS: Final = 0.1
# Fraction of the connections that is closed at each check, if idle, once the balancer
# sends callers elsewhere. All callers have moved after about a second and do not
# reconnect elsewhere all at once.
MOVE_FRACTION: Final = 0.2
# Time for which idle callers are moved. The processes of a failure domain leave the
# rotation within one health check interval of each other, and callers that moved to
# another of them must move again. Callers that connect after this time do so because
# the balancer has no better target.
MOVE_SECONDS: Final = 3.0
