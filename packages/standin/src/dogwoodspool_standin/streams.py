"""Reader and writer of a caller's connection, which can be silenced."""

import asyncio
from typing import Final

from .errors import ConnectionCutError

_HEADER_BYTES: Final = 4
_DISCARD_CHUNK_BYTES: Final = 65_536


class CallerReader(asyncio.StreamReader):
    """Read complete packet headers, or discard all input once silenced."""

    is_silenced = False

    async def read(self, n: int = -1) -> bytes:
        """Read a packet's header completely.

        mysql-mimic treats the result of one read as the complete header. If the
        network splits a header, that read is short and the connection would lose
        its position in the stream, so exactly ``n`` bytes are read here.
        """
        if n != _HEADER_BYTES:
            return await super().read(n)
        try:
            return await self.readexactly(n)
        except asyncio.IncompleteReadError:
            return b""

    async def readexactly(self, n: int) -> bytes:
        """Read exactly ``n`` bytes, or discard all input once silenced."""
        data = await super().readexactly(n)
        return await self._discard_input() if self.is_silenced else data

    async def _discard_input(self) -> bytes:
        while await super().read(_DISCARD_CHUNK_BYTES):
            pass
        raise ConnectionCutError


class CallerWriter:
    """Write answers, or discard them once silenced.

    It replaces the ``asyncio.StreamWriter`` that mysql-mimic expects and implements
    the methods that mysql-mimic calls.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.is_silenced = False
        self._writer = writer

    @property
    def transport(self) -> asyncio.WriteTransport:
        """The underlying transport, used to abort the connection."""
        return self._writer.transport

    def write(self, data: bytes) -> None:
        """Send data unless silenced."""
        if not self.is_silenced:
            self._writer.write(data)

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        if not self.is_silenced:
            await self._writer.drain()
