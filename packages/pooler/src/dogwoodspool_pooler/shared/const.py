"""Constants of requests that one proxy runs for another."""

from typing import Final

# Paths of the endpoints at which an owner of pools takes requests of its neighbours.
PATH_STATEMENT: Final = "/v1/pools/statement"
PATH_TRANSACTION: Final = "/v1/pools/transaction"
PATH_RELEASE: Final = "/v1/pools/release"

# Requests of neighbours, beside those of open transactions, that an owner works on at a
# time: above what it may have in flight on the servers of a few groups.
NEW_REQUESTS: Final = 48
# The neighbours are in one's own failure domain, tenths of a millisecond away.
OWNER_CONNECT_TIMEOUT: Final = 0.15
# Time in which an owner's machine acknowledges a request, also while the owner waits
# for a server: above one lost packet's second transmission (0.2 s).
OWNER_UNACKNOWLEDGED_MS: Final = 250
# Part of a request's time that is left for the way to the owner and back.
HOP_SECONDS: Final = 0.03
# Part of a read's remaining time that an owner gets: time must be left to read without
# it where it was lost.
OWNER_READ_SHARE: Final = 0.75
RELEASE_TIMEOUT: Final = 0.2
# Connections to one owner that are kept open.
CONNECTIONS_TO_OWNER: Final = 8

# A transaction whose proxy was lost ends so long after the proxy should have ended it.
LEASE_MARGIN_SECONDS: Final = 1.0
LEASE_LOOK_SECONDS: Final = 0.25

# Attempts on an idle pooled connection, which may have ended unnoticed.
OWNER_ATTEMPTS: Final = 2
