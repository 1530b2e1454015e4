"""Constants of the accounts library, times in seconds."""

from typing import Final

# Paths of the endpoints of control's leader and of the limit owners.
PATH_DRAW: Final = "/v1/accounts/draw"
PATH_ACQUIRE: Final = "/v1/accounts/acquire"
PATH_RETURN: Final = "/v1/accounts/return"
PATH_EXCHANGE: Final = "/v1/accounts/exchange"

DEFAULT_WINDOW_SECONDS: Final = 5.0
DEFAULT_OVERSHOOT: Final = 0.1
DEFAULT_SLACK: Final = 20.0

# Parts of a limit that failure domains may use without asking control's leader, in
# equal shares, and that the leader gives out at the most: enough to go on while the
# leader cannot be reached, and enough for callers who are all in one failure domain.
# Where the tolerance is too small for both, the leader's part is smaller.
BASE_SHARE: Final = 0.32
RESERVE_SHARE: Final = 0.7
# Capacities of the base parts and least capacity of the leader's part.
BASE_BURST_SHARE: Final = 0.2
RESERVE_BURST_SHARE: Final = 0.1
# Parts of the tolerated operations in each window (slack), for small limits: rate and
# capacity of the base parts, and tokens with which a limit owner starts that does not
# know what its predecessor used, which also have a part of the tolerated fraction.
BASE_SLACK_SHARE: Final = 0.1
BASE_BURST_SLACK_SHARE: Final = 0.4
START_SLACK_SHARE: Final = 0.2
START_TOLERANCE_SHARE: Final = 0.06
# Limit owners of one failure domain that may start anew in one window.
STARTS_PER_WINDOW: Final = 2

# Time for which an owner in reserve has no base part after it is first asked. The first
# owner may still serve other proxies, because a proxy skips an owner for a time after a
# single lost packet.
RESERVE_OWNER_SECONDS: Final = 5.0

# Age of a token, counted from the arrival of its statement, above which it is exchanged
# before the statement is sent.
TOKEN_AGE_SECONDS: Final = 0.1
# Time from the check of a token's age until its statement reaches the server.
SEND_SECONDS: Final = 0.05
# Time by which a token may be older than the time since its statement arrived: the
# proxy may have kept it unused for LOCAL_HOLD_SECONDS, and its message to the owner
# takes time.
TOKEN_AGE_MARGIN: Final = 0.1
# Greatest age at which a token can be exchanged or returned, and the resolution with
# which the takes of this time are remembered.
HISTORY_SECONDS: Final = 3.5
HISTORY_SLOT_SECONDS: Final = 0.05
# Age above which a token of an operation that did not run is not returned.
RETURN_AGE_SECONDS: Final = 1.0
# Time for which tokens that were drawn from the leader add to the capacity of a limit
# owner: the minimum, the maximum that is added to it, and the fraction of the tolerance
# not used by the rates that may be spent on it. The rest is the leader's capacity for
# bursts. Operations that wait before they run need the owners' capacity.
MIN_DRAWN_SECONDS: Final = 0.25
EXTRA_DRAWN_SECONDS: Final = 1.0
DRAWN_TOLERANCE_SHARE: Final = 0.4
# Capacity of the leader that covers random bursts, in units of the square root of the
# rate. Where the tolerance leaves more than this, all of the excess may extend the time
# for which drawn tokens count.
RANDOM_BURST: Final = 3.0

# Time for which an exchange waits for tokens that are being drawn, and the time limit
# for one owner's answer to it. The statement holds a slot of its server meanwhile.
EXCHANGE_WAIT_SECONDS: Final = 0.03
EXCHANGE_TIMEOUT: Final = 0.1
EXCHANGE_ATTEMPTS: Final = 2

# Time for which a proxy keeps unused tokens of an account that it serves often.
LOCAL_HOLD_SECONDS: Final = 0.05
# Demand, in seconds, for which a limit owner keeps unused tokens, and below which it
# draws more.
HOLD_SECONDS: Final = 0.3
LOW_SECONDS: Final = 0.15
# Tokens kept in addition, for accounts with little demand.
HOLD_TOKENS: Final = 2.0
LOW_TOKENS: Final = 1.0
# Seconds over which demand is averaged, and demand in operations per second that counts
# as none.
DEMAND_SECONDS: Final = 1.0
NO_DEMAND: Final = 0.05
# Demand below which an account is forgotten: after some ten seconds without operations.
FORGOTTEN_DEMAND: Final = 0.0001

# Pauses between two draws of a limit owner, with and without callers that wait.
DRAW_SPACING_SECONDS: Final = 0.02
DRAW_CHECK_SECONDS: Final = 0.1
# Longer than the retransmission of one lost packet takes (0.2 s).
DRAW_TIMEOUT: Final = 0.3
# Control processes to ask in turn, as one that does not lead names the leader, and the
# pause after all failed.
DRAW_ATTEMPTS: Final = 2
DRAW_RETRY_SECONDS: Final = 0.05
# Accounts in one draw; those left out follow in the next one.
MAX_ACCOUNTS_PER_DRAW: Final = 10_000
# Pause after a draw that did not get all tokens of an account.
EXHAUSTED_PAUSE_SECONDS: Final = 0.1
# Time for which a request may wait for tokens that are being drawn: a few round trips
# between failure domains.
TOKEN_WAIT_SECONDS: Final = 0.06
MIN_WAIT_SECONDS: Final = 0.001

# Pause before unused tokens are returned, so that those of one burst of refusals go
# together, and the time limit for it.
RETURN_PAUSE_SECONDS: Final = 0.03
RETURN_TIMEOUT: Final = 0.1
# Time between two checks for unused tokens, beside those for which it is woken.
RETURN_IDLE_SECONDS: Final = 60.0

# Proxies of a failure domain for each limit owner in use, and the minimum number of
# owners in use: the loss of one should move only a part of the accounts.
PROXIES_PER_OWNER: Final = 32
MIN_LIMIT_OWNERS: Final = 2
# Time limit for a limit owner's answer, including its wait for tokens.
ACQUIRE_TIMEOUT: Final = 0.2
# Time that a request may spend on asking limit owners, those that do not answer
# included.
ACQUIRE_SECONDS: Final = 0.35
# Time for which the first requests of a process wait until it knows its neighbours.
NEIGHBOURS_WAIT_SECONDS: Final = 0.3

# Bounds of the retry time in a refusal.
MIN_RETRY_SECONDS: Final = 0.01
MAX_RETRY_SECONDS: Final = 5.0
