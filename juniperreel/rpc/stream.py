"""One HTTP/2 stream as a sequence of gRPC messages, with its flow control."""

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
    """The connection, as its streams need it."""

    limits: Limits
    buffered_bytes: int  # of all streams

    def acknowledge(self, stream: Stream, count: int) -> None:
        """Give `count` bytes back to the peer's windows."""
        ...


class Stream:
    """Headers, then messages, then perhaps trailers. Opened and fed by its connection."""

    def __init__(self, owner: StreamOwner, number: int, queued_before: int) -> None:
        """`queued_before`: bytes queued on the connection ahead of the stream's first."""
        self.number = number
        self.queued_before = queued_before
        self.headers: dict[str, str] | None = None
        self.raw_headers: Headers = []
        self.trailers: Headers | None = None
        self.ended = False  # the peer sends no more
        self.closed = False  # neither side sends any more
        self.failure: Exception | None = None
        self.changed = Wakeup()
        self.arrived_us = 0  # since when its first bytes may have waited to be read
        self.handler_scope: trio.CancelScope | None = None  # cancelled with the stream
        self.messages: deque[bytes] = deque()
        self._owner = owner
        self._deframer = Deframer(owner.limits.message_bytes, None)
        self._unacknowledged = 0  # bytes of DATA, while messages wait to be taken
        self._buffered = 0

    def receive_headers(self, block: HeaderBlock, ended: bool) -> None:
        """The peer's headers, ahead of its first message."""
        self.raw_headers = block.headers
        self.headers = block.fields
        self.ended = ended
        encoding = block.fields.get("grpc-encoding")
        if encoding is not None:
            self._deframer = Deframer(self._owner.limits.message_bytes, encoding)

    def feed(self, data: bytes, flow_controlled_length: int) -> None:
        """Take DATA from the connection. Raises RpcError for malformed messages, and for too many bytes.

        Danger: a peer may send faster than its messages are taken. From the first message that waits on, its
        window is not opened again.
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
        """The next message; None once the peer has ended. Raises what ended the stream otherwise."""
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
        """Give all buffered bytes back.

        Danger: bytes that are not given back with their stream shut the whole connection's window.
        """
        self._owner.buffered_bytes -= self._buffered
        unacknowledged = self._unacknowledged
        self._buffered = 0
        self._unacknowledged = 0
        self._owner.acknowledge(self, unacknowledged)

    def fail(self, failure: Exception) -> None:
        """Close it; `message` raises the first failure."""
        if self.failure is None:
            self.failure = failure
        self.close()

    def close(self) -> None:
        """Neither side sends any more."""
        self.closed = True
        self._release_buffer()
        self.changed.wake()
