"""One HTTP/2 connection, either side: h2's state machine with the trio tasks around it.

Owns the socket, the streams open on it, flow control and keepalive. Knows headers, messages and resets;
must never know services, retries or addresses. All state belongs to one trio thread, and h2 is never
called across a checkpoint, so no locks are needed.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from typing import Any

import trio
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import (
    ConnectionTerminated,
    DataReceived,
    Event,
    PingAckReceived,
    PingReceived,
    RemoteSettingsChanged,
    RequestReceived,
    ResponseReceived,
    StreamEnded,
    StreamReset,
    TrailersReceived,
    WindowUpdated,
)
from h2.exceptions import H2Error, StreamClosedError
from h2.settings import SettingCodes, Settings
from hpack import Encoder
from hyperframe.frame import GoAwayFrame

from juniperreel.net import Clock
from juniperreel.rpc.framing import Deframer, frame
from juniperreel.rpc.guards import Guard
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.metadata import Headers
from juniperreel.rpc.status import Code, RpcError

READ_BYTES = 64 << 10
MAX_FRAME = 16 << 10  # peers that take frames of megabytes would let one stream fill the buffer
MAX_STREAM_ID = (1 << 31) - 1
PING = b"juniperr"


class LinkLost(Exception):
    """The connection ended under a stream. `sent` tells whether the peer may have seen the stream at all."""

    def __init__(self, why: str, sent: bool) -> None:
        super().__init__(why)
        self.sent = sent


class StreamGone(Exception):
    """The peer reset the stream. `processed` is False where it says that it never looked at it."""

    def __init__(self, code: int, processed: bool) -> None:
        super().__init__(f"stream reset with HTTP/2 error {code}")
        self.code = code
        self.processed = processed


class Wakeup:
    """Tasks wait until woken; waking with nobody there does nothing."""

    def __init__(self) -> None:
        self._lot = trio.lowlevel.ParkingLot()

    async def wait(self) -> None:
        await self._lot.park()

    def wake(self) -> None:
        if self._lot:
            self._lot.unpark_all()


class PlainEncoder(Encoder):
    """Without Huffman codes: in Python they cost more time than the few bytes are worth."""

    def encode(self, headers: Any, huffman: bool = False) -> bytes:
        data: bytes = super().encode(headers, huffman=False)
        return data


class Http2(H2Connection):
    """h2's connection, but that a GOAWAY of the peer lets streams that it took still finish (RFC 9113,
    6.8); h2 itself takes every connection for closed from then on. Overrides a private method of h2 4."""

    def _receive_goaway_frame(self, frame: GoAwayFrame) -> tuple[list[Any], list[Event]]:
        event = ConnectionTerminated()
        event.error_code = frame.error_code
        event.last_stream_id = frame.last_stream_id
        event.additional_data = frame.additional_data or None
        return [], [event]


class Stream:
    """One HTTP/2 stream: headers, then messages, then perhaps trailers."""

    def __init__(self, link: Link, number: int, queued_at: int) -> None:
        self.link = link
        self.number = number
        self.queued_at = queued_at  # bytes queued on the link before the stream's first
        self.headers: dict[str, str] | None = None
        self.raw_headers: Headers = []
        self.trailers: Headers | None = None
        self.ended = False  # the peer sends no more
        self.closed = False  # neither do we; nothing of it is open
        self.failure: Exception | None = None
        self.changed = Wakeup()
        self.scope: trio.CancelScope | None = None  # of a handler, cancelled with the stream
        self.messages: deque[bytes] = deque()
        self.deframer = Deframer(link.limits.message_bytes, None)
        self._held = 0  # bytes of DATA not yet acknowledged, while messages wait to be taken
        self._buffered = 0

    def set_encoding(self, encoding: str | None) -> None:
        self.deframer = Deframer(self.link.limits.message_bytes, encoding)

    def take_data(self, data: bytes, credit: int) -> None:
        """Called by the link. Danger: a peer that sends faster than its messages are taken; from the
        first message that waits on, its window is not opened again."""
        self.deframer.feed(data)
        self._buffered += len(data)
        self.link.buffered += len(data)
        if self.link.buffered > self.link.limits.buffered_bytes:
            raise RpcError(Code.RESOURCE_EXHAUSTED, "too many bytes are waiting on this connection")
        while (message := self.deframer.next()) is not None:
            self.messages.append(message)
        if self.messages:
            self._held += credit
        else:
            self.link.acknowledge(self, credit)

    async def message(self) -> bytes | None:
        """The next message; None once the peer has ended. Raises what ended the stream otherwise."""
        while not self.messages:
            if self.failure is not None:
                raise self.failure
            if self.ended:
                if not self.deframer.empty:
                    raise RpcError(Code.INTERNAL, "the stream ended inside a message")
                return None
            await self.changed.wait()
        message = self.messages.popleft()
        if not self.messages:
            self._release()
        return message

    def _release(self) -> None:
        """Danger: credit that is not given back with a stream shuts the whole connection's window."""
        self.link.buffered -= self._buffered
        held, self._buffered, self._held = self._held, 0, 0
        self.link.acknowledge(self, held)

    def fail(self, failure: Exception) -> None:
        if self.failure is None:
            self.failure = failure
        self.close()

    def close(self) -> None:
        self.closed = True
        self._release()
        self.changed.wake()


