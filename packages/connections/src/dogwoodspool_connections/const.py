"""Constants of the connections library, times in seconds."""

from typing import Final

DEFAULT_CONNECT_TIMEOUT: Final = 0.5
DEFAULT_CHECK_TIMEOUT: Final = 0.1
DEFAULT_CHECK_AFTER_IDLE: Final = 1.0
DEFAULT_RESET_TIMEOUT: Final = 0.3
DEFAULT_IDLE_EXPIRY: Final = 30.0
# Connections reserved for probes in a pool whose limit is two or more.
PROBE_RESERVE: Final = 1

DEMAND_WINDOW: Final = 1.0

# Time after a close for which the server may still count the connection: the close has
# to arrive, and the server has to handle it.
CLOSE_SECONDS: Final = 0.02

# Time constant of the moving average of an account's rate of use, in seconds.
USE_RATE_SECONDS: Final = 5.0
# Exponent of the rank of an idle connection among those of its account, by which the
# account's rate of use is divided.
IDLE_RANK_EXPONENT: Final = 3
# Accounts whose rates are kept; of more, those with the lowest rates are dropped.
MAX_USE_RATES: Final = 1_000
