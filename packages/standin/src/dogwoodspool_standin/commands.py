"""The stand-in's own statements: status, wait, promote, follow, fence, log."""

import re
from collections.abc import Sequence
from typing import Any, Final, Protocol

from dogwoodspool_common import Address, Position, ServerStatus
from dogwoodspool_common.const import MILLISECONDS

from .const import LOG_COLUMNS, MAX_LOG_LIMIT, MAX_WAIT_MS, STATUS_COLUMNS
from .errors import SyntaxStatementError
from .member import GroupMember
from .models import LogBatch, Rows

_STATUS: Final = re.compile(r"SHOW\s+STANDIN\s+STATUS$", re.IGNORECASE)
_WAIT: Final = re.compile(
    r"STANDIN\s+WAIT\s+TERM\s+(\d+)\s+OFFSET\s+(\d+)\s+TIMEOUT\s+(\d+)$", re.IGNORECASE
)
_PROMOTE: Final = re.compile(r"STANDIN\s+PROMOTE\s+TERM\s+(\d+)$", re.IGNORECASE)
_FOLLOW: Final = re.compile(
    r"STANDIN\s+FOLLOW\s+'([^']+)'\s+TERM\s+(\d+)$", re.IGNORECASE
)
_FENCE: Final = re.compile(r"STANDIN\s+FENCE\s+TERM\s+(\d+)$", re.IGNORECASE)
_LOG: Final = re.compile(
    r"STANDIN\s+LOG\s+TERM\s+(\d+)\s+AFTER\s+(\d+)\s+LIMIT\s+(\d+)\s+WAIT\s+(\d+)$",
    re.IGNORECASE,
)


class WriterConnections(Protocol):
    """Connections of callers that may hold an open write transaction."""

    def drop_writers(self) -> None:
        """Close the connections that hold a write transaction."""
        ...


class LinkFollower(Protocol):
    """Component that pulls the log over the current link."""

    def link_changed(self) -> None:
        """Switch to the current link."""
        ...


class StandinCommands:
    """Execute the stand-in's own statements, which need no slot.

    Args:
        member: this server.
        slots: number of statements that it runs concurrently.
        connections: maximum number of connections of callers.
        writers: connections with a write transaction, closed when the server
            becomes a replica.
        follower: notified when the server is to follow another one, or none.
    """

    def __init__(
        self,
        member: GroupMember,
        slots: int,
        connections: int,
        writers: WriterConnections,
        follower: LinkFollower,
    ) -> None:
        self._member = member
        self._slots = slots
        self._connections = connections
        self._writers = writers
        self._follower = follower

    def is_command(self, sql: str) -> bool:
        """Return whether a ``SHOW`` statement is one of the stand-in's own."""
        return _STATUS.match(sql) is not None

    def execute(self, sql: str) -> Rows:
        """Execute one statement.

        Raises:
            SyntaxStatementError: it is not one of the stand-in's statements.
            StatementError: the server rejects it.
        """
        if _STATUS.match(sql):
            return self._status_rows(self._member.status())
        if match := _WAIT.match(sql):
            term, offset, timeout_ms = _numbers(match.groups())
            timeout = min(timeout_ms, MAX_WAIT_MS) / MILLISECONDS
            status = self._member.wait_for(Position(term, offset), timeout)
            return self._status_rows(status)
        if match := _PROMOTE.match(sql):
            return self._promote(int(match.group(1)))
        if match := _FOLLOW.match(sql):
            return self._follow(match.group(1), int(match.group(2)))
        if match := _FENCE.match(sql):
            return self._status_rows(self._member.fence(int(match.group(1))))
        if match := _LOG.match(sql):
            return self._read_log(*_numbers(match.groups()))
        raise SyntaxStatementError(f"not a statement of the stand-in: '{sql[:60]}'")

    def _promote(self, term: int) -> Rows:
        status = self._member.promote(term)
        self._follower.link_changed()
        return self._status_rows(status)

    def _follow(self, address: str, term: int) -> Rows:
        try:
            target = Address.parse(address)
        except ValueError as error:
            raise SyntaxStatementError(str(error)) from error
        status = self._member.follow(target, term)
        # Their transactions can no longer commit here, but would block replication
        # by holding the write lock until their callers return, possibly forever.
        self._writers.drop_writers()
        self._follower.link_changed()
        return self._status_rows(status)

    def _read_log(self, term: int, after: int, limit: int, wait_ms: int) -> Rows:
        wait = min(wait_ms, MAX_WAIT_MS) / MILLISECONDS
        limit = min(limit, MAX_LOG_LIMIT)
        return _log_rows(self._member.read_log(Position(term, after), limit, wait))

    def _status_rows(self, status: ServerStatus) -> Rows:
        row = (
            status.server,
            str(status.role),
            status.position.term,
            status.position.offset,
            status.lag_ms,
            self._slots,
            self._connections,
            int(status.is_leaving),
        )
        return Rows(STATUS_COLUMNS, [row], is_complete=True)


def _log_rows(batch: LogBatch) -> Rows:
    head = (
        batch.source_term,
        batch.last_offset,
        int(batch.is_match),
        batch.waited_ms,
        batch.failure_domain,
    )
    rows: list[Sequence[Any]] = [
        (*head, entry.offset, entry.term, entry.statements_json())
        for entry in batch.entries
    ]
    return Rows(LOG_COLUMNS, rows or [(*head, None, None, None)], is_complete=True)


def _numbers(groups: Sequence[str]) -> tuple[int, ...]:
    return tuple(int(text) for text in groups)
