"""A stream of which some bytes were read before its reader was known."""

from __future__ import annotations

import trio


class PrefixedStream(trio.abc.Stream):
    """Yields `prefix` ahead of what `stream` receives; everything else is the stream's."""

    def __init__(self, stream: trio.abc.Stream, prefix: bytes) -> None:
        """Owns `stream` from now on."""
        self._stream = stream
        self._prefix = prefix

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        """Receive the whole prefix first, whatever its length."""
        if self._prefix:
            await trio.lowlevel.checkpoint()
            prefix = self._prefix
            self._prefix = b""
            return prefix
        return await self._stream.receive_some(max_bytes)

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """As the stream's."""
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """As the stream's."""
        await self._stream.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        """Close the stream."""
        await self._stream.aclose()
