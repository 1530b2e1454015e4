"""A caller's byte stream with a bound on the size of one packet."""

import struct
from asyncio import StreamReader, StreamWriter
from collections.abc import Iterator, Sequence
from ssl import SSLContext

from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.stream import ConnectionClosed, MysqlStream

from .const import (
    COMMAND_READ_LIMIT,
    COMMAND_RECEIVE_BYTES,
    MAX_PACKET_BYTES,
    TLS_REQUEST_BYTES,
)
from .errors import PacketTooLargeError

_HEADER = struct.Struct("<I")
_LENGTH_MASK = 0x00FFFFFF
_SEQUENCE_SHIFT = 24


class CallerStream:
    """Packets from and to one caller.

    The library's own reader joins packets without a bound, so that one caller
    could fill the proxy's memory, and it takes a header cut short for a
    malformed one. This reader refuses the first and ends on the second. The
    library's class is compiled and takes no subclass, so its writing half is
    called from here.

    A caller that wants TLS sends its request for it and right behind it the first
    TLS record. Were both read at once, the record would lie in the plain reader
    and the handshake would fail, for the faster callers only. So until the
    handshake has ended no more than the request's size is received at a time, and
    the reader pauses its transport once it holds that much.
    """

    def __init__(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        max_packet_bytes: int = MAX_PACKET_BYTES,
    ) -> None:
        self._stream = MysqlStream(reader, writer)
        self._max_packet_bytes = max_packet_bytes
        self._is_closed = False
        _receive_at_most(writer, TLS_REQUEST_BYTES)

    def end_handshake(self) -> None:
        """Receive as much at a time as there is."""
        reader = self._stream.reader
        reader._limit = COMMAND_READ_LIMIT  # type: ignore[attr-defined]
        _receive_at_most(self._stream.writer, COMMAND_RECEIVE_BYTES)

    @property
    def seq(self) -> Iterator[int]:
        """The sequence numbers of packets, shared by both directions."""
        return self._stream.seq

    async def write(self, data: bytes, drain: bool = True) -> None:
        """Send one packet."""
        await self._stream.write(data, drain)

    def write_many(self, packets: Sequence[bytes]) -> None:
        """Buffer packets."""
        self._stream.write_many(packets)

    async def drain(self) -> None:
        """Send what is buffered and wait until the caller takes it."""
        await self._stream.drain()

    async def start_tls(self, context: SSLContext) -> None:
        """Go on encrypted."""
        # The encrypted transport is known to the reader only at the end of the
        # call below. Were the reader to pause before, it would pause the plain one
        # and go on with the other, and the connection would stand still.
        self.end_handshake()
        await self._stream.start_tls(context)

    def reset_seq(self) -> None:
        """Begin a new exchange of packets."""
        self._stream.reset_seq()

    def close(self) -> None:
        """Close the connection once what was written is sent; read no more."""
        self._is_closed = True
        self._stream.writer.close()

    async def read(self) -> bytes:
        """Read one request.

        Raises:
            ConnectionClosed: the caller is gone, also in the middle of a packet.
            PacketTooLargeError: the request is above the bound; the connection
                cannot go on, since the rest of it is still to come.
        """
        data = bytearray()
        while True:
            header = await self._read_exactly(_HEADER.size)
            word = _HEADER.unpack(header)[0]
            length, sequence = word & _LENGTH_MASK, word >> _SEQUENCE_SHIFT
            expected = next(self.seq)
            if sequence != expected:
                raise MysqlError(
                    f"packet {sequence} where {expected} is due",
                    ErrorCode.MALFORMED_PACKET,
                )
            if len(data) + length > self._max_packet_bytes:
                raise PacketTooLargeError(
                    f"the request has more than {self._max_packet_bytes} bytes"
                )
            data += await self._read_exactly(length)
            if length < _LENGTH_MASK:
                return bytes(data)

    async def _read_exactly(self, length: int) -> bytes:
        try:
            data = await self._stream.reader.readexactly(length)
        except (EOFError, ConnectionError) as error:
            raise ConnectionClosed from error
        if self._is_closed:
            raise ConnectionClosed
        return data


def _receive_at_most(writer: StreamWriter, size: int) -> None:
    # The event loop's socket transport has it as an attribute only.
    setattr(writer.transport, "max_size", size)  # noqa: B010
