"""Events that `Http2Protocol.receive` returns. Names follow those of the h2 library."""

from __future__ import annotations

from typing import NamedTuple

from juniperreel.rpc.header_blocks import HeaderBlock


class RequestReceived(NamedTuple):
    """The peer opened a stream with a request; `ended` if it has no body."""

    stream: int
    block: HeaderBlock
    ended: bool


class ResponseReceived(NamedTuple):
    """The headers of a response; `ended` if they are also its trailers (Trailers-Only)."""

    stream: int
    block: HeaderBlock
    ended: bool


class TrailersReceived(NamedTuple):
    """The trailers of a request or response, which end the stream."""

    stream: int
    block: HeaderBlock


class DataReceived(NamedTuple):
    """DATA. Pass `flow_controlled_length` to `acknowledge_received_data` once the data is consumed."""

    stream: int
    data: bytes
    flow_controlled_length: int
    ended: bool


class StreamReset(NamedTuple):
    """The stream was closed by the peer's RST_STREAM, or by ours after a stream error."""

    stream: int
    code: int


class WindowUpdated(NamedTuple):
    """The send window of a stream grew, or that of the connection if `stream` is 0."""

    stream: int


class RemoteSettingsChanged(NamedTuple):
    """The peer sent SETTINGS, which were applied and acknowledged."""


class PingReceived(NamedTuple):
    """The peer sent a PING, which was acknowledged."""


class PingAckReceived(NamedTuple):
    """The peer acknowledged a PING."""


class ConnectionTerminated(NamedTuple):
    """The peer sent GOAWAY; it does not process streams above `last_stream`."""

    last_stream: int
    code: int


Event = (
    RequestReceived
    | ResponseReceived
    | TrailersReceived
    | DataReceived
    | StreamReset
    | WindowUpdated
    | RemoteSettingsChanged
    | PingReceived
    | PingAckReceived
    | ConnectionTerminated
)
