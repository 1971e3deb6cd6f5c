"""One HTTP/2 connection, client or server: the protocol state of `http2` and the trio tasks that drive it.

Owns the socket, the open streams, flow control and keepalive. Handles headers, messages and resets; services,
retries and addresses belong to the callers. All state is used by one trio thread, and no operation on the
protocol state spans a checkpoint, so no locks are needed.
"""

from __future__ import annotations

from collections.abc import Callable

import trio

from juniperreel.net import Clock, StallMonitor
from juniperreel.rpc import http2_events as events
from juniperreel.rpc.abuse_guard import AbuseGuard
from juniperreel.rpc.arrival import ArrivalEstimator
from juniperreel.rpc.errors import AbusivePeerError, ConnectionLostError, StreamResetError
from juniperreel.rpc.frames import MAX_31_BITS, ErrorCode
from juniperreel.rpc.framing import frame_message
from juniperreel.rpc.header_blocks import encode_headers
from juniperreel.rpc.http2 import Http2Protocol
from juniperreel.rpc.keepalive import Keepalive
from juniperreel.rpc.limits import US_PER_S, Limits
from juniperreel.rpc.metadata import Headers
from juniperreel.rpc.status import RpcError
from juniperreel.rpc.stream import Stream
from juniperreel.rpc.wakeup import Wakeup
from juniperreel.rpc.writer import ConnectionWriter

READ_BYTES = 64 << 10
PACED_READ_BYTES = 16 << 10  # per read where the stall monitor limits the work of each event loop pass
MAX_DATA_FRAME = 16 << 10  # even if the peer allows more, so that one stream cannot fill the send buffer
RESERVED_STREAM_IDS = 1000  # left unused, so that no stream fails because the ids have run out
LINGER_S = 1.0  # time for a peer that is still writing to read our last frames
CLOSE_TIMEOUT_S = 1
MAX_REASON_CHARACTERS = 300


