"""Constants of requests that one proxy runs for another."""

from typing import Final

from ..const import MAX_TOKEN_AGE, SHARED_QUEUE_LIMIT

# Paths of the endpoints at which an owner of pools accepts its neighbours' requests.
PATH_STATEMENT: Final = "/v1/pools/statement"
PATH_TRANSACTION: Final = "/v1/pools/transaction"
PATH_RELEASE: Final = "/v1/pools/release"
# Path of the endpoint at which an owner names the positions of its groups' primaries.
PATH_POSITIONS: Final = "/v1/pools/positions"

# Requests of neighbours that an owner serves at a time, including those that wait for
# admission and excluding those of open transactions: two full admission queues.
NEW_REQUESTS: Final = 2 * SHARED_QUEUE_LIMIT
# Neighbours are in the same failure domain, with a latency of tenths of a millisecond.
OWNER_CONNECT_TIMEOUT: Final = 0.15
# Time within which an owner's machine must acknowledge a request, also while the owner
# waits for a server: longer than the retransmission of one lost packet takes (0.2 s).
OWNER_UNACKNOWLEDGED_MS: Final = 250
# Time of a request that is reserved for the round trip to the owner.
HOP_SECONDS: Final = 0.03
# Part of a read's remaining time that an owner gets: if the owner is lost, time must be
# left to read without it.
OWNER_READ_SHARE: Final = 0.75
# Greatest age in seconds of a token with which a transaction is forwarded. The message
# does not state the age, so that the owner assumes this one.
FORWARDED_TOKEN_AGE: Final = MAX_TOKEN_AGE / 2
RELEASE_TIMEOUT: Final = 0.2
# Number of connections to one owner that are kept open.
CONNECTIONS_TO_OWNER: Final = 8

# Time between two requests of an owner for the position of a primary elsewhere: a
# fraction of the data age that reads commonly accept.
POSITION_SECONDS: Final = 0.25
# Time since a group's last read after which an owner no longer asks for its position.
POSITION_USE_SECONDS: Final = 2.0
# Seconds for which an owner waits for the answer to such a request.
POSITION_TIMEOUT: Final = 0.2

# Time by which an owner waits longer than the transaction's own proxy before it ends an
# idle transaction, which happens only if that proxy was lost.
LEASE_MARGIN_SECONDS: Final = 1.0
LEASE_CHECK_SECONDS: Final = 0.25

# Attempts to begin a transaction: an idle pooled connection may have ended unnoticed.
OWNER_ATTEMPTS: Final = 2