class Link:
    """One connection. `run` does its work; the other methods may be called meanwhile by any task."""

    def __init__(
        self,
        transport: trio.abc.Stream,
        client: bool,
        limits: Limits,
        clock: Clock,
        on_request: Callable[[Stream], None] | None = None,
    ) -> None:
        self.limits = limits
        self.client = client
        self.clock = clock
        self.streams: dict[int, Stream] = {}
        self.buffered = 0
        self.ready = trio.Event()  # the peer's SETTINGS are here
        self.over = trio.Event()
        self.why = ""  # it ended
        self.going = False  # no new streams: one of the sides said GOAWAY
        self.idle = Wakeup()
        self._transport = transport
        self._on_request = on_request
        self._guard = Guard(limits)
        config = H2Configuration(
            client_side=client,
            header_encoding=None,
            validate_outbound_headers=False,
            normalize_outbound_headers=False,
            normalize_inbound_headers=False,
        )
        self._h2 = Http2(config)
        self._h2.encoder = PlainEncoder()
        self._out = bytearray()
        self._queued = 0  # bytes ever put into _out
        self._given = 0  # of those, handed to the socket
        self._written = 0  # of those, taken by it
        self._to_write, self._room = Wakeup(), Wakeup()
        self._last_peer_stream = 0
        self._finishing = False
        self._heard_us = clock.now_us()
        self._pinged_us = 0
        self._scope: trio.CancelScope | None = None

    # Its life.

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Until the connection ends, for whatever reason; never raises for what the peer does."""
        # Set as initial values: an update would count from the peer's acknowledgement on, while the
        # first SETTINGS frame would still name h2's own defaults.
        values = {
            SettingCodes.MAX_CONCURRENT_STREAMS: self.limits.streams,
            SettingCodes.INITIAL_WINDOW_SIZE: self.limits.stream_window,
            SettingCodes.MAX_HEADER_LIST_SIZE: self.limits.metadata_bytes,
        }
        if self.client:
            values[SettingCodes.ENABLE_PUSH] = 0
        self._h2.local_settings = Settings(self.client, values)
        self._h2.max_inbound_frame_size = self._h2.local_settings.max_frame_size
        self._h2.decoder.max_header_list_size = self.limits.metadata_bytes
        self._h2.initiate_connection()
        self._h2.increment_flow_control_window(self.limits.connection_window - 65535)
        self._flush()
        try:
            with trio.CancelScope() as self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    nursery.start_soon(self._watch)
                    task_status.started()
                    await self._read()
                    nursery.cancel_scope.cancel()
        finally:
            self._lost(self.why or "the connection was closed")
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
                await trio.aclose_forcefully(self._transport)

    def _lost(self, why: str) -> None:
        self.why = self.why or why
        self.going = True
        self.over.set()
        self.ready.set()
        for stream in list(self.streams.values()):
            stream.fail(LinkLost(self.why, self._may_be_seen(stream)))
            if stream.scope is not None:
                stream.scope.cancel()
        self.streams.clear()
        self._room.wake()
        self.idle.wake()

    def _may_be_seen(self, stream: Stream) -> bool:
        return self._given > stream.queued_at

    def abort(self, why: str) -> None:
        """End it now; what waits is dropped."""
        self.why = self.why or why
        if self._scope is not None:
            self._scope.cancel()

    def go_away(self, code: int = 0, debug: bytes = b"") -> None:
        """Take no new streams and say so. Streams up to the last one taken may finish.

        The frame is written past h2, which would end all streams with it."""
        if not self.over.is_set():
            self.going = True
            goaway = GoAwayFrame(
                0, last_stream_id=self._last_peer_stream, error_code=code, additional_data=debug
            )
            self._queue(goaway.serialize())

    async def finish(self) -> None:
        """A graceful end: GOAWAY, then wait for the streams, then close what is written out."""
        self.go_away()
        while self.streams and not self.over.is_set():
            await self.idle.wait()
        self._finishing = True
        self._to_write.wake()
        await self.over.wait()

    # Writing.

    def _flush(self) -> None:
        data = self._h2.data_to_send()
        if data:
            self._queue(data)

    def _queue(self, data: bytes) -> None:
        self._out += data
        self._queued += len(data)
        if len(self._out) > self.limits.control_buffer + self.limits.send_buffer:
            # Danger: a peer that never reads what its pings and resets make us answer.
            self.abort("the peer does not read")
        self._to_write.wake()

    async def _write(self) -> None:
        while True:
            while not self._out:
                if self._finishing:
                    self.abort("finished")
                await self._to_write.wait()
            chunk, self._out = self._out, bytearray()
            self._given += len(chunk)
            try:
                await self._transport.send_all(chunk)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                self.abort(f"the connection broke while writing: {error.__cause__ or error}")
                return
            self._written += len(chunk)
            self._room.wake()

    async def written(self, timeout_us: int) -> None:
        """Until all that is queued now has been taken by the socket, or the time is over."""
        target = self._queued
        with trio.move_on_after(timeout_us / 1_000_000):
            while self._written < target and not self.over.is_set():
                await self._room.wait()

    # Reading.

    async def _read(self) -> None:
        while True:
            try:
                data = await self._transport.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                self.why = self.why or f"the connection was reset: {error.__cause__ or error}"
                return
            if not data:
                self.why = self.why or "the peer closed the connection"
                return
            self._heard_us = self.clock.now_us()
            try:
                for event in self._h2.receive_data(data):
                    self._on(event)
                self._flush()
            except Exception as error:  # danger: whatever a peer sends must not end more than its connection
                await self._refuse(error)
                return

    async def _refuse(self, error: Exception) -> None:
        self.why = self.why or f"the peer broke the protocol: {type(error).__name__}: {error}"[:300]
        self._flush()
        with trio.move_on_after(1):
            while self._out or self._written < self._queued:
                await self._room.wait()

    def _on(self, event: Event) -> None:
        match event:
            case DataReceived():
                self._on_data(event)
            case RequestReceived():
                self._on_new_stream(event.stream_id, headers_of(event.headers))
            case ResponseReceived():
                stream = self.streams.get(event.stream_id)
                if stream is not None:
                    self._guard.moved()
                    stream.raw_headers = headers_of(event.headers)
                    stream.headers = dict(stream.raw_headers)
                    stream.set_encoding(stream.headers.get("grpc-encoding"))
                    stream.changed.wake()
            case TrailersReceived():
                stream = self.streams.get(event.stream_id)
                if stream is not None:
                    stream.trailers = headers_of(event.headers)
            case StreamEnded():
                stream = self.streams.get(event.stream_id)
                if stream is not None:
                    stream.ended = True
                    stream.changed.wake()
            case StreamReset():
                self._on_reset(event)
            case WindowUpdated():
                if event.stream_id:
                    stream = self.streams.get(event.stream_id)
                    if stream is not None:
                        stream.changed.wake()
                else:
                    self._wake_all()
            case RemoteSettingsChanged():
                self.ready.set()
                self._calm(self._guard.settings(self.clock.now_us()))
                self._wake_all()
            case PingReceived():
                self._calm(self._guard.ping(self.clock.now_us()))
            case PingAckReceived():
                self._pinged_us = 0
            case ConnectionTerminated():
                self._on_goaway(event.last_stream_id or 0, int(event.error_code or 0))

    def _wake_all(self) -> None:
        for stream in self.streams.values():
            stream.changed.wake()
        self.idle.wake()

    def _calm(self, complaint: str | None) -> None:
        if complaint is not None:
            self.go_away(int(ErrorCodes.ENHANCE_YOUR_CALM), complaint.encode())
            raise ConnectionError(complaint)

    def _on_new_stream(self, number: int, headers: Headers) -> None:
        self._guard.moved()
        if self.going or self._on_request is None:
            self._reset(number, ErrorCodes.REFUSED_STREAM)
            return
        self._last_peer_stream = max(self._last_peer_stream, number)
        stream = Stream(self, number, self._queued)
        stream.raw_headers, stream.headers = headers, dict(headers)
        stream.set_encoding(stream.headers.get("grpc-encoding"))
        self.streams[number] = stream
        self._on_request(stream)

    def _on_data(self, event: DataReceived) -> None:
        stream = self.streams.get(event.stream_id)
        credit = event.flow_controlled_length or 0
        if stream is None or stream.closed:
            self._h2.acknowledge_received_data(credit, event.stream_id)
            return
        if not event.data and event.stream_ended is None:
            self._calm(self._guard.settings(self.clock.now_us()))
        else:
            self._guard.moved()
        try:
            stream.take_data(event.data or b"", credit)
        except RpcError as error:
            stream.failure = stream.failure or error
        stream.changed.wake()

    def _on_reset(self, event: StreamReset) -> None:
        if not self.client:
            self._calm(self._guard.reset(self.clock.now_us()))
        stream = self.streams.pop(event.stream_id, None)
        if stream is not None:
            code = int(event.error_code or 0)
            stream.fail(StreamGone(code, code != ErrorCodes.REFUSED_STREAM))
            if stream.scope is not None:
                stream.scope.cancel()
            self.idle.wake()

    def _on_goaway(self, last: int, code: int) -> None:
        """Streams above `last` were never looked at (RFC 9113, 6.8) and may go elsewhere at once."""
        self.going = True
        if self.client:
            for stream in [s for s in self.streams.values() if s.number > last]:
                self.streams.pop(stream.number, None)
                stream.fail(StreamGone(int(ErrorCodes.REFUSED_STREAM), False))
        if code:
            self.why = self.why or f"the peer ended the connection with HTTP/2 error {code}"
        self._wake_all()

    # Streams.

    def acknowledge(self, stream: Stream, credit: int) -> None:
        if credit and not self.over.is_set():
            try:
                self._h2.acknowledge_received_data(credit, stream.number)
            except (H2Error, ValueError):
                return
            self._flush()

    def can_open(self) -> bool:
        return self._h2.open_outbound_streams < self._h2.remote_settings.max_concurrent_streams

    async def open(self, headers: Headers) -> Stream:
        """A new stream of ours. Waits while the peer allows no more; raises LinkLost."""
        while not self.going and not self.can_open():
            await self.idle.wait()
        if self.going:
            raise LinkLost(self.why or "the connection takes no more streams", sent=False)
        number = self._h2.get_next_available_stream_id()
        if number > MAX_STREAM_ID - 1000:
            self.going = True  # the last ids are left unused, so that nothing fails for want of one
        self._guard.moved()
        stream = Stream(self, number, self._queued)
        self.streams[number] = stream
        self._h2.send_headers(number, headers)
        self._flush()
        return stream

    def send_headers(self, stream: Stream, headers: Headers, end: bool = False) -> None:
        if not stream.closed and not self.over.is_set():
            try:
                self._h2.send_headers(stream.number, headers, end_stream=end)
            except (H2Error, ValueError) as error:
                stream.fail(LinkLost(f"the stream was closed: {error}", sent=True))
                return
            self._flush()
            if end:
                self._done_sending(stream)

    async def send_message(
        self, stream: Stream, message: bytes, end: bool = False, gzip: bool = False
    ) -> None:
        """Framed, as flow control and the send buffer allow. Raises what ended the stream."""
        data = memoryview(frame(message, gzip))
        while True:
            if stream.failure is not None:
                raise stream.failure
            if self.over.is_set() or stream.closed:
                raise LinkLost(self.why or "the stream is closed", sent=True)
            if len(self._out) >= self.limits.send_buffer:
                await self._room.wait()
                continue
            try:
                window = self._h2.local_flow_control_window(stream.number)
            except StreamClosedError:
                raise LinkLost("the stream was closed", sent=True) from None
            size = min(window, self._h2.max_outbound_frame_size, MAX_FRAME, len(data))
            if size <= 0 < len(data):
                await stream.changed.wait()
                continue
            last = size == len(data)
            # Danger: grpcio measures bandwidth with pings while it receives; those are no offence.
            self._guard.moved()
            self._h2.send_data(stream.number, bytes(data[:size]), end_stream=end and last)
            self._flush()
            data = data[size:]
            if last:
                break
        if end:
            self._done_sending(stream)

    def end(self, stream: Stream) -> None:
        """No more from this side."""
        if not stream.closed and not self.over.is_set():
            try:
                self._h2.end_stream(stream.number)
            except (H2Error, ValueError):
                return
            self._flush()

    def _done_sending(self, stream: Stream) -> None:
        if not self.client:
            if not stream.ended:
                self._reset(stream.number, ErrorCodes.NO_ERROR)  # RFC 9113, 8.1: the rest is not wanted
            self.drop(stream)

    def drop(self, stream: Stream) -> None:
        """Forget a stream that is done."""
        stream.close()
        if self.streams.pop(stream.number, None) is not None:
            self.idle.wake()

    def reset(self, stream: Stream, code: ErrorCodes = ErrorCodes.CANCEL) -> None:
        if stream.number in self.streams:
            self.drop(stream)
            self._reset(stream.number, code)

    def _reset(self, number: int, code: ErrorCodes) -> None:
        if self.over.is_set():
            return
        try:
            self._h2.reset_stream(number, code)
        except (H2Error, KeyError, ValueError):
            return
        self._flush()

    # Watching.

    async def _watch(self) -> None:
        """The peer's SETTINGS in time; pings while streams are open and nothing comes (gRFC A8)."""
        with trio.move_on_after(span(self.limits.handshake_us)):
            await self.ready.wait()
        if not self.ready.is_set():
            self.abort("the peer sent no SETTINGS")
            return
        if not self.limits.keepalive_us:
            return
        while True:
            await trio.sleep(self.limits.keepalive_us / 4_000_000)
            now = self.clock.now_us()
            if self._pinged_us:
                if now - max(self._pinged_us, self._heard_us) > self.limits.keepalive_timeout_us:
                    self.abort("the peer does not answer pings")
            elif self.streams and now - self._heard_us > self.limits.keepalive_us:
                self._pinged_us = now
                self._h2.ping(PING)
                self._flush()


def span(us: int) -> float:
    return us / 1_000_000 if us else math.inf


def headers_of(raw: Any) -> Headers:
    return [(str(name, "latin-1"), str(value, "latin-1")) for name, value in raw or ()]
