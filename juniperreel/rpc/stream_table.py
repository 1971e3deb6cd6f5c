"""The streams of one HTTP/2 connection and their states (RFC 9113, 5.1). No I/O."""

from __future__ import annotations

from collections import OrderedDict

from juniperreel.rpc.flow_control import DEFAULT_WINDOW, ReceiveWindow
from juniperreel.rpc.frames import MAX_31_BITS, ErrorCode, Http2Error

REMEMBERED_RESETS = 4_096  # streams that we reset; frames sent before the peer read the reset are ignored


class StreamState:
    """State of one open stream."""

    __slots__ = (
        "content_length",
        "headers_received",
        "local_open",
        "receive_window",
        "received_bytes",
        "remote_open",
        "send_window",
    )

    def __init__(self, send_window: int, receive_window: int) -> None:
        """Windows in bytes."""
        self.send_window = send_window
        self.receive_window = ReceiveWindow(receive_window)
        self.local_open = True  # whether we may still send
        self.remote_open = True  # whether the peer may still send
        self.headers_received = False  # informational (1xx) responses do not count
        self.content_length = -1  # from the peer's headers; -1 if absent
        self.received_bytes = 0


class StreamTable:
    """The open streams by number; tells whether other streams are idle, closed or reset."""

    def __init__(self, client: bool, receive_window: int) -> None:
        """`client` tells whether we are the client; `receive_window` is that of each stream, in bytes."""
        self.next_local = 1 if client else 2
        self.highest_remote = 0
        self.local_count = 0  # open streams that we opened
        self.remote_count = 0  # open streams that the peer opened
        self._client = client
        self._streams: dict[int, StreamState] = {}
        self._reset: OrderedDict[int, None] = OrderedDict()
        self._initial_send_window = DEFAULT_WINDOW
        self._initial_receive_window = receive_window

    def __contains__(self, number: int) -> bool:
        return number in self._streams

    def __getitem__(self, number: int) -> StreamState:
        return self._streams[number]

    def get(self, number: int) -> StreamState | None:
        """Return the stream, or None if it is not open."""
        return self._streams.get(number)

    def is_local(self, number: int) -> bool:
        """Whether a stream of this number is opened by us: a client's streams have odd numbers."""
        return (number & 1) == self._client

    def is_idle(self, number: int) -> bool:
        """Whether the stream was never opened."""
        if self.is_local(number):
            return number >= self.next_local
        return number > self.highest_remote

    def was_reset(self, number: int) -> bool:
        """Whether the stream is among the last REMEMBERED_RESETS that we reset."""
        return number in self._reset

    def open_local(self) -> int:
        """Open our next stream; returns its number."""
        number = self.next_local
        self.next_local += 2
        self.local_count += 1
        self._streams[number] = self._new_stream()
        return number

    def open_remote(self, number: int, content_length: int) -> StreamState:
        """Add a stream that a request of the peer opened."""
        state = self._new_stream()
        state.content_length = content_length
        state.headers_received = True
        self._streams[number] = state
        self.remote_count += 1
        return state

    def _new_stream(self) -> StreamState:
        return StreamState(self._initial_send_window, self._initial_receive_window)

    def end_local(self, number: int, state: StreamState) -> None:
        """Record that we sent END_STREAM."""
        state.local_open = False
        if not state.remote_open:
            self.close(number)

    def end_remote(self, number: int, state: StreamState) -> None:
        """Record that the peer sent END_STREAM. Raises Http2Error if content-length does not match."""
        if state.content_length >= 0 and state.content_length != state.received_bytes:
            raise Http2Error(ErrorCode.PROTOCOL_ERROR, "content-length and the bytes sent differ")
        state.remote_open = False
        if not state.local_open:
            self.close(number)

    def close(self, number: int) -> bool:
        """Remove a stream; returns whether it was open."""
        if self._streams.pop(number, None) is None:
            return False
        if self.is_local(number):
            self.local_count -= 1
        else:
            self.remote_count -= 1
        return True

    def reset(self, number: int) -> None:
        """Remove a stream, if it is open, and remember that we reset it."""
        self.close(number)
        self._reset[number] = None
        if len(self._reset) > REMEMBERED_RESETS:
            self._reset.popitem(last=False)

    def set_initial_send_window(self, size: int) -> None:
        """Set the peer's INITIAL_WINDOW_SIZE, adjusting open streams (RFC 9113, 6.9.2). Raises Http2Error."""
        if size > MAX_31_BITS:
            raise Http2Error(ErrorCode.FLOW_CONTROL_ERROR, "INITIAL_WINDOW_SIZE out of range")
        for state in self._streams.values():
            state.send_window += size - self._initial_send_window
            if state.send_window > MAX_31_BITS:
                raise Http2Error(ErrorCode.FLOW_CONTROL_ERROR, "a window beyond all bounds")
        self._initial_send_window = size
