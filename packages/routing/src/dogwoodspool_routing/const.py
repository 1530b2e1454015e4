"""Constants of the routing library."""

from typing import Final

# Weight of a new latency in the moving averages. Without new latencies the average
# decays with this half-life, in seconds.
LATENCY_WEIGHT: Final = 0.2
LATENCY_HALF_LIFE: Final = 1.0
# It decays to this latency in seconds, or to this share of the lowest average among the
# group's servers if that is less.
DEFAULT_LATENCY: Final = 0.005
UNTRIED_LATENCY_SHARE: Final = 0.5
# Time constant in seconds of the moving average of statements in flight: much longer
# than a statement, and much shorter than the periods in which demand changes.
LOAD_SECONDS: Final = 1.5

# Seconds by which a server of another failure domain must be faster to be chosen.
REMOTE_DOMAIN_PENALTY: Final = 0.001

# Upper bound of the seconds between two attempts that count as unreachable.
MAX_UNREACHABLE_STEP: Final = 1.0

DEFAULT_ANNOUNCEMENT_EXPIRY: Final = 5.0

# Retry delays of callers: until a promotion has ended, and until the next probes.
RETRY_AFTER_PROMOTION_MS: Final = 500
RETRY_AFTER_PROBE_MS: Final = 250
