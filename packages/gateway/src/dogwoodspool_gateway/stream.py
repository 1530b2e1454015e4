"""Packet stream of a caller with a limit on the size of a request."""

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
    """Read packets from a caller and write packets to it.

    The library's reader joins packets without a size limit, so that a caller could
    exhaust the proxy's memory, and it reports a truncated header as malformed. This
    reader rejects oversized requests and treats a truncated header as the end of the
    connection. The library's class is compiled and cannot be subclassed, so its
    write methods are called from here.

    A caller that uses TLS sends the TLS request and directly after it the first TLS
    record. If both were read at once, the record would remain in the unencrypted
    reader's buffer and the handshake would fail, but only for fast callers. Until
    the end of the handshake, no more than the size of the TLS request is therefore
    received at a time, and the reader pauses its transport when it holds that much.
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
        """Raise the receive limits that apply during the handshake."""
        reader = self._stream.reader
        reader._limit = COMMAND_READ_LIMIT  # type: ignore[attr-defined]
        _receive_at_most(self._stream.writer, COMMAND_RECEIVE_BYTES)

    @property
    def seq(self) -> Iterator[int]:
        """Return the sequence numbers of packets, shared by both directions."""
        return self._stream.seq

    async def write(self, data: bytes, drain: bool = True) -> None:
        """Send a packet."""
        await self._stream.write(data, drain)

    def write_many(self, packets: Sequence[bytes]) -> None:
        """Write packets to the send buffer."""
        self._stream.write_many(packets)

    async def drain(self) -> None:
        """Send the buffered data and wait until the caller receives it."""
        await self._stream.drain()

    async def start_tls(self, context: SSLContext) -> None:
        """Switch the connection to TLS."""
        # The reader learns about the encrypted transport only at the end of the call
        # below. If the reader paused before that, it would pause the unencrypted
        # transport and later resume the encrypted one, and the connection would hang.
        self.end_handshake()
        await self._stream.start_tls(context)

    def reset_seq(self) -> None:
        """Reset the sequence number for a new command."""
        self._stream.reset_seq()

    def close_with(self, data: bytes) -> None:
        """Send a packet after the buffered data and close, without waiting.

        What is written later is dropped.
        """
        self._stream.write_many([data])
        # The library's method to send the buffer waits for the caller to receive it.
        self._stream.writer.write(self._stream._buffer)
        self._stream._buffer = bytearray()
        self.close()

    def close(self) -> None:
        """Close the connection after sending the buffered data; stop reading."""
        self._is_closed = True
        self._stream.writer.close()

    async def read(self) -> bytes:
        """Read a request.

        Raises:
            ConnectionClosed: the caller disconnected, possibly within a packet.
            PacketTooLargeError: the request exceeds the size limit; the connection
                cannot be used further, because the rest of the request is unread.
        """
        data = bytearray()
        while True:
            header = await self._read_exactly(_HEADER.size)
            word = _HEADER.unpack(header)[0]
            length, sequence = word & _LENGTH_MASK, word >> _SEQUENCE_SHIFT
            expected = next(self.seq)
            if sequence != expected:
                raise MysqlError(
                    f"packet has sequence number {sequence}, {expected} was expected",
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
    # The event loop's socket transport has no method to set the receive size.
    setattr(writer.transport, "max_size", size)  # noqa: B010
