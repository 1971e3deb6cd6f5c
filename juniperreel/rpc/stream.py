"""One HTTP/2 stream as a sequence of gRPC messages, with flow control."""

from __future__ import annotations

from collections import deque
from typing import Protocol

import trio

from juniperreel.rpc.framing import Deframer
from juniperreel.rpc.header_blocks import HeaderBlock
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.metadata import Headers
from juniperreel.rpc.status import Code, RpcError
from juniperreel.rpc.wakeup import Wakeup


class StreamOwner(Protocol):
    """The interface of a connection that its streams use."""

    limits: Limits
    buffered_bytes: int  # over all streams

    def acknowledge(self, stream: Stream, count: int) -> None:
        """Return `count` bytes to the peer's flow-control windows."""
        ...


class Stream:
    """Headers, then messages, then possibly trailers. Opened and fed by its connection."""

    def __init__(self, owner: StreamOwner, number: int, queued_before: int) -> None:
        """`queued_before` is how many bytes the connection had queued before the stream's first byte."""
        self.number = number
        self.queued_before = queued_before
        self.headers: dict[str, str] | None = None
        self.raw_headers: Headers = []
        self.trailers: Headers | None = None
        self.ended = False  # the peer has sent END_STREAM
        self.closed = False  # neither side sends anything more
        self.failure: Exception | None = None
        self.changed = Wakeup()
        self.arrived_us = 0  # lower bound for the arrival of its first bytes in the socket
        self.handler_scope: trio.CancelScope | None = None  # cancelled with the stream
        self.messages: deque[bytes] = deque()
        self._owner = owner
        self._deframer = Deframer(owner.limits.message_bytes, None)
        self._unacknowledged = 0  # bytes of DATA received while messages were waiting to be consumed
        self._buffered = 0

    def receive_headers(self, block: HeaderBlock, ended: bool) -> None:
        """Store the peer's headers, which precede its first message."""
        self.raw_headers = block.headers
        self.headers = block.fields
        self.ended = ended
        encoding = block.fields.get("grpc-encoding")
        if encoding is not None:
            self._deframer = Deframer(self._owner.limits.message_bytes, encoding)

    def feed(self, data: bytes, flow_controlled_length: int) -> None:
        """Process received DATA. Raises RpcError for malformed messages, or if too many bytes are buffered.

        A peer may send faster than its messages are consumed, so its window is not extended while a message
        is waiting.
        """
        self._buffered += len(data)
        self._owner.buffered_bytes += len(data)
        if self._owner.buffered_bytes > self._owner.limits.buffered_bytes:
            raise RpcError(Code.RESOURCE_EXHAUSTED, "too many bytes are waiting on this connection")
        message = self._deframer.single_message(data)
        if message is not None:
            self.messages.append(message)
        else:
            self._deframer.feed(data)
            while (message := self._deframer.next_message()) is not None:
                self.messages.append(message)
        if self.messages:
            self._unacknowledged += flow_controlled_length
        else:
            self._owner.acknowledge(self, flow_controlled_length)

    async def message(self) -> bytes | None:
        """Return the next message, or None once the peer has ended the stream.

        Raises the error if the stream ended with one.
        """
        while not self.messages:
            if self.failure is not None:
                raise self.failure
            if self.ended:
                if not self._deframer.empty:
                    raise RpcError(Code.INTERNAL, "the stream ended inside a message")
                return None
            await self.changed.wait()
        message = self.messages.popleft()
        if not self.messages:
            self._release_buffer()
        return message

    def _release_buffer(self) -> None:
        """Return all buffered bytes to the flow-control windows.

        Bytes of a closed stream that were not returned would permanently shrink the connection's window.
        """
        self._owner.buffered_bytes -= self._buffered
        unacknowledged = self._unacknowledged
        self._buffered = 0
        self._unacknowledged = 0
        self._owner.acknowledge(self, unacknowledged)

    def fail(self, failure: Exception) -> None:
        """Close the stream with an error; `message` raises the first one."""
        if self.failure is None:
            self.failure = failure
        self.close()

    def close(self) -> None:
        """Close the stream: neither side sends anything more."""
        self.closed = True
        self._release_buffer()
        self.changed.wake()
