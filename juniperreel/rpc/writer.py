"""Writes what an HTTP/2 connection has queued to its socket, and knows how far that has got."""

from __future__ import annotations

from collections.abc import Callable

import trio

from juniperreel.rpc.http2 import Http2Protocol
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.wakeup import Wakeup


class ConnectionWriter:
    """Moves `protocol.out` to the socket. `run` does the work."""

    def __init__(
        self,
        protocol: Http2Protocol,
        transport: trio.abc.Stream,
        limits: Limits,
        abort: Callable[[str], None],
    ) -> None:
        """`abort` ends the connection, with a reason."""
        self._protocol = protocol
        self._transport = transport
        self._max_queued = limits.control_buffer + limits.send_buffer
        self._abort = abort
        self._sent = 0  # bytes handed to the socket; what waits is in the protocol's `out`
        self._written = 0  # of those, taken by it
        self._has_work = Wakeup()
        self._finishing = False
        self.progressed = Wakeup()  # bytes were written, or the connection is over

    @property
    def sent(self) -> int:
        """Bytes that were handed to the socket: the peer may have seen them."""
        return self._sent

    @property
    def queued(self) -> int:
        """Bytes that were ever queued, those sent included."""
        return self._sent + len(self._protocol.out)

    def flush(self) -> None:
        """Let what was queued be written."""
        waiting = len(self._protocol.out)
        if waiting > self._max_queued:
            # Danger: the answers to pings and resets of a peer that never reads would fill the memory.
            self._abort("the peer does not read")
        if waiting:
            self._has_work.wake()

    def finish(self) -> None:
        """End the connection once all is written."""
        self._finishing = True
        self._has_work.wake()

    async def run(self) -> None:
        """Write until cancelled or the connection breaks."""
        while True:
            while not self._protocol.out:
                if self._finishing:
                    self._abort("finished")
                await self._has_work.wait()
            chunk = self._protocol.out
            self._protocol.out = bytearray()
            self._sent += len(chunk)
            try:
                await self._transport.send_all(chunk)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                self._abort(f"the connection broke while writing: {error.__cause__ or error}")
                return
            self._written += len(chunk)
            self.progressed.wake()

    async def wait_written(self, target: int, closed: trio.Event) -> None:
        """Wait until the first `target` bytes are written, or the connection is closed."""
        while self._written < target and not closed.is_set():
            await self.progressed.wait()

    async def wait_all_written(self) -> None:
        """Wait until nothing is queued."""
        while self._written < self.queued:
            await self.progressed.wait()
