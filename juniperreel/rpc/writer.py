"""Writes the queued data of an HTTP/2 connection to its socket, and tracks how much was written."""

from __future__ import annotations

from collections.abc import Callable

import trio

from juniperreel.rpc.http2 import Http2Protocol
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.wakeup import Wakeup


class ConnectionWriter:
    """Writes `protocol.out` to the socket. `run` must be running."""

    def __init__(
        self,
        protocol: Http2Protocol,
        transport: trio.abc.Stream,
        limits: Limits,
        abort: Callable[[str], None],
    ) -> None:
        """`abort` closes the connection with a reason."""
        self._protocol = protocol
        self._transport = transport
        self._max_queued = limits.control_buffer + limits.send_buffer
        self._abort = abort
        self._sent = 0  # bytes passed to `send_all`; the others are still in the protocol's `out`
        self._written = 0  # of those, bytes for which `send_all` has returned
        self._has_work = Wakeup()
        self._finishing = False
        self.progressed = Wakeup()  # bytes were written, or the connection has ended

    @property
    def sent(self) -> int:
        """Bytes passed to the socket, which the peer may have received."""
        return self._sent

    @property
    def queued(self) -> int:
        """Total of bytes ever queued, including those sent."""
        return self._sent + len(self._protocol.out)

    def flush(self) -> None:
        """Wake `run` to write the queued data."""
        waiting = len(self._protocol.out)
        if waiting > self._max_queued:
            # If the peer never reads, responses to its control frames would use unbounded memory.
            self._abort("the peer does not read")
        if waiting:
            self._has_work.wake()

    def finish(self) -> None:
        """Close the connection once all queued data is written."""
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
        """Wait until all queued data is written."""
        while self._written < self.queued:
            await self.progressed.wait()
