"""Constants of the emulator."""

from typing import Final

# Proxies in an emulation have served for a while, so that starts play no part.
UP_FOR_SECONDS: Final = 10.0
# Time between two looks for idle connections in all pools.
EXPIRY_LOOK_SECONDS: Final = 0.15
# Span of time of one row of the results over time.
WINDOW_SECONDS: Final = 1.0
# Time that a position refused by a server costs, without a slot's work.
REFUSAL_SECONDS: Final = 0.0005
# Plots, in inches.
PLOT_SIZE: Final = (9.0, 6.0)
