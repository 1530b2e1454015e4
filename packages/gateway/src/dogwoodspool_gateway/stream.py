"""A caller's byte stream with a bound on the size of one packet."""

import struct
from asyncio import StreamReader, StreamWriter
from collections.abc import Iterator, Sequence
from ssl import SSLContext

from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.stream import ConnectionClosed, MysqlStream

from .const import MAX_PACKET_BYTES
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
    """

    def __init__(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        max_packet_bytes: int = MAX_PACKET_BYTES,
    ) -> None:
        self._stream = MysqlStream(reader, writer)
        self._max_packet_bytes = max_packet_bytes

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
        await self._stream.start_tls(context)

    def reset_seq(self) -> None:
        """Begin a new exchange of packets."""
        self._stream.reset_seq()

    def close(self) -> None:
        """Close the connection once what was written is sent."""
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
            return await self._stream.reader.readexactly(length)
        except (EOFError, ConnectionError) as error:
            raise ConnectionClosed from error
