"""Client for the followed primary's log, over MySQL's protocol."""

import contextlib
import socket
from typing import Final

import pymysql
from dogwoodspool_common import Position

from . import const
from .errors import ReplicationError
from .models import Link, LogBatch, LogEntry

_LOG: Final = "STANDIN LOG TERM %d AFTER %d LIMIT %d WAIT %d"


class LogSource:
    """A connection to the followed primary."""

    def __init__(self, link: Link, shared_key: str, failure_domain: str) -> None:
        self._socket = socket.create_connection(
            (link.address.host, link.address.port), const.REPLICATION_TIMEOUT
        )
        self._connection = pymysql.connections.Connection(
            defer_connect=True,
            user=const.REPLICATION_USER,
            password=shared_key,
            program_name=failure_domain,
            connect_timeout=const.REPLICATION_TIMEOUT,
            read_timeout=const.REPLICATION_TIMEOUT,
            write_timeout=const.REPLICATION_TIMEOUT,
            autocommit=None,
        )

    def open(self) -> None:
        """Log in."""
        self._connection.connect(self._socket)

    def pull(self, last: Position, wait_ms: int) -> LogBatch:
        """Request the log entries after ``last``, waiting up to ``wait_ms`` for one.

        Raises:
            ReplicationError: the answer has no rows.
            pymysql.MySQLError: the source reports an error, or the network does.
        """
        statement = _LOG % (last.term, last.offset, const.REPLICATION_BATCH, wait_ms)
        with self._connection.cursor() as cursor:
            cursor.execute(statement)
            rows = cursor.fetchall()
        if not rows:
            raise ReplicationError("the source returned no rows for STANDIN LOG")
        term, last_offset, is_match, waited_ms, failure_domain = rows[0][:5]
        entries = tuple(
            LogEntry.from_json(*row[5:]) for row in rows if row[5] is not None
        )
        return LogBatch(
            term, last_offset, bool(is_match), waited_ms, failure_domain, entries
        )

    def interrupt(self) -> None:
        """Interrupt another thread that waits for an answer."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection, also if the other side no longer responds."""
        with contextlib.suppress(pymysql.MySQLError, OSError):
            self._connection.close()
        self._socket.close()
