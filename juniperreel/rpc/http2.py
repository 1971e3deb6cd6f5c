"""Protocol state of one HTTP/2 connection (RFC 9113), client or server, as far as gRPC needs it. No I/O.

Turns received bytes into events; bytes to send are collected in `out`. Server push, priorities and upgrades
are not supported. Tests compare it with `h2`: both must accept and reject the same frames. Does not depend on
gRPC, tasks or sockets. A peer that breaks the protocol, or exceeds a limit, gets a GOAWAY.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar

from juniperreel.rpc import http2_events as events
from juniperreel.rpc.flow_control import DEFAULT_WINDOW, ReceiveWindow
from juniperreel.rpc.frames import (
    ACK,
    DEFAULT_MAX_FRAME,
    END_HEADERS,
    END_STREAM,
    HAS_PRIORITY,
    MAX_31_BITS,
    PREFACE,
    SETTING,
    UINT32,
    ErrorCode,
    Frame,
    FrameReader,
    FrameType,
    Http2Error,
    Http2StreamError,
    Setting,
    check_dependency,
    encode_frame,
    remove_padding,
)
from juniperreel.rpc.header_blocks import (
    DEFAULT_TABLE_BYTES,
    EMPTY_TABLE_UPDATE,
    HeaderBlock,
    HeaderBlockDecoder,
)
from juniperreel.rpc.header_rules import check_request, check_response, check_trailers
from juniperreel.rpc.http2_events import Event
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.stream_table import StreamState, StreamTable

# An endless sequence of CONTINUATION frames would otherwise use unbounded memory (CVE-2024-27316).
MAX_BLOCK_FRAMES = 64
MAX_GOAWAY_TEXT = 200  # bytes
PRIORITY_BYTES = 5
PING_BYTES = 8
UNLIMITED_STREAMS = 1 << 31


@dataclass(slots=True)
class PartialHeaderBlock:
    """A header block whose CONTINUATION frames have not all arrived."""

    stream: int
    flags: int
    data: bytearray
    frames: int = 1


class Http2Protocol:
    """Protocol state of one connection. After an `Http2Error`, `receive` must not be called again."""

    def __init__(self, client: bool, limits: Limits) -> None:
        """Queues the connection preface in `out`."""
        self.client = client
        self.out = bytearray()
        self.max_streams = limits.streams  # concurrent streams that the peer may open
        self.peer_max_streams = UNLIMITED_STREAMS
        self.peer_max_frame = DEFAULT_MAX_FRAME
        self._limits = limits
        self._streams = StreamTable(client, limits.stream_window)
        self._frames = FrameReader(expects_preface=not client)
        self._settings_received = False
        self._send_window = DEFAULT_WINDOW
        self._receive_window = ReceiveWindow(limits.connection_window)
        self._decoder = HeaderBlockDecoder(limits.metadata_bytes)
        self._table_update = b""  # HPACK table size update, sent ahead of the next header block
        self._partial: PartialHeaderBlock | None = None
        self._events: list[Event] = []
        self._failed = False
        self._send_preface()

    def _send_preface(self) -> None:
        if self.client:
            self.out += PREFACE
        values = [
            (Setting.INITIAL_WINDOW_SIZE, self._limits.stream_window),
            (Setting.MAX_HEADER_LIST_SIZE, self._limits.metadata_bytes),
            (Setting.ENABLE_PUSH, 0) if self.client else (Setting.MAX_CONCURRENT_STREAMS, self.max_streams),
        ]
        payload = b"".join(SETTING.pack(*value) for value in values)
        self.out += encode_frame(FrameType.SETTINGS, 0, 0, payload)
        increment = self._limits.connection_window - DEFAULT_WINDOW
        if increment > 0:
            self._send_window_update(0, increment)

    # Sending.

    def is_open(self, stream: int) -> bool:
        """Whether either side may still send on the stream."""
        return stream in self._streams

    def next_stream_id(self) -> int:
        """Return the number that the next `open_stream` will use."""
        return self._streams.next_local

    def can_open_stream(self) -> bool:
        """Whether the peer's limit of concurrent streams allows another one."""
        return self._streams.local_count < self.peer_max_streams

    def open_stream(self, block: bytes, end: bool = False) -> int:
        """Open a stream with a header block; returns its number."""
        number = self._streams.open_local()
        self.send_headers(number, block, end)
        return number

    def send_headers(self, stream: int, block: bytes, end: bool = False) -> None:
        """Send HEADERS, split at the peer's frame size. Raises KeyError if the stream is not open."""
        state = self._streams[stream]
        if self._table_update:
            block = self._table_update + block
            self._table_update = b""
        limit = self.peer_max_frame
        rest = block[limit:]
        flags = (END_STREAM if end else 0) | (0 if rest else END_HEADERS)
        self.out += encode_frame(FrameType.HEADERS, flags, stream, block[:limit])
        while rest:
            part = rest[:limit]
            rest = rest[limit:]
            self.out += encode_frame(FrameType.CONTINUATION, 0 if rest else END_HEADERS, stream, part)
        if end:
            self._streams.end_local(stream, state)

    def send_capacity(self, stream: int) -> int:
        """Return the bytes of DATA that the windows allow. Raises KeyError if the stream is not open."""
        return min(self._send_window, self._streams[stream].send_window)

    def send_data(self, stream: int, data: bytes, end: bool = False) -> None:
        """Send one DATA frame, which must be within `send_capacity` and the peer's frame size."""
        state = self._streams[stream]
        size = len(data)
        assert size <= self.peer_max_frame
        assert size <= max(self.send_capacity(stream), 0)
        self._send_window -= size
        state.send_window -= size
        self.out += encode_frame(FrameType.DATA, END_STREAM if end else 0, stream, data)
        if end:
            self._streams.end_local(stream, state)

    def reset_stream(self, stream: int, code: int) -> None:
        """Send RST_STREAM for a stream that is open, or that is rejected while it is opened."""
        self._streams.reset(stream)
        self.out += encode_frame(FrameType.RST_STREAM, 0, stream, UINT32.pack(code))

    def send_ping(self, data: bytes) -> None:
        """Send PING with 8 bytes of `data`, which the acknowledgement repeats."""
        self.out += encode_frame(FrameType.PING, 0, 0, data)

    def send_goaway(self, code: int, debug: bytes = b"") -> None:
        """Send GOAWAY; the peer's streams up to the last one received may finish."""
        payload = UINT32.pack(self._streams.highest_remote) + UINT32.pack(code) + debug
        self.out += encode_frame(FrameType.GOAWAY, 0, 0, payload)

    def acknowledge_received_data(self, stream: int, count: int) -> None:
        """Return consumed bytes to the peer's windows, in updates of at least half a window."""
        if count <= 0:
            return
        increment = self._receive_window.acknowledge(count)
        if increment:
            self._send_window_update(0, increment)
        state = self._streams.get(stream)
        if state is None or not state.remote_open:
            return
        increment = state.receive_window.acknowledge(count)
        if increment:
            self._send_window_update(stream, increment)

    def _send_window_update(self, stream: int, increment: int) -> None:
        self.out += encode_frame(FrameType.WINDOW_UPDATE, 0, stream, UINT32.pack(increment))

    # Receiving.

    def receive(self, data: bytes) -> list[Event]:
        """Process received bytes. Raises Http2Error, with the GOAWAY queued in `out`."""
        assert not self._failed
        self._events = []
        try:
            for frame in self._frames.feed(data):
                self._on_frame(frame)
        except Http2Error as error:
            self._failed = True
            self.send_goaway(error.code, str(error).encode()[:MAX_GOAWAY_TEXT])
            raise
        return self._events

    def _on_frame(self, frame: Frame) -> None:
        partial = self._partial
        if partial is not None and (frame.kind != FrameType.CONTINUATION or frame.stream != partial.stream):
            raise Http2Error(ErrorCode.PROTOCOL_ERROR, "a block of headers was not finished")
        if not self._settings_received:
            if frame.kind != FrameType.SETTINGS or frame.flags & ACK:
                raise Http2Error(ErrorCode.PROTOCOL_ERROR, "the first frame was not SETTINGS")
            self._settings_received = True
        if frame.kind == FrameType.PUSH_PROMISE:
            raise Http2Error(ErrorCode.PROTOCOL_ERROR, "push was not asked for")
        handler = self._HANDLERS.get(frame.kind)
        if handler is None:
            return
        try:
            handler(self, frame)
        except Http2StreamError as error:
            was_open = frame.stream in self._streams
            self.reset_stream(frame.stream, error.code)
            if was_open:
                self._events.append(events.StreamReset(frame.stream, error.code))

    def _on_data(self, frame: Frame) -> None:
        stream = frame.stream
        if not stream:
            raise Http2Error(ErrorCode.PROTOCOL_ERROR, "DATA on stream 0")
        length = len(frame.payload)
        data = remove_padding(frame)
        if length > self._receive_window.available:
            raise Http2Error(ErrorCode.FLOW_CONTROL_ERROR, "more DATA than the connection's window")
        self._receive_window.available -= length
        state = self._streams.get(stream)
        if state is None or not state.remote_open:
            self._on_data_after_end(stream, state, length)
            return
        if self.client and not state.headers_received:
            raise Http2Error(ErrorCode.PROTOCOL_ERROR, "DATA ahead of the response's headers")
        if length > state.receive_window.available:
            raise Http2Error(ErrorCode.FLOW_CONTROL_ERROR, "more DATA than the stream's window")
        state.receive_window.available -= length
        state.received_bytes += len(data)
        if 0 <= state.content_length < state.received_bytes:
            raise Http2Error(ErrorCode.PROTOCOL_ERROR, "content-length and the bytes sent differ")
        ended = bool(frame.flags & END_STREAM)
        if ended:
            self._streams.end_remote(stream, state)
        self._events.append(events.DataReceived(stream, data, length, ended))

    def _on_data_after_end(self, stream: int, state: StreamState | None, length: int) -> None:
        """Reject DATA on a stream that the peer may not send on, unless it crossed our RST_STREAM."""
        if self._streams.is_idle(stream):
            raise Http2Error(ErrorCode.PROTOCOL_ERROR, "DATA on a stream that was never opened")
        self.acknowledge_received_data(stream, length)
        if state is not None or not self._streams.was_reset(stream):
            raise Http2StreamError(ErrorCode.STREAM_CLOSED)

    def _on_headers(self, frame: Frame) -> None:
        if not frame.stream:
            raise Http2Error(ErrorCode.PROTOCOL_ERROR, "HEADERS on stream 0")
        payload = remove_padding(frame)
        if frame.flags & HAS_PRIORITY:
            if len(payload) < PRIORITY_BYTES:
                raise Http2Error(ErrorCode.FRAME_SIZE_ERROR, "HEADERS without their priority")
            check_dependency(frame.stream, payload)
            payload = payload[PRIORITY_BYTES:]
        if frame.flags & END_HEADERS:
            self._on_header_block(frame.stream, frame.flags, payload)
        else:
            self._partial = PartialHeaderBlock(frame.stream, frame.flags, bytearray(payload))

    def _on_continuation(self, frame: Frame) -> None:
        partial = self._partial
        if partial is None:
            raise Http2Error(ErrorCode.PROTOCOL_ERROR, "CONTINUATION of nothing")
        partial.data += frame.payload
        max_bytes = 2 * self._limits.metadata_bytes + DEFAULT_MAX_FRAME
        if partial.frames >= MAX_BLOCK_FRAMES or len(partial.data) > max_bytes:
            raise Http2Error(ErrorCode.ENHANCE_YOUR_CALM, "a block of headers without end")
        partial.frames += 1
        if frame.flags & END_HEADERS:
            self._partial = None
            self._on_header_block(partial.stream, partial.flags, bytes(partial.data))

    def _on_header_block(self, stream: int, flags: int, data: bytes) -> None:
        block = self._decoder.decode(data)
        ended = bool(flags & END_STREAM)
        state = self._streams.get(stream)
        if state is None:
            self._on_request(stream, block, ended)
        elif not state.remote_open:
            raise Http2StreamError(ErrorCode.STREAM_CLOSED)
        elif state.headers_received:
            self._on_trailers(stream, state, block, ended)
        else:
            self._on_response(stream, state, block, ended)

    def _on_request(self, stream: int, block: HeaderBlock, ended: bool) -> None:
        if not self._streams.is_idle(stream):
            if self._streams.was_reset(stream):
                return
            raise Http2Error(ErrorCode.STREAM_CLOSED, "HEADERS on a stream that is closed")
        if self.client or not stream & 1:
            raise Http2Error(ErrorCode.PROTOCOL_ERROR, f"stream {stream} is not the peer's to open")
        self._streams.highest_remote = stream
        if block.request_length is None:
            block.request_length = check_request(block)
        if self._streams.remote_count >= self.max_streams:
            self.reset_stream(stream, ErrorCode.REFUSED_STREAM)
            return
        state = self._streams.open_remote(stream, block.request_length)
        if ended:
            self._streams.end_remote(stream, state)
        self._events.append(events.RequestReceived(stream, block, ended))

    def _on_response(self, stream: int, state: StreamState, block: HeaderBlock, ended: bool) -> None:
        status = check_response(block)
        if status.startswith("1"):
            if ended:
                raise Http2Error(ErrorCode.PROTOCOL_ERROR, "an informational response that ends the stream")
            return
        state.headers_received = True
        if ended:
            self._streams.end_remote(stream, state)
        self._events.append(events.ResponseReceived(stream, block, ended))

    def _on_trailers(self, stream: int, state: StreamState, block: HeaderBlock, ended: bool) -> None:
        if not ended:
            raise Http2Error(ErrorCode.PROTOCOL_ERROR, "trailers that do not end the stream")
        check_trailers(block)
        self._streams.end_remote(stream, state)
        self._events.append(events.TrailersReceived(stream, block))

    def _on_priority(self, frame: Frame) -> None:
        if not frame.stream:
            raise Http2Error(ErrorCode.PROTOCOL_ERROR, "PRIORITY on stream 0")
        if len(frame.payload) != PRIORITY_BYTES:
            raise Http2Error(ErrorCode.FRAME_SIZE_ERROR, "a malformed PRIORITY")
        check_dependency(frame.stream, frame.payload)

    def _on_rst_stream(self, frame: Frame) -> None:
        if len(frame.payload) != UINT32.size:
            raise Http2Error(ErrorCode.FRAME_SIZE_ERROR, "a malformed RST_STREAM")
        if not frame.stream or self._streams.is_idle(frame.stream):
            raise Http2Error(ErrorCode.PROTOCOL_ERROR, "RST_STREAM on a stream that was never opened")
        if self._streams.close(frame.stream):
            self._events.append(events.StreamReset(frame.stream, UINT32.unpack(frame.payload)[0]))

    def _on_window_update(self, frame: Frame) -> None:
        if len(frame.payload) != UINT32.size:
            raise Http2Error(ErrorCode.FRAME_SIZE_ERROR, "a malformed WINDOW_UPDATE")
        increment = UINT32.unpack(frame.payload)[0] & MAX_31_BITS
        if frame.stream:
            self._on_stream_window_update(frame.stream, increment)
            return
        if not increment:
            raise Http2Error(ErrorCode.PROTOCOL_ERROR, "a window that grows by nothing")
        self._send_window += increment
        if self._send_window > MAX_31_BITS:
            raise Http2Error(ErrorCode.FLOW_CONTROL_ERROR, "a window beyond all bounds")
        self._events.append(events.WindowUpdated(0))

    def _on_stream_window_update(self, stream: int, increment: int) -> None:
        state = self._streams.get(stream)
        if state is None:
            if self._streams.is_idle(stream):
                raise Http2Error(ErrorCode.PROTOCOL_ERROR, "WINDOW_UPDATE on a stream that was never opened")
            return
        if not increment:
            raise Http2StreamError(ErrorCode.PROTOCOL_ERROR)
        state.send_window += increment
        if state.send_window > MAX_31_BITS:
            raise Http2StreamError(ErrorCode.FLOW_CONTROL_ERROR)
        self._events.append(events.WindowUpdated(stream))

    def _on_settings(self, frame: Frame) -> None:
        if frame.stream:
            raise Http2Error(ErrorCode.PROTOCOL_ERROR, "SETTINGS on a stream")
        payload = frame.payload
        if frame.flags & ACK:
            if payload:
                raise Http2Error(ErrorCode.FRAME_SIZE_ERROR, "an acknowledgement with settings")
            return
        if len(payload) % SETTING.size:
            raise Http2Error(ErrorCode.FRAME_SIZE_ERROR, "malformed SETTINGS")
        for position in range(0, len(payload), SETTING.size):
            self._apply_setting(*SETTING.unpack_from(payload, position))
        self.out += encode_frame(FrameType.SETTINGS, ACK, 0, b"")
        self._events.append(events.RemoteSettingsChanged())

    def _apply_setting(self, name: int, value: int) -> None:
        if name == Setting.HEADER_TABLE_SIZE:
            if value < DEFAULT_TABLE_BYTES:
                self._table_update = EMPTY_TABLE_UPDATE
        elif name == Setting.ENABLE_PUSH:
            if value > 1 or (self.client and value):
                raise Http2Error(ErrorCode.PROTOCOL_ERROR, "ENABLE_PUSH out of range")
        elif name == Setting.MAX_CONCURRENT_STREAMS:
            self.peer_max_streams = value
        elif name == Setting.INITIAL_WINDOW_SIZE:
            self._streams.set_initial_send_window(value)
        elif name == Setting.MAX_FRAME_SIZE:
            if not DEFAULT_MAX_FRAME <= value < 1 << 24:
                raise Http2Error(ErrorCode.PROTOCOL_ERROR, "MAX_FRAME_SIZE out of range")
            self.peer_max_frame = value

    def _on_ping(self, frame: Frame) -> None:
        if frame.stream:
            raise Http2Error(ErrorCode.PROTOCOL_ERROR, "PING on a stream")
        if len(frame.payload) != PING_BYTES:
            raise Http2Error(ErrorCode.FRAME_SIZE_ERROR, "a malformed PING")
        if frame.flags & ACK:
            self._events.append(events.PingAckReceived())
        else:
            self.out += encode_frame(FrameType.PING, ACK, 0, frame.payload)
            self._events.append(events.PingReceived())

    def _on_goaway(self, frame: Frame) -> None:
        if frame.stream:
            raise Http2Error(ErrorCode.PROTOCOL_ERROR, "a malformed GOAWAY")
        if len(frame.payload) < 2 * UINT32.size:
            raise Http2Error(ErrorCode.FRAME_SIZE_ERROR, "a malformed GOAWAY")
        last_stream = UINT32.unpack_from(frame.payload)[0] & MAX_31_BITS
        code = UINT32.unpack_from(frame.payload, UINT32.size)[0]
        self._events.append(events.ConnectionTerminated(last_stream, code))

    _HANDLERS: ClassVar[dict[int, Callable[[Http2Protocol, Frame], None]]] = {
        FrameType.DATA: _on_data,
        FrameType.HEADERS: _on_headers,
        FrameType.PRIORITY: _on_priority,
        FrameType.RST_STREAM: _on_rst_stream,
        FrameType.SETTINGS: _on_settings,
        FrameType.PING: _on_ping,
        FrameType.GOAWAY: _on_goaway,
        FrameType.WINDOW_UPDATE: _on_window_update,
        FrameType.CONTINUATION: _on_continuation,
    }
