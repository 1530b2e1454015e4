"""Constants of the emulator."""

from typing import Final

# Uptime of the proxies when an emulation begins: long enough that the lower
# connection ceiling after a start is over.
PROXY_UPTIME_SECONDS: Final = 10.0
# Time for which a server counts the connections of a process that lost power.
DEAD_CONNECTION_SECONDS: Final = 3.0
# Time after which a proxy notices that an owner does not answer.
LOST_OWNER_SECONDS: Final = 0.15
# Time after which control no longer reports a proxy that sends no heartbeats.
LOST_PROXY_SECONDS: Final = 3.0
# Least time until a proxy that has started knows its neighbours, and the greatest time
# that is added at random.
FIRST_PRESENCE_SECONDS: Final = 0.1
FIRST_PRESENCE_SPREAD_SECONDS: Final = 0.25
# Reports of neighbours per second to all proxies together; with many proxies each of
# them gets one less often than once a second.
PRESENCES_PER_SECOND: Final = 100.0
# Time between two checks for idle connections in all pools.
POOL_CHECK_SECONDS: Final = 0.15
# Time between two checks of a request that waits until the server has handled a close.
CLOSE_CHECK_SECONDS: Final = 0.01
# Length of one time window of the results.
WINDOW_SECONDS: Final = 1.0
# Time that a server takes to refuse a statement: without a slot if its queue is full,
# in a slot but without work if its data is behind the required position. It is also the
# minimum time that a statement takes in a slot.
REFUSAL_SECONDS: Final = 0.0005
# Time after which a replica draws another lag.
LAG_STEP_SECONDS: Final = 0.1
# Width and height of plots, in inches.
PLOT_SIZE: Final = (9.0, 6.0)
