"""Constants shared by all libraries and programs."""

from typing import Final

VERSION: Final = "0.1.0"

HEADER_SIGNATURE: Final = "X-Dogwoodspool-Signature"
HEADER_TRACEPARENT: Final = "traceparent"

DEFAULT_HTTP_TIMEOUT: Final = 2.0
# Above the round trip between regions (40 ms), and below the 1 s after which TCP
# resends a lost SYN packet: another attempt of the caller is sooner.
HTTP_CONNECT_TIMEOUT: Final = 0.4
DEFAULT_HTTP_THREADS: Final = 32
# Open connections of one server, most of them idle connections of proxies that have
# called it before; fits the file descriptor limit of a small instance.
MAX_HTTP_CONNECTIONS: Final = 3_000
MAX_HTTP_BODY_BYTES: Final = 8 * 1024 * 1024
# Interval of the checks whether a server's last requests have been answered.
FINISH_POLL_SECONDS: Final = 0.01

# JSON lines protocol: bytes per read, maximum line length, and maximum number of peer
# connections, each served by a thread.
LINE_READ_BYTES: Final = 64 * 1024
MAX_LINE_BYTES: Final = 4 * 1024 * 1024
MAX_LINE_CONNECTIONS: Final = 1_000
LINE_BACKLOG: Final = 512

# Time for which a leaving primary still gets new work, as no other server can take its
# writes: a planned change of primary usually ends within it.
LEAVING_GRACE_SECONDS: Final = 2.0
# The same for groups that replicate synchronously: a change that goes on as a failover
# takes longer, and a server that leaves stays up for 7 s.
LONG_LEAVING_GRACE_SECONDS: Final = 4.5

MILLISECONDS: Final = 1000.0
FIRST_ERROR_STATUS: Final = 400

# An unreachable peer does not acknowledge keep-alive probes and is detected within
# about 4 s; a peer whose process is only slow still acknowledges packets.
KEEPALIVE_IDLE_SECONDS: Final = 2
KEEPALIVE_INTERVAL_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 2
TCP_USER_TIMEOUT_MS: Final = 2_000

# Error code of a control process that is not the leader; the detail names the leader.
CODE_NOT_LEADER: Final = "not_leader"
# Error code of a message that the receiver cannot read; it has run nothing.
CODE_BAD_REQUEST: Final = "bad_request"

# Log lines queued while the output blocks; about 1 MB at 250 bytes a line.
LOG_QUEUE_LINES: Final = 4_096
# Maximum time of each of the two waits at process exit for queued lines.
LOG_FLUSH_SECONDS: Final = 0.5
# Rate limit and burst per event: enough lines to diagnose a cause, and at 0.1 ms a line
# less than a hundredth of a core for each event.
LOG_LINES_PER_SECOND: Final = 20.0
LOG_BURST_LINES: Final = 200.0
# Lines for each second, and at once, that are the first ones on their subject.
LOG_FIRST_LINES_PER_SECOND: Final = 20.0
LOG_FIRST_BURST_LINES: Final = 400.0
# Subjects that are remembered.
LOG_SUBJECTS: Final = 4_096

# Time before all others, for events that have not happened yet.
NEVER: Final = float("-inf")
