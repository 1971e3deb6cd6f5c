"""What an HTTP/2 connection tells the program about its peer, named as h2 names it."""

from __future__ import annotations

from typing import NamedTuple

from juniperreel.rpc.header_blocks import HeaderBlock


class RequestReceived(NamedTuple):
    """A request on a new stream of the peer's; `ended` where it has no body."""

    stream: int
    block: HeaderBlock
    ended: bool


class ResponseReceived(NamedTuple):
    """The response's headers; `ended` where they are the trailers as well."""

    stream: int
    block: HeaderBlock
    ended: bool


class TrailersReceived(NamedTuple):
    """The trailers, which end the stream."""

    stream: int
    block: HeaderBlock


class DataReceived(NamedTuple):
    """DATA; `flow_controlled_length` is owed to the peer's windows by `acknowledge_received_data`."""

    stream: int
    data: bytes
    flow_controlled_length: int
    ended: bool


class StreamReset(NamedTuple):
    """The stream is closed, by the peer's RST_STREAM or by ours for its error."""

    stream: int
    code: int


class WindowUpdated(NamedTuple):
    """More may be sent on a stream, or on all where it is 0."""

    stream: int


class RemoteSettingsChanged(NamedTuple):
    """The peer sent SETTINGS; they are applied and acknowledged."""


class PingReceived(NamedTuple):
    """The peer sent a PING; it is answered."""


class PingAckReceived(NamedTuple):
    """The peer answered a PING."""


class ConnectionTerminated(NamedTuple):
    """The peer sent GOAWAY: it processes no stream above `last_stream`."""

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
