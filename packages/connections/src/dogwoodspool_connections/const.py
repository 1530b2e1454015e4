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
