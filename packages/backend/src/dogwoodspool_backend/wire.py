"""PyMySQL connection with deadlines, raw values and the server's status flags.

All uses of PyMySQL's private names are in this module; the version of PyMySQL is
pinned because of them.
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
    ATTR_ACCOUNT,
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
FIRST_RESPONSE_SEQUENCE: Final = 1


if TYPE_CHECKING:
    PyMySqlConnection = pymysql.Connection[Any]
else:
    PyMySqlConnection = pymysql.Connection  # Generic in its type stubs only.


class Wire(PyMySqlConnection):
    """PyMySQL connection that returns values as raw bytes."""

    server_status: int

    def __init__(
        self,
        server: BackendServer,
        credentials: Credentials,
        failure_domain: str,
        clock: Clock,
        deadline: float,
        account: str = "",
    ) -> None:
        """Connect and log in before the deadline.

        The server is told the client account as a connection attribute.

        Raises:
            OSError: the TCP connection could not be established.
            pymysql.MySQLError: the server refused the connection.
        """
        super().__init__(
            host=server.address.host,
            port=server.address.port,
            user=credentials.user,
            password=credentials.password,
            database=server.group,
            charset=CHARSET,
            autocommit=True,
            conv={bool: escape_bool},  # For SET AUTOCOMMIT; values are not decoded.
            use_unicode=False,
            ssl_disabled=True,
            program_name=PROGRAM_NAME,
            defer_connect=True,
        )
        attributes: dict[str, str] = cast(Any, self)._connect_attrs
        attributes[ATTR_FAILURE_DOMAIN] = failure_domain
        if account:
            attributes[ATTR_ACCOUNT] = account
        remaining = max(deadline - clock.now(), 0.001)
        address = (server.address.host, server.address.port)
        connected = socket.create_connection(address, remaining)
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        self._deadline_socket = DeadlineSocket(connected, clock, deadline)
        self.connect(cast(socket.socket, self._deadline_socket))

    @property
    def in_transaction(self) -> bool:
        """Return whether the server reported an open transaction in its last answer."""
        return bool(self.server_status & SERVER_STATUS.SERVER_STATUS_IN_TRANS)

    @property
    def has_timed_out(self) -> bool:
        """Return whether a wait for the server ended at its deadline."""
        return self._deadline_socket.has_timed_out

    def set_deadline(self, deadline: float) -> None:
        """Set the deadline of all further waits, in clock seconds."""
        self._deadline_socket.set_deadline(deadline)

    def has_input(self) -> bool:
        """Return whether unread bytes or the end of the stream are available."""
        return self._deadline_socket.has_input()

    def send_query(self, sql: bytes) -> MySQLResult:
        """Send a statement and read its answer up to the first row."""
        self.query(sql, unbuffered=True)
        return cast(MySQLResult, cast(Any, self)._result)

    def read_row(self, result: MySQLResult) -> Row | None:
        """Return the next row of an answer, None at its end."""
        row = cast(Any, result)._read_rowdata_packet_unbuffered()
        return cast(Row | None, row)

    def reset_session(self) -> None:
        """Reset the session state in one round trip.

        The commands are sent together, because connections are scarce and no
        caller can use the connection during a reset. COM_RESET_CONNECTION also
        reverts SET NAMES, which therefore follows it, and restores the server's
        default autocommit mode, which needs a second round trip only if that
        default is off.
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
            inner._next_seq_id = FIRST_RESPONSE_SEQUENCE
            inner._read_ok_packet()
        self.autocommit(True)

    def quit(self) -> None:
        """Send the quit command and close the socket.

        The command is written to the socket's send buffer; nothing waits for the
        server.
        """
        if self.open:
            self.close()

    def abandon(self) -> None:
        """Close the socket at once, without sending the quit command.

        The pending result is marked as inactive first, since PyMySQL's destructor
        would otherwise read the rest of a partially read answer.
        """
        inner = cast(Any, self)
        if inner._result is not None:
            inner._result.unbuffered_active = False
        inner._force_close()

    def _read_packet(self, packet_type: Any = MysqlPacket) -> Any:
        # PyMySQL discards the status flags at the end of a result set, which tell
        # whether a read has opened a transaction.
        packet = cast(Any, super())._read_packet(packet_type)
        if packet.is_eof_packet():
            data = packet.get_all_data()
            if len(data) == EOF_STATUS.size:
                _warnings, self.server_status = EOF_STATUS.unpack(data)
        return packet


def columns_of(result: MySQLResult) -> tuple[Column, ...]:
    """Return the columns of an answer; empty if it is not a result set."""
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