class Connection:
    """One connection. `run` must be running; any task may call the other methods meanwhile."""

    def __init__(
        self,
        transport: trio.abc.Stream,
        client: bool,
        limits: Limits,
        clock: Clock,
        on_request: Callable[[Stream], None] | None = None,
        stall_monitor: StallMonitor | None = None,
        waiting_since_us: int | None = None,
    ) -> None:
        """`on_request` is called for each new stream of the peer.

        The stream then holds everything that was read together with its headers. With a `stall_monitor`,
        received bytes are processed within its budget for new work. `waiting_since_us` is the time since
        which the connection may have waited to be accepted.
        """
        self.limits = limits
        self.client = client
        self.clock = clock
        self.streams: dict[int, Stream] = {}
        self.buffered_bytes = 0
        self.settings_received = trio.Event()  # also set if the connection ends before the peer's SETTINGS
        self.closed = trio.Event()
        self.close_reason = ""
        self.going_away = False  # no new streams: a GOAWAY was sent or received, or the connection ended
        self.stream_closed = Wakeup()
        self._transport = transport
        self._on_request = on_request
        self._stall_monitor = stall_monitor
        self._new_streams: list[Stream] = []
        self._blocked_senders = 0  # waiting for a flow-control window
        self._guard = AbuseGuard(limits)
        self._protocol = Http2Protocol(client, limits)
        self._writer = ConnectionWriter(self._protocol, transport, limits, self.abort)
        opened_us = clock.now_us() if waiting_since_us is None else waiting_since_us
        self._arrival = ArrivalEstimator(stall_monitor, opened_us)
        self._keepalive = Keepalive(limits, clock, lambda: bool(self.streams), self._send_ping, self.abort)
        self._scope: trio.CancelScope | None = None

    # Lifecycle.

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until the connection ends; never raises because of what the peer does."""
        self._writer.flush()
        try:
            with trio.CancelScope() as self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._writer.run)
                    nursery.start_soon(self._keepalive.run, self.settings_received)
                    task_status.started()
                    await self._read()
                    nursery.cancel_scope.cancel()
        finally:
            self._on_closed()
            with trio.CancelScope(shield=True, deadline=trio.current_time() + CLOSE_TIMEOUT_S):
                await trio.aclose_forcefully(self._transport)

    def _on_closed(self) -> None:
        self._set_close_reason("the connection was closed")
        self.going_away = True
        self.closed.set()
        self.settings_received.set()
        for stream in list(self.streams.values()):
            may_have_been_seen = self._writer.sent > stream.queued_before
            stream.fail(ConnectionLostError(self.close_reason, may_have_been_seen))
            if stream.handler_scope is not None:
                stream.handler_scope.cancel()
        self.streams.clear()
        self._writer.progressed.wake()
        self.stream_closed.wake()

    def _set_close_reason(self, reason: str) -> None:
        """Set the reason, unless an earlier one was set."""
        self.close_reason = self.close_reason or reason

    def abort(self, reason: str) -> None:
        """Close the connection immediately, discarding unsent data."""
        self._set_close_reason(reason)
        if self._scope is not None:
            self._scope.cancel()

    def go_away(self, code: int = ErrorCode.NO_ERROR, debug: bytes = b"") -> None:
        """Send GOAWAY and accept no new streams. Streams accepted before may finish."""
        if not self.closed.is_set():
            self.going_away = True
            self._protocol.send_goaway(code, debug)
            self._writer.flush()

    async def finish(self) -> None:
        """Shut down gracefully: send GOAWAY, wait for the open streams, write queued data, close."""
        self.go_away()
        while self.streams and not self.closed.is_set():
            await self.stream_closed.wait()
        if not self.client:
            # Requests that the peer sent before it read the GOAWAY would reach a closed socket, whose reset
            # does not tell which of them were processed. So the connection stays open, and rejects each of
            # them with REFUSED_STREAM, until the peer closes it or LINGER_S has passed.
            with trio.move_on_after(LINGER_S):
                await self.closed.wait()
        self._writer.finish()
        await self.closed.wait()

    async def wait_written(self, timeout_us: int) -> None:
        """Wait until all currently queued data is written to the socket, at most `timeout_us`."""
        target = self._writer.queued
        with trio.move_on_after(timeout_us / US_PER_S):
            await self._writer.wait_written(target, self.closed)

    def _send_ping(self, data: bytes) -> None:
        self._protocol.send_ping(data)
        self._writer.flush()

    # Reading.

    async def _read(self) -> None:
        size = READ_BYTES if self._stall_monitor is None else PACED_READ_BYTES
        while True:
            self._arrival.before_read()
            data = await self._receive(size)
            if not data:
                return
            self._keepalive.on_received()
            self._arrival.after_read(self._keepalive.last_received_us)
            try:
                await self._process(data)
            except Exception as error:
                # Whatever a peer sends, an error must not affect more than its own connection.
                await self._close_after_error(error)
                return
            if len(data) < size:
                self._arrival.on_socket_emptied(self._keepalive.last_received_us)

    async def _receive(self, size: int) -> bytes | bytearray:
        """Return received bytes; empty at the end of the connection."""
        try:
            data = await self._transport.receive_some(size)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self._set_close_reason(f"the connection was reset: {error.__cause__ or error}")
            return b""
        if not data:
            self._set_close_reason("the peer closed the connection")
        return data

    async def _process(self, data: bytes | bytearray) -> None:
        if self._stall_monitor is None:
            self._handle(data)
            return
        await self._stall_monitor.wait_for_new_work_budget()
        began = self._stall_monitor.begin_new_work()
        self._handle(data)
        self._stall_monitor.end_new_work(began)

    def _handle(self, data: bytes | bytearray) -> None:
        for event in self._protocol.receive(bytes(data)):
            self._on_event(event)
        new_streams = self._new_streams
        self._new_streams = []
        for stream in new_streams:
            if not stream.closed and self._on_request is not None:
                self._on_request(stream)
        self._writer.flush()

    async def _close_after_error(self, error: Exception) -> None:
        """Close the connection of a peer that broke the protocol, after giving it time to read the GOAWAY.

        A socket that is closed while the peer still writes is reset, and the reset discards what the peer has
        not read yet, such as the GOAWAY. So received data is read and discarded for up to `LINGER_S`.
        """
        text = f"the peer broke the protocol: {type(error).__name__}: {error}"
        self._set_close_reason(text[:MAX_REASON_CHARACTERS])
        self.going_away = True
        self._writer.flush()
        with trio.move_on_after(LINGER_S):
            await self._writer.wait_all_written()
            try:
                if isinstance(self._transport, trio.abc.HalfCloseableStream):
                    await self._transport.send_eof()
                while await self._transport.receive_some(READ_BYTES):
                    pass
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

    # Events.

    def _on_event(self, event: events.Event) -> None:
        match event:
            case events.DataReceived():
                self._on_data(event)
            case events.RequestReceived():
                self._on_new_stream(event)
            case events.ResponseReceived():
                self._on_response(event)
            case events.TrailersReceived():
                self._on_trailers(event)
            case events.StreamReset():
                self._on_stream_reset(event)
            case events.WindowUpdated():
                self._on_window_updated(event)
            case _:
                self._on_connection_event(event)

    def _on_connection_event(self, event: events.Event) -> None:
        match event:
            case events.RemoteSettingsChanged():
                self.settings_received.set()
                self._check_abuse(self._guard.on_control_frame(self.clock.now_us()))
                self._wake_all()
            case events.PingReceived():
                self._check_abuse(self._guard.on_ping(self.clock.now_us()))
            case events.PingAckReceived():
                self._keepalive.on_ping_ack()
            case events.ConnectionTerminated():
                self._on_goaway(event)

    def _on_new_stream(self, event: events.RequestReceived) -> None:
        self._guard.on_activity()
        if self.going_away or self._on_request is None:
            self._protocol.reset_stream(event.stream, ErrorCode.REFUSED_STREAM)
            return
        stream = Stream(self, event.stream, self._writer.queued)
        stream.receive_headers(event.block, event.ended)
        stream.arrived_us = self._arrival.earliest_arrival_us
        self.streams[event.stream] = stream
        self._new_streams.append(stream)

    def _on_response(self, event: events.ResponseReceived) -> None:
        stream = self.streams.get(event.stream)
        if stream is None:
            return
        self._guard.on_activity()
        stream.receive_headers(event.block, event.ended)
        stream.changed.wake()

    def _on_trailers(self, event: events.TrailersReceived) -> None:
        stream = self.streams.get(event.stream)
        if stream is None:
            return
        stream.trailers = event.block.headers
        stream.ended = True
        stream.changed.wake()

    def _on_data(self, event: events.DataReceived) -> None:
        stream = self.streams.get(event.stream)
        if stream is None or stream.closed:
            self._protocol.acknowledge_received_data(event.stream, event.flow_controlled_length)
            return
        if not event.data and not event.ended:
            self._check_abuse(self._guard.on_control_frame(self.clock.now_us()))
        else:
            self._guard.on_activity()
        stream.ended = event.ended
        try:
            stream.feed(event.data, event.flow_controlled_length)
        except RpcError as error:
            stream.failure = stream.failure or error
        stream.changed.wake()

    def _on_window_updated(self, event: events.WindowUpdated) -> None:
        if not event.stream:
            if self._blocked_senders:
                self._wake_all()
            return
        if (stream := self.streams.get(event.stream)) is not None:
            stream.changed.wake()

    def _on_stream_reset(self, event: events.StreamReset) -> None:
        if not self.client:
            self._check_abuse(self._guard.on_stream_reset(self.clock.now_us()))
        stream = self.streams.pop(event.stream, None)
        if stream is None:
            return
        stream.fail(StreamResetError(event.code, processed=event.code != ErrorCode.REFUSED_STREAM))
        if stream.handler_scope is not None:
            stream.handler_scope.cancel()
        self.stream_closed.wake()

    def _on_goaway(self, event: events.ConnectionTerminated) -> None:
        """Fail the streams above the last one, which were not processed (RFC 9113, 6.8).

        Their calls can be retried elsewhere immediately.
        """
        self.going_away = True
        if self.client:
            for stream in [s for s in self.streams.values() if s.number > event.last_stream]:
                self.streams.pop(stream.number, None)
                stream.fail(StreamResetError(ErrorCode.REFUSED_STREAM, processed=False))
        self._finish_when_idle()
        if event.code:
            self._set_close_reason(f"the peer ended the connection with HTTP/2 error {event.code}")
        self._wake_all()

    def _wake_all(self) -> None:
        for stream in self.streams.values():
            stream.changed.wake()
        self.stream_closed.wake()

    def _check_abuse(self, complaint: str | None) -> None:
        """Send GOAWAY and raise AbusivePeerError if AbuseGuard returned a complaint."""
        if complaint is not None:
            self.go_away(ErrorCode.ENHANCE_YOUR_CALM, complaint.encode())
            raise AbusivePeerError(complaint)

    # Streams.

    def acknowledge(self, stream: Stream, count: int) -> None:
        """Return `count` bytes that were consumed from a stream to the peer's flow-control windows."""
        if count and not self.closed.is_set():
            self._protocol.acknowledge_received_data(stream.number, count)
            self._writer.flush()

    async def open(self, block: bytes) -> Stream:
        """Open a stream with a header block that `encode_headers` returned.

        Waits while the peer's limit of concurrent streams is reached. Raises ConnectionLostError.
        """
        while not self.going_away and not self._protocol.can_open_stream():
            await self.stream_closed.wait()
        if self.going_away:
            reason = self.close_reason or "the connection takes no more streams"
            raise ConnectionLostError(reason, sent=False)
        number = self._protocol.next_stream_id()
        if number > MAX_31_BITS - RESERVED_STREAM_IDS:
            self.going_away = True
        self._guard.on_activity()
        stream = Stream(self, number, self._writer.queued)
        self.streams[number] = stream
        self._protocol.open_stream(block)
        self._writer.flush()
        return stream

    def send_headers(self, stream: Stream, headers: Headers, end: bool = False) -> None:
        """Send headers or trailers."""
        self.send_block(stream, encode_headers(headers), end)

    def send_block(self, stream: Stream, block: bytes, end: bool = False) -> None:
        """Send a header block that `encode_headers` returned."""
        if stream.closed or self.closed.is_set():
            return
        if not self._protocol.is_open(stream.number):
            stream.fail(ConnectionLostError("the stream was closed", sent=True))
            return
        self._protocol.send_headers(stream.number, block, end)
        self._writer.flush()
        if end:
            self._on_sending_ended(stream)

    async def send_message(
        self, stream: Stream, message: bytes, end: bool = False, gzip: bool = False
    ) -> None:
        """Send a message, waiting for flow control and the send buffer.

        Raises the error that ended the stream.
        """
        data = memoryview(frame_message(message, gzip))
        while True:
            size = await self._wait_for_capacity(stream, len(data))
            last = size == len(data)
            # grpcio measures the bandwidth with pings while it receives; those do not count as abuse.
            self._guard.on_activity()
            self._protocol.send_data(stream.number, bytes(data[:size]), end and last)
            self._writer.flush()
            data = data[size:]
            if last:
                break
        if end:
            self._on_sending_ended(stream)

    async def _wait_for_capacity(self, stream: Stream, wanted: int) -> int:
        """Wait until at least one of `wanted` bytes may be sent; returns how many may be."""
        while True:
            if stream.failure is not None:
                raise stream.failure
            if self.closed.is_set() or stream.closed:
                raise ConnectionLostError(self.close_reason or "the stream is closed", sent=True)
            if len(self._protocol.out) >= self.limits.send_buffer:
                await self._writer.progressed.wait()
                continue
            if not self._protocol.is_open(stream.number):
                raise ConnectionLostError("the stream was closed", sent=True)
            capacity = self._protocol.send_capacity(stream.number)
            size = min(capacity, self._protocol.peer_max_frame, MAX_DATA_FRAME, wanted)
            if size > 0 or not wanted:
                return size
            self._blocked_senders += 1
            try:
                await stream.changed.wait()
            finally:
                self._blocked_senders -= 1

    def _on_sending_ended(self, stream: Stream) -> None:
        if self.client:
            return
        if not stream.ended:
            # The response is complete, so the client need not send the rest of its request (RFC 9113, 8.1).
            self._reset(stream.number, ErrorCode.NO_ERROR)
        self.drop(stream)

    def drop(self, stream: Stream) -> None:
        """Remove a stream that is complete."""
        stream.close()
        if self.streams.pop(stream.number, None) is not None:
            self.stream_closed.wake()
            self._finish_when_idle()

    def _finish_when_idle(self) -> None:
        """On the client, close a connection that accepts no more streams; its server waits for that."""
        if self.client and self.going_away and not self.streams:
            self._writer.finish()

    def reset(self, stream: Stream, code: int = ErrorCode.CANCEL) -> None:
        """Reset a stream and remove it."""
        if stream.number in self.streams:
            self.drop(stream)
            self._reset(stream.number, code)

    def _reset(self, number: int, code: int) -> None:
        if not self.closed.is_set() and self._protocol.is_open(number):
            self._protocol.reset_stream(number, code)
            self._writer.flush()
