"""A stream that returns bytes which were read ahead, before those of the underlying stream."""

from __future__ import annotations

import trio


class PrefixedStream(trio.abc.Stream):
    """Returns `prefix` before what `stream` receives, and delegates everything else to `stream`."""

    def __init__(self, stream: trio.abc.Stream, prefix: bytes) -> None:
        """Takes ownership of `stream`."""
        self._stream = stream
        self._prefix = prefix

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        """Receive the whole prefix first, even if it is longer than `max_bytes`."""
        if self._prefix:
            await trio.lowlevel.checkpoint()
            prefix = self._prefix
            self._prefix = b""
            return prefix
        return await self._stream.receive_some(max_bytes)

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send through the underlying stream."""
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait for the underlying stream."""
        await self._stream.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        """Close the underlying stream."""
        await self._stream.aclose()
