"""PyMySQL's connection, with deadlines, raw values and the server's flags.

Every use of a name that PyMySQL keeps to itself is in this module; its version is
pinned.
"""

import socket
import struct
from typing import TYPE_CHECKING, Any, Final, cast

import pymysql
from dogwoodspool_common import BackendServer, Clock
from pymysql.connections import MySQLResult
from pymysql.constants import COMMAND, SERVER_STATUS
from pymysql.converters import escape_bool
from pymysql.protocol import MysqlPacket

from .const import (
    ATTR_FAILURE_DOMAIN,
    CHARSET,
    COM_RESET_CONNECTION,
    PROGRAM_NAME,
    SQL_ROLLBACK,
    SQL_SET_NAMES,
)
from .deadline_socket import DeadlineSocket
from .models import Column, Credentials, Row

EOF_STATUS: Final = struct.Struct("<xHH")
FIRST_ANSWER_SEQUENCE: Final = 1


if TYPE_CHECKING:
    PyMySqlConnection = pymysql.Connection[Any]
else:
    PyMySqlConnection = pymysql.Connection  # Generic in its type stubs only.


class Wire(PyMySqlConnection):
    """One connection of PyMySQL whose values pass through as raw bytes."""

    server_status: int

    def __init__(
        self,
        server: BackendServer,
        credentials: Credentials,
        failure_domain: str,
        clock: Clock,
        deadline: float,
    ) -> None:
        """Connect and log in before the deadline.

        Raises:
            OSError: when the TCP connection does not come up.
            pymysql.MySQLError: when the server refuses.
        """
        super().__init__(
            host=server.address.host,
            port=server.address.port,
            user=credentials.user,
            password=credentials.password,
            database=server.group,
            charset=CHARSET,
            autocommit=True,
            conv={bool: escape_bool},  # For SET AUTOCOMMIT; no decoders.
            use_unicode=False,
            ssl_disabled=True,
            program_name=PROGRAM_NAME,
            defer_connect=True,
        )
        attributes: dict[str, str] = cast(Any, self)._connect_attrs
        attributes[ATTR_FAILURE_DOMAIN] = failure_domain
        remaining = max(deadline - clock.now(), 0.001)
        address = (server.address.host, server.address.port)
        connected = socket.create_connection(address, remaining)
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        self._deadline_socket = DeadlineSocket(connected, clock, deadline)
        self.connect(cast(socket.socket, self._deadline_socket))

    @property
    def in_transaction(self) -> bool:
        """Tell whether the server's last answer was inside a transaction."""
        return bool(self.server_status & SERVER_STATUS.SERVER_STATUS_IN_TRANS)

    @property
    def has_timed_out(self) -> bool:
        """Tell whether a wait for the server ended at its deadline."""
        return self._deadline_socket.has_timed_out

    def set_deadline(self, deadline: float) -> None:
        """Bound all further waits, in the clock's seconds."""
        self._deadline_socket.set_deadline(deadline)

    def has_input(self) -> bool:
        """Tell whether bytes that no statement asked for, or the end, are there."""
        return self._deadline_socket.has_input()

    def send_query(self, sql: bytes) -> MySQLResult:
        """Send a statement and read its answer up to the first row."""
        self.query(sql, unbuffered=True)
        return cast(MySQLResult, cast(Any, self)._result)

    def read_row(self, result: MySQLResult) -> Row | None:
        """Read the next row of an answer, None at its end."""
        row = cast(Any, result)._read_rowdata_packet_unbuffered()
        return cast(Row | None, row)

    def reset_session(self) -> None:
        """Give the connection a fresh session in one round trip.

        The commands are sent together: a reset is paid for between two callers on
        a scarce connection. COM_RESET_CONNECTION also undoes SET NAMES, which
        therefore follows it, and brings back the server's own autocommit mode,
        which needs a second round trip only where that is off.
        """
        commands = (
            (COMMAND.COM_QUERY, SQL_ROLLBACK),
            (COM_RESET_CONNECTION, ""),
            (COMMAND.COM_QUERY, SQL_SET_NAMES),
        )
        packets = b"".join(_packet(number, text) for number, text in commands)
        inner = cast(Any, self)
        inner._result = None
        inner._write_bytes(packets)
        for _command in commands:
            inner._next_seq_id = FIRST_ANSWER_SEQUENCE
            inner._read_ok_packet()
        self.autocommit(True)

    def quit(self) -> None:
        """Tell the server that the session ends and close the socket.

        The word goes into the socket's buffer; nothing waits for the server.
        """
        if self.open:
            self.close()

    def abandon(self) -> None:
        """Close the socket at once, without a word to the server.

        An answer half read would make PyMySQL's destructor read the rest.
        """
        inner = cast(Any, self)
        if inner._result is not None:
            inner._result.unbuffered_active = False
        inner._force_close()

    def _read_packet(self, packet_type: Any = MysqlPacket) -> Any:
        # PyMySQL drops the flags that end a result set, and with them the answer
        # to whether a read has opened a transaction.
        packet = cast(Any, super())._read_packet(packet_type)
        if packet.is_eof_packet():
            data = packet.get_all_data()
            if len(data) == EOF_STATUS.size:
                _warnings, self.server_status = EOF_STATUS.unpack(data)
        return packet


def columns_of(result: MySQLResult) -> tuple[Column, ...]:
    """Return the columns of an answer, none when it is no result set."""
    fields = getattr(result, "fields", ())
    return tuple(
        Column(
            name=field.name,
            type_code=field.type_code,
            charset=field.charsetnr,
            flags=field.flags,
            length=field.length,
            decimals=field.scale,
        )
        for field in fields
    )


def _packet(command: int, text: str) -> bytes:
    body = bytes([command]) + text.encode()
    return struct.pack("<i", len(body)) + body
