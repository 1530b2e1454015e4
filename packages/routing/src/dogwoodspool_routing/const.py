"""Constants of the routing library."""

from typing import Final

# Latencies go into moving averages with this weight; without new ones the average
# returns to the default within some of these half-lives.
LATENCY_WEIGHT: Final = 0.2
LATENCY_HALF_LIFE: Final = 1.0
DEFAULT_LATENCY: Final = 0.005

# Seconds that a server of another failure domain must be better by.
FAR_PENALTY: Final = 0.001

# Seconds in which a primary that leaves still takes work: a planned promotion ends
# within them, and until then nobody else can take its writes.
LEAVING_PRIMARY_GRACE: Final = 2.0

# The longest time between two probes' outcomes that counts as unreachable.
MAX_UNREACHABLE_STEP: Final = 1.0

DEFAULT_ANNOUNCEMENT_EXPIRY: Final = 5.0
DEFAULT_REPLICA_WAIT_MS: Final = 20.0

# When to come back: after a promotion, and after the next probes.
RETRY_AFTER_PROMOTION_MS: Final = 500
RETRY_AFTER_PROBE_MS: Final = 250
