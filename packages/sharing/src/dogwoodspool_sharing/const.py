"""Constants of the sharing library."""

from typing import Final

# Path of the endpoint to which proxies send heartbeats at a control process.
PATH_PRESENCE: Final = "/v1/proxies/present"
# Path of the endpoint at which a control process names proxies of a failure domain.
PATH_CONTACTS: Final = "/v1/proxies/contacts"
# Path of the endpoint at which a proxy names the owners of groups in its own failure
# domain.
PATH_OWNERS: Final = "/v1/pools/owners"
PATH_NEIGHBOUR_VIEW: Final = "/v1/proxies/view"

# Greatest number of proxies in all failure domains with which owners near a primary are
# used: each proxy keeps connections to these owners, which accept a limited number.
MAX_FORWARDING_PROXIES: Final = 250

# Minimum number of a failure domain's proxies per owner. With fewer, most requests
# would take an additional hop although the shared pool would hardly be used better.
MIN_PROXIES_PER_OWNER: Final = 2
# Minimum number of a group's owners in each failure domain, including those in reserve,
# because one may fail at any time.
MIN_OWNERS: Final = 2
# Owners in use, in all failure domains, for each slot of a server. Each of them may
# have at least one statement in flight; statements without a slot wait in the server,
# in the order of arrival.
OWNERS_PER_SLOT: Final = 1.5
# Minimum number of owners in use in all failure domains.
MIN_OWNERS_IN_USE: Final = 3
# Minimum equal share of a server's connections for each owner. With fewer, requests of
# one owner wait for each other while connections of other owners are idle.
CONNECTIONS_PER_OWNER: Final = 6
# Fraction of a server's connections that is set aside for proxies that serve their own
# callers while no owner answers, and its bounds.
SHARE_OUTSIDE: Final = 1 / 12
MIN_CONNECTIONS_OUTSIDE: Final = 1
MAX_CONNECTIONS_OUTSIDE: Final = 6
# Fraction of these connections for which proxies have a turn on average. The turns are
# taken at random, so that at times more proxies than the average have one.
USED_OUTSIDE: Final = 0.5
# The same fraction while the owners of a failure domain are lost. The other proxies
# there use the owners' connections; it is higher since not every proxy has a request in
# each of its turns.
USED_OF_LOST_OWNERS: Final = 0.75
# Connections of one process that are closed and that the server may still count.
CLOSE_ROOM: Final = 1
# Connections of an owner in reserve while an owner in use answers.
CONNECTIONS_PER_RESERVE_OWNER: Final = 1

# Greatest number of connections to a primary that are set aside for each owner in
# another failure domain.
CONNECTIONS_ELSEWHERE: Final = 2

# Seconds between two heartbeats of a proxy, and the maximum number of heartbeats per
# second from one failure domain to a control process. Larger failure domains send them
# less often.
PRESENCE_SECONDS: Final = 1.0
PRESENCES_PER_SECOND: Final = 100.0
# Seconds until the next heartbeat after an answer with changed neighbours: when all
# processes start together, the first answers contain only a few of them.
PRESENCE_SETTLING_SECONDS: Final = 0.25
# Consecutive heartbeats that may be lost before a proxy counts as gone.
MAX_MISSED_HEARTBEATS: Final = 3
PRESENCE_TIMEOUT: Final = 0.4
PRESENCE_RETRY_SECONDS: Final = 0.2
# Time for which a control process has been without the leader before heartbeats go to
# another one as well: longer than an election, in which all of them are.
SECOND_PRESENCE_AFTER_SECONDS: Final = 3.0

# Seconds for which a proxy keeps a neighbour that control no longer reports: a control
# process that has just started, or that the proxies have just switched to, reports only
# the proxies that have already sent it a heartbeat.
NEIGHBOUR_RETENTION_SECONDS: Final = 3.0
# Seconds for which an owner that did not answer is skipped.
OWNER_RETRY_SECONDS: Final = 1.0
# Seconds for which an owner in reserve counts as in use after its last failed request
# to the owners in use. It tries them again after the retry time.
TAKEOVER_SECONDS: Final = 2.0
# Requests of neighbours within the takeover time after which an owner in reserve counts
# as in use as well: in large failure domains it has few requests of its own that could
# fail. Fewer may come only because the owners in use are full.
TAKEOVER_REQUESTS: Final = 5

# Time after its last use for which a proxy follows the owners of a group in another
# failure domain, and the most groups of one failure domain that it follows.
REMOTE_OWNERS_USE_SECONDS: Final = 10.0
MAX_FOLLOWED_GROUPS: Final = 64
# Proxies of another failure domain that a proxy may ask for the owners there.
MAX_CONTACTS: Final = 8
# Pause between two polls while a failure domain's owners are not known or its proxies
# do not answer.
OWNERS_RETRY_SECONDS: Final = 0.25
# Seconds for which a proxy waits for the answer to one poll.
OWNERS_TIMEOUT: Final = 0.4

WEIGHT_BYTES: Final = 8
DIGEST_BYTES: Final = 8

# Neighbours that a proxy without a confirmed view asks in one search.
NEIGHBOURS_ASKED: Final = 2
# Seconds for which it waits for the answer of each.
NEIGHBOUR_VIEW_TIMEOUT: Final = 0.4
# Seconds for which a neighbour that is asked waits for control: less, so that its
# answer is in time.
OWN_CONFIRMATION_TIMEOUT: Final = 0.3
