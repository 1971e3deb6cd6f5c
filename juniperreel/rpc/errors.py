"""Errors of connections and streams that end without a gRPC status."""

from __future__ import annotations


class TransportError(Exception):
    """Base class of the errors of connections and streams."""


class ConnectionLostError(TransportError):
    """The connection ended while the stream was open.

    `sent` is False if the peer cannot have received any of the stream's frames.
    """

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class StreamResetError(TransportError):
    """The peer reset the stream. `processed` is False if the peer says that it did not process it."""

    def __init__(self, code: int, processed: bool) -> None:
        super().__init__(f"stream reset with HTTP/2 error {code}")
        self.code = code
        self.processed = processed


class AbusivePeerError(TransportError):
    """The peer exceeded a limit of AbuseGuard; the connection is closed."""
