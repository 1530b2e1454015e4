"""Know since when the process behind a pool's connections has been running."""

from dogwoodspool_common.const import NEVER


class ProcessRun:
    """The time for which one process of a server is known to have run.

    An answer shows that the process at the other end has been running from the time at
    which its connection was opened to the time at which the request was sent. Two such
    spans that overlap belong to one process, as no other one accepts connections at
    its address meanwhile. A pool in constant use thus knows its server's process for
    longer than it keeps any connection.
    """

    def __init__(self) -> None:
        self._since = NEVER
        self._until = NEVER

    @property
    def since(self) -> float:
        """Clock seconds since which the process of the last span is known to run."""
        return self._since

    def record(self, since: float, until: float) -> float:
        """Record a span of an answer; return since when its process is known to run.

        Args:
            since: clock seconds at which the process was known to run before.
            until: clock seconds before the request was sent.
        """
        if until <= self._since:
            return since
        if since < self._until:
            self._since = min(self._since, since)
            self._until = max(self._until, until)
        else:
            self._since, self._until = since, until
        return self._since

    def expected(self, since: float) -> float:
        """Return what an answer to a request that is sent now would show.

        Args:
            since: clock seconds since which the process at the other end of an open
                connection is known to run.
        """
        return min(self._since, since) if since < self._until else since
