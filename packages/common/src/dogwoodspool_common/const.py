"""Constants shared by all libraries and programs."""

from typing import Final

VERSION: Final = "0.1.0"

HEADER_SIGNATURE: Final = "X-Dogwoodspool-Signature"
HEADER_TRACEPARENT: Final = "traceparent"

DEFAULT_HTTP_TIMEOUT: Final = 2.0
# Above the round trip between regions (40 ms), and below the 1 s after which a lost
# opening packet would be sent again: another try is sooner.
HTTP_CONNECT_TIMEOUT: Final = 0.4
DEFAULT_HTTP_THREADS: Final = 32
# Connections that one server keeps open, most of them idle ones of proxies that have
# asked it before; within the descriptors of a small instance.
MAX_HTTP_CONNECTIONS: Final = 3_000
MAX_HTTP_BODY_BYTES: Final = 8 * 1024 * 1024

# Messages of one line: what is read at a time, the longest one, and the connections of
# peers that are served, each by a thread.
LINE_READ_BYTES: Final = 64 * 1024
MAX_LINE_BYTES: Final = 4 * 1024 * 1024
MAX_LINE_CONNECTIONS: Final = 1_000
LINE_BACKLOG: Final = 512

MILLISECONDS: Final = 1000.0
FIRST_ERROR_STATUS: Final = 400

# A peer that is cut off answers no keep-alive: found within about 4 s, while a process
# that is only slow still acknowledges packets.
KEEPALIVE_IDLE_SECONDS: Final = 2
KEEPALIVE_INTERVAL_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 2
UNACKNOWLEDGED_MS: Final = 2_000

# A control process that does not lead answers with this code, and names the leader.
CODE_NOT_LEADER: Final = "not_leader"

# Lines that wait for a reader of the output; about 1 MB at 250 bytes a line.
LOG_QUEUE_LINES: Final = 4_096
# Longest wait at the end of a process for its last lines to be read.
LOG_FLUSH_SECONDS: Final = 0.5
# Lines of one kind of event: enough to find each cause in, and at 0.1 ms a line
# below a hundredth of a core for each kind.
LOG_LINES_PER_SECOND: Final = 20.0
LOG_BURST_LINES: Final = 200.0

# Clock time before all others, for what has not happened yet.
NEVER: Final = float("-inf")
