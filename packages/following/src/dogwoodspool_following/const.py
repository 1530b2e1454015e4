"""Constants of the following library."""

from typing import Final

# Short, since a poll to a cut-off process waits in vain for so long.
DEFAULT_WATCH_WAIT_MS: Final = 2_000
# Time beyond the wait in which a control process must answer a poll: above a lost
# packet's second transmission. Two silent processes in a row must not hide a change for
# longer than the few seconds in which it has to be in force.
WATCH_TIMEOUT_MARGIN: Final = 0.5
# The same for the first view, which waits for a quorum besides and is whole.
FIRST_VIEW_TIMEOUT_MARGIN: Final = 1.5
RETRY_PAUSE_SECONDS: Final = 0.1
# How far an idle transaction may outlast its limit, which is 10 s by default.
REAP_INTERVAL_SECONDS: Final = 0.25
# Good polls of another control process before the preferred one is tried again:
# some seconds, so that one that keeps failing costs a small part of the polls.
POLLS_BEFORE_RETURN: Final = 5

# Refusals in a row after which balancers commonly take a process out, as two failed
# health checks are.
BALANCER_REFUSALS: Final = 2
# A cut shows for so long before a process takes itself for cut off: above a lost
# packet's second transmission (0.2 s), so that one loss does not count.
LEAVE_AFTER_SECONDS: Final = 0.3
# Time without a new doubt after one that was unfounded: a balancer that asks once a
# second gets no two refusals in a row from doubts that come and go.
DOUBT_PAUSE_SECONDS: Final = 1.2
# Control answers for so long before a cut-off process serves again. Callers are served
# elsewhere meanwhile, and a link that comes and goes moves them less often.
RETURN_AFTER_SECONDS: Final = 0.5
# Time between two looks at what this process reaches: small beside the second after
# which balancers commonly ask again.
LOOK_SECONDS: Final = 0.1
# Part of the callers whose idle connections are closed at one look after the balancer
# sends them elsewhere: all have moved after about a second, and do not connect
# elsewhere in one moment.
MOVE_SHARE: Final = 0.2
# Time for which idle callers are moved. Processes of one failure domain leave within
# one of the balancer's questions of each other, and who has moved to one of them must
# move again. Callers that come later come because there is no better place.
MOVE_SECONDS: Final = 3.0
