"""The two ends of a caller's connection, which can be silenced."""

import asyncio
from typing import Final

from .errors import ConnectionCutError

_HEADER_BYTES: Final = 4
_SWALLOW_BYTES: Final = 65_536


class CallerReader(asyncio.StreamReader):
    """Read whole packet headers, or swallow everything once silenced."""

    is_silenced = False

    async def read(self, n: int = -1) -> bytes:
        """Read a packet's header.

        mysql-mimic takes what one read brings as the whole header. Where the
        network splits a header, that read is short and the connection would lose
        its place in the stream; reading exactly that many bytes keeps it.
        """
        if n != _HEADER_BYTES:
            return await super().read(n)
        try:
            return await self.readexactly(n)
        except asyncio.IncompleteReadError:
            return b""

    async def readexactly(self, n: int) -> bytes:
        """Read some bytes of a packet."""
        data = await super().readexactly(n)
        return await self._swallow() if self.is_silenced else data

    async def _swallow(self) -> bytes:
        while await super().read(_SWALLOW_BYTES):
            pass
        raise ConnectionCutError


class CallerWriter:
    """Write answers, or drop them once silenced.

    It stands where mysql-mimic expects an ``asyncio.StreamWriter`` and has what
    it uses of one.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.is_silenced = False
        self._writer = writer

    @property
    def transport(self) -> asyncio.WriteTransport:
        """The transport, to be cut off."""
        return self._writer.transport

    def write(self, data: bytes) -> None:
        """Send, unless silenced."""
        if not self.is_silenced:
            self._writer.write(data)

    async def drain(self) -> None:
        """Wait until the caller has taken enough."""
        if not self.is_silenced:
            await self._writer.drain()
