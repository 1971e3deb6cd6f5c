"""A call on the server, as passed to its handler, and the encoding of its response headers and trailers."""

from __future__ import annotations

from typing import Any

from juniperreel.net import Clock
from juniperreel.rpc.connection import Connection
from juniperreel.rpc.header_blocks import encode_headers
from juniperreel.rpc.metadata import Headers, Metadata, decode_metadata, decode_timeout, encode_metadata
from juniperreel.rpc.status import Code, RpcError, encode_message, pack_details
from juniperreel.rpc.stream import Stream

CONTENT_TYPE = "application/grpc"
ENCODINGS = ("identity", "gzip")  # supported message encodings
RESPONSE_HEADERS: Headers = [(":status", "200"), ("content-type", CONTENT_TYPE)]
RESPONSE_BLOCK = encode_headers(RESPONSE_HEADERS)

DEADLINE_EXCEEDED = RpcError(Code.DEADLINE_EXCEEDED, "the deadline has passed")


class Call:
    """One call of a client. Times are in microseconds on the clock of `net`."""

    def __init__(self, connection: Connection, stream: Stream, clock: Clock) -> None:
        """Raises MetadataError if the headers cannot be decoded."""
        headers = stream.headers or {}
        self.path = headers.get(":path", "")
        self.started_us = stream.arrived_us or clock.now_us()
        self.metadata = decode_metadata(stream.raw_headers)
        timeout = headers.get("grpc-timeout")
        self.deadline_us = None if timeout is None else self.started_us + decode_timeout(timeout)
        self.gzip = headers.get("grpc-encoding") == "gzip"
        self.trailing_metadata: list[tuple[str, str | bytes]] = []
        self.admission: Any = None  # the result of `Method.admit`, until the handler takes it
        self.deadline_status = DEADLINE_EXCEEDED  # the call's status if its deadline passes
        self._initial_metadata: list[tuple[str, str | bytes]] = []
        self._headers_sent = False
        self._connection = connection
        self._stream = stream
        self._clock = clock

    def set_deadline(self, at_us: int, status: RpcError) -> None:
        """Cancel the handler at `at_us` at the latest, and end the call with `status` if it is cancelled."""
        self.deadline_status = status
        scope = self._stream.handler_scope
        if scope is not None:
            scope.deadline = min(scope.deadline, self._clock.trio_time(at_us))

    def take_admission(self) -> Any:
        """Return the result of `Method.admit`; the caller becomes responsible for releasing it."""
        admission = self.admission
        self.admission = None
        return admission

    def metadata_value(self, name: str) -> str | bytes | None:
        """Return the last value of a metadata key, or None."""
        values = self.metadata_values(name)
        return values[-1] if values else None

    def metadata_values(self, name: str) -> list[str | bytes]:
        """Return all values of a metadata key."""
        return [value for key, value in self.metadata if key == name]

    def add_initial_metadata(self, metadata: Metadata) -> None:
        """Add initial metadata, which is sent before the first message."""
        self._initial_metadata.extend(metadata)

    async def receive(self) -> bytes | None:
        """Return the client's next message, or None after its last one."""
        return await self._stream.message()

    async def send(self, message: bytes) -> None:
        """Send a message, preceded by the headers if it is the first.

        Raises the error that ended the stream.
        """
        self._send_headers()
        await self._connection.send_message(self._stream, message, gzip=self.gzip)

    def break_connection(self, reason: str) -> None:
        """Close the call's connection immediately, as if the process had crashed."""
        self._connection.abort(reason)

    def _send_headers(self) -> None:
        if self._headers_sent:
            return
        self._headers_sent = True
        block = RESPONSE_BLOCK
        if self.gzip or self._initial_metadata:
            encoding = [("grpc-encoding", "gzip")] if self.gzip else []
            block += encode_headers(encoding + encode_metadata(self._initial_metadata))
        self._connection.send_block(self._stream, block)

    def finish(self, error: RpcError | None) -> None:
        """Send the trailers; in one block with the headers if those were not sent before."""
        headers: Headers = []
        if not self._headers_sent:
            headers += RESPONSE_HEADERS + encode_metadata(self._initial_metadata)
        self._headers_sent = True
        self._connection.send_headers(
            self._stream, headers + trailers(error, self.trailing_metadata), end=True
        )


def trailers(error: RpcError | None, trailing: Metadata = ()) -> Headers:
    """Return the trailers of a call that ended with `error`, or with OK. Raises MetadataError."""
    if error is None:
        return [("grpc-status", "0"), *encode_metadata(trailing)]
    headers = [("grpc-status", str(int(error.code)))]
    if error.message:
        headers.append(("grpc-message", encode_message(error.message)))
    metadata = [*trailing, *error.metadata]
    if error.details:
        metadata.append(("grpc-status-details-bin", pack_details(error.code, error.message, error.details)))
    return headers + encode_metadata(metadata)


def encode_rejection(error: RpcError) -> bytes:
    """Encode a Trailers-Only response for `Method.shed_early`; the block can be sent on any connection."""
    return encode_headers([(name, value) for name, value in RESPONSE_HEADERS + trailers(error)])
