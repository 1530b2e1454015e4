"""Callers: connections of a standard driver, with the proxy's replies to them."""

import re
import time
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any, Final

import pymysql
from dogwoodspool_testbed import CallerConnection, Deployment, ProxyHandle

from .const import FAILED, GROUP, LOST, NOT_RUN, OK, UNKNOWN

_OUTCOME: Final = re.compile(rf"({NOT_RUN}|{UNKNOWN}|{FAILED}):")
_RETRY_AFTER: Final = re.compile(r"retry_after_ms=(\d+)")

Rows = tuple[tuple[Any, ...], ...]


@dataclass(frozen=True, slots=True)
class Reply:
    """Reply to one statement, as its caller received it.

    Attributes:
        outcome: first word of the error message; ``ok`` for an answer and ``lost``
            for a connection that ended without one.
        seconds: time from the request to the reply.
    """

    outcome: str
    text: str = ""
    rows: Rows = ()
    affected_rows: int = 0
    seconds: float = 0.0

    @property
    def is_ok(self) -> bool:
        """Return whether the statement was answered."""
        return self.outcome == OK

    @property
    def retry_after_ms(self) -> int | None:
        """Return the delay before a retry, None if the reply does not state one."""
        found = _RETRY_AFTER.search(self.text)
        return int(found.group(1)) if found else None

    def __str__(self) -> str:
        return f"{self.outcome} after {self.seconds:.2f} s: {self.text or self.rows}"


class Caller:
    """One caller connection; statements run one at a time."""

    def __init__(
        self,
        deployment: Deployment,
        proxy: ProxyHandle,
        group: str = GROUP,
        **options: Any,
    ) -> None:
        self.proxy = proxy
        self.session: str | None = None
        self.last = Reply(OK)
        self.replies: list[Reply] = []
        self._executor = ThreadPoolExecutor(1, "caller")
        self._pending: Future[Reply] | None = None
        self.connection: CallerConnection = deployment.connect(proxy, group, **options)

    @property
    def has_pending_reply(self) -> bool:
        """Return whether the reply to a started statement was not collected yet."""
        return self._pending is not None

    def run(self, sql: str, **properties: object) -> Reply:
        """Send a statement and wait for its reply."""
        return self._record(self._run(sql, properties))

    def start(self, sql: str, **properties: object) -> None:
        """Send a statement without waiting for its reply."""
        assert self._pending is None
        self._pending = self._executor.submit(self._run, sql, properties)

    def finish(self, seconds: float) -> Reply:
        """Wait for the reply to the statement that was started."""
        assert self._pending is not None
        pending, self._pending = self._pending, None
        return self._record(pending.result(seconds))

    def token(self) -> str:
        """Return the connection's session token."""
        reply = self.run("SELECT @@dogwoodspool_session")
        assert reply.is_ok, reply
        return str(reply.rows[0][0])

    def disconnect(self) -> None:
        """Close the socket without a quit message, as when a caller's process dies."""
        self.connection._force_close()  # type: ignore[attr-defined]

    def close(self) -> None:
        """Close the connection in whatever state it is."""
        self.disconnect()
        self._executor.shutdown(wait=False)

    def _run(self, sql: str, properties: dict[str, object]) -> Reply:
        if self.session is not None:
            properties = {"session": self.session, **properties}
        pairs = ",".join(f"{name}='{value}'" for name, value in properties.items())
        text = f"/*{pairs}*/ {sql}" if pairs else sql
        began_at = time.monotonic()
        try:
            with self.connection.cursor() as cursor:
                count = cursor.execute(text)
                rows = tuple(cursor.fetchall())
        except pymysql.MySQLError as error:
            message = str(error.args[-1]) if error.args else ""
            found = _OUTCOME.match(message)
            outcome = found.group(1) if found else LOST
            return Reply(outcome, message, seconds=time.monotonic() - began_at)
        seconds = time.monotonic() - began_at
        return Reply(OK, "", rows, int(count), seconds)

    def _record(self, reply: Reply) -> Reply:
        self.last = reply
        self.replies.append(reply)
        return reply
