"""How a connection or one of its streams ends without a gRPC status."""

from __future__ import annotations


class TransportError(Exception):
    """Base of the errors of connections and streams."""


class ConnectionLostError(TransportError):
    """The connection ended under a stream. `sent`: whether the peer may have seen the stream at all."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class StreamResetError(TransportError):
    """The peer reset the stream. `processed` is False where it says that it never processed it."""

    def __init__(self, code: int, processed: bool) -> None:
        super().__init__(f"stream reset with HTTP/2 error {code}")
        self.code = code
        self.processed = processed


class AbusivePeerError(TransportError):
    """The peer exceeds what AbuseGuard allows; the connection ends."""
