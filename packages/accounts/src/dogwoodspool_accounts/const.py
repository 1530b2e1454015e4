"""Constants of the accounts library, times in seconds."""

from typing import Final

# Paths of the endpoints of control's leader and of the limit owners.
PATH_DRAW: Final = "/v1/accounts/draw"
PATH_ACQUIRE: Final = "/v1/accounts/acquire"
PATH_RETURN: Final = "/v1/accounts/return"

DEFAULT_WINDOW_SECONDS: Final = 5.0
DEFAULT_OVERSHOOT: Final = 0.1
DEFAULT_SLACK: Final = 20.0

# Parts of a limit that failure domains may use without asking control's leader, in
# equal shares, and that the leader gives out at the most: enough to go on while the
# leader cannot be reached, and enough for callers who are all in one failure domain.
# Together they use the usual tolerance; with less, the leader's part is smaller.
BASE_SHARE: Final = 0.35
RESERVE_SHARE: Final = 0.74
BASE_BURST_SHARE: Final = 0.2
RESERVE_BURST_SHARE: Final = 0.6
# Parts of the tolerance: operations beyond the limit in every failure domain, and
# tokens with which a limit owner starts that does not know what its predecessor used.
BASE_TOLERANCE_SHARE: Final = 0.3
START_TOLERANCE_SHARE: Final = 0.2

# Time for which a proxy keeps unused tokens of an account that it serves often.
LOCAL_HOLD_SECONDS: Final = 0.05
# Demand, in seconds, for which a limit owner keeps unused tokens, and below which it
# draws more. Unused tokens can add to the operations of a later window.
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
