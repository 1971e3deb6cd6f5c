"""HTTP/2 frames (RFC 9113, sections 4 and 6): constants, encoding, and parsing of received bytes. No I/O."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
FRAME_HEADER_BYTES = 9
DEFAULT_MAX_FRAME = 16_384  # bytes of payload
MAX_31_BITS = (1 << 31) - 1  # the largest stream id, and the largest window
UINT32 = struct.Struct(">I")
SETTING = struct.Struct(">HI")


class FrameType(IntEnum):
    """Frame types. Frames of other types are ignored (RFC 9113, 4.1)."""

    DATA = 0
    HEADERS = 1
    PRIORITY = 2
    RST_STREAM = 3
    SETTINGS = 4
    PUSH_PROMISE = 5
    PING = 6
    GOAWAY = 7
    WINDOW_UPDATE = 8
    CONTINUATION = 9


# Flags. The meaning of the first bit depends on the frame type.
END_STREAM = 0x1  # DATA and HEADERS
ACK = 0x1  # SETTINGS and PING
END_HEADERS = 0x4
PADDED = 0x8
HAS_PRIORITY = 0x20


class ErrorCode(IntEnum):
    """Error codes of RST_STREAM and GOAWAY. Peers may send others."""

    NO_ERROR = 0
    PROTOCOL_ERROR = 1
    INTERNAL_ERROR = 2
    FLOW_CONTROL_ERROR = 3
    SETTINGS_TIMEOUT = 4
    STREAM_CLOSED = 5
    FRAME_SIZE_ERROR = 6
    REFUSED_STREAM = 7
    CANCEL = 8
    COMPRESSION_ERROR = 9
    CONNECT_ERROR = 10
    ENHANCE_YOUR_CALM = 11


class Setting(IntEnum):
    """Identifiers of SETTINGS parameters. Others are ignored."""

    HEADER_TABLE_SIZE = 1
    ENABLE_PUSH = 2
    MAX_CONCURRENT_STREAMS = 3
    INITIAL_WINDOW_SIZE = 4
    MAX_FRAME_SIZE = 5
    MAX_HEADER_LIST_SIZE = 6


class Http2Error(Exception):
    """The peer broke the protocol: a connection error (RFC 9113, 5.4.1)."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


class Http2StreamError(Exception):
    """The peer broke the protocol on one stream alone (RFC 9113, 5.4.2)."""

    def __init__(self, code: int) -> None:
        super().__init__(f"HTTP/2 error {code}")
        self.code = code


class Frame(NamedTuple):
    """One received frame."""

    kind: int
    flags: int
    stream: int
    payload: bytes


def encode_frame(kind: int, flags: int, stream: int, payload: bytes) -> bytes:
    """Encode one frame."""
    size = len(payload)
    return bytes((size >> 16, size >> 8 & 255, size & 255, kind, flags)) + UINT32.pack(stream) + payload


def remove_padding(frame: Frame) -> bytes:
    """Return the payload without padding. Raises Http2Error."""
    payload = frame.payload
    if not frame.flags & PADDED:
        return payload
    if not payload:
        raise Http2Error(ErrorCode.FRAME_SIZE_ERROR, "padding without its length")
    padding = payload[0]
    if padding >= len(payload):
        raise Http2Error(ErrorCode.PROTOCOL_ERROR, "more padding than frame")
    return payload[1 : len(payload) - padding]


def check_dependency(stream: int, priority: bytes) -> None:
    """Check the stream dependency of a priority, the rest of which is ignored. Raises Http2Error."""
    if UINT32.unpack_from(priority)[0] & MAX_31_BITS == stream:
        raise Http2Error(ErrorCode.PROTOCOL_ERROR, "a stream that depends on itself")


class FrameReader:
    """Splits received bytes into frames; buffers at most one incomplete frame."""

    def __init__(self, expects_preface: bool) -> None:
        """`expects_preface` is True on servers, as a client sends the preface before its first frame."""
        self._expects_preface = expects_preface
        self._incomplete = bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that `data` completes; the iterator must be exhausted.

        Raises Http2Error for bytes that are not HTTP/2, and for frames that are too large.
        """
        if self._incomplete:
            self._incomplete += data
            data = bytes(self._incomplete)
        position = 0
        if self._expects_preface:
            if not PREFACE.startswith(data[: len(PREFACE)]):
                raise Http2Error(ErrorCode.PROTOCOL_ERROR, "this is not HTTP/2")
            if len(data) < len(PREFACE):
                self._incomplete = bytearray(data)
                return
            self._expects_preface = False
            position = len(PREFACE)
        while len(data) - position >= FRAME_HEADER_BYTES:
            size = data[position] << 16 | data[position + 1] << 8 | data[position + 2]
            if size > DEFAULT_MAX_FRAME:
                raise Http2Error(ErrorCode.FRAME_SIZE_ERROR, f"a frame of {size} bytes")
            start = position + FRAME_HEADER_BYTES
            if start + size > len(data):
                break
            stream = UINT32.unpack_from(data, position + 5)[0] & MAX_31_BITS
            yield Frame(data[position + 3], data[position + 4], stream, data[start : start + size])
            position = start + size
        self._incomplete = bytearray(data[position:])
