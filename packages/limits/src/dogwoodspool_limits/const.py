"""Constants of the limits library."""

from typing import Final

# Weight of a new latency in the moving averages.
LATENCY_WEIGHT: Final = 0.1
# Mean deviations above the average service time within which most statements end.
SERVICE_TIME_DEVIATIONS: Final = 2
# Assumed service time in seconds before the first answer.
DEFAULT_SERVICE_TIME: Final = 0.005
# Multiple of the time within which most statements end. A statement that is unanswered
# for longer no longer counts as in flight, if the order does not follow the latency.
OVERDUE_FACTOR: Final = 2

# Adaptive concurrency: additive increase, multiplicative decrease per window.
WINDOW_SAMPLES: Final = 20
DECREASE_FACTOR: Final = 0.8
LATENCY_TOLERANCE: Final = 2.0
# A server that refuses statements because of its load lowers the limit by this factor,
# once per step. A step is about the time in which the server's full queue empties.
OVERLOAD_FACTOR: Final = 0.5
OVERLOAD_STEP_SECONDS: Final = 0.1
# Seconds after which the lowest latency is determined anew, and the factor by which the
# limit is lowered then to see the latency without an overload.
BASE_LATENCY_SPAN: Final = 30.0
BASE_PROBE_FACTOR: Final = 0.5

# Admissions above the limit for statements more urgent than those in flight.
URGENT_EXTRA_ADMISSIONS: Final = 1

# Capacity of the retry budget: what this many seconds earn at the minimum rate plus
# what this many statements earn at the ratio.
RETRY_BURST_SECONDS: Final = 2.0
RETRY_BURST_STATEMENTS: Final = 100

MIN_RETRY_AFTER_MS: Final = 1
# Seconds within which refused callers retry: a quarter of the second for which callers
# wait in all, so that two retries leave time for the answer.
RETRY_HORIZON: Final = 0.25

# Kinds of statements whose service times are learned; others use the mean of all.
MAX_KINDS: Final = 256
# Seconds over which the capacity that timely statements leave over is averaged.
LEFTOVER_SPAN: Final = 2.0
# Lowest fraction of the capacity that demoted statements are expected to get.
MIN_LEFTOVER: Final = 0.05
# Weight of a new count in the moving average of continuations in flight.
CONTINUATION_WEIGHT: Final = 0.05

# Seconds of work that each account gets in one round of fair queueing.
FAIR_ROUND_SECONDS: Final = 0.2
# Fraction of each kind's waiting statements that is to run in time. A kind below it
# goes first.
MIN_KIND_SHARE: Final = 0.05
# Weight of a new statement in the moving average of that fraction.
MINIMUM_WEIGHT: Final = 0.02
# Seconds by which a target counts as later for each second of expected work, so that
# short work goes before long work of a similar target.
WORK_TARGET_FACTOR: Final = 4.0
