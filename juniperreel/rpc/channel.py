"""gRPC client channel: calls to one address over one connection, which is opened on demand.

A call that ends without a status raises `CallUnprocessedError` if the peer cannot have processed it, and
`CallInterruptedError` if it may have. Calls are never retried here; that is left to the caller.
"""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio
from google.protobuf.message import Message

from juniperreel.net import Clock, ConnectError, ConnectTimedOutError, Network
from juniperreel.rpc.connection import Connection
from juniperreel.rpc.errors import ConnectionLostError, StreamResetError, TransportError
from juniperreel.rpc.header_blocks import encode_headers
from juniperreel.rpc.limits import US_PER_S, Limits
from juniperreel.rpc.metadata import (
    Metadata,
    MetadataError,
    decode_base64,
    decode_metadata,
    encode_metadata,
    encode_timeout,
    never_indexed,
)
from juniperreel.rpc.status import Code, RpcError, decode_message, status_code, unpack_details
from juniperreel.rpc.stream import Stream

RESET_FLUSH_US = 20_000  # maximum time that a cancelled call waits for its RST_STREAM to be written
MAX_BACKOFF_DOUBLINGS = 20
MIN_BACKOFF_SHARE = 0.5


class CallUnprocessedError(TransportError):
    """The peer did not receive the call, or says that it did not process it."""


class CallInterruptedError(TransportError):
    """The connection or the stream broke when the peer may have received the call."""


@dataclass(frozen=True, slots=True)
class Backoff:
    """Exponential backoff between attempts to connect, from `first_us` to `cap_us`.

    Each delay is drawn at random from the upper half of its range, so that clients which lost the same peer
    do not reconnect at the same time.
    """

    first_us: int = 20_000
    cap_us: int = 1_000_000

    def delay_us(self, failures: int, rng: random.Random) -> int:
        """Return the delay after `failures` consecutive failures."""
        doubled = self.first_us << min(failures - 1, MAX_BACKOFF_DOUBLINGS)
        return int(min(doubled, self.cap_us) * rng.uniform(MIN_BACKOFF_SHARE, 1.0))


@dataclass(slots=True)
class Reply:
    """The response of a unary call, with its initial and trailing metadata."""

    message: bytes
    initial_metadata: list[tuple[str, str | bytes]]
    trailing_metadata: list[tuple[str, str | bytes]]


class Channel:
    """Makes calls to one peer. `run` must be running."""

    def __init__(
        self,
        network: Network,
        clock: Clock,
        host: str,
        port: int,
        limits: Limits,
        rng: random.Random,
        connect_timeout_us: int = 1_000_000,
        backoff: Backoff | None = None,
    ) -> None:
        """`rng` randomizes the delays between attempts to connect."""
        self.authority = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self.connect_attempts = 0
        self.closed = False
        self._shared_blocks: dict[tuple[str, bool], bytes] = {}  # by path and compression
        self._network = network
        self._clock = clock
        self._host = host
        self._port = port
        self._limits = limits
        self._rng = rng
        self._connect_timeout_us = connect_timeout_us
        self._backoff = backoff or Backoff()
        self._failures = 0
        self._next_attempt_us = 0
        self._last_error: ConnectError = ConnectTimedOutError("not connected yet")
        self._connection: Connection | None = None
        self._opening: trio.Event | None = None
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Own the connection's tasks until cancelled or closed."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                # The owner may cancel this task instead of calling `close`; calls made after that must fail.
                self.closed = True

    def close(self) -> None:
        """Close the connection immediately, failing all calls."""
        self.closed = True
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()

    async def finish(self) -> None:
        """Wait for the calls in flight, then close."""
        if self._connection is not None and not self._connection.closed.is_set():
            await self._connection.finish()
        self.close()

    # Connecting.

    async def connection(self) -> Connection:
        """Return the open connection; connect if there is none.

        Raises ConnectError, and does so without a new attempt during the backoff after a failed one.
        """
        while True:
            if self._connection is not None and not self._connection.going_away:
                return self._connection
            if self.closed or self._nursery is None:
                raise ConnectTimedOutError(f"the channel to {self.authority} is closed")
            if self._opening is None:
                if self._clock.now_us() < self._next_attempt_us:
                    raise self._copy_of_last_error()
                self._opening = trio.Event()
                self._nursery.start_soon(self._open, self._opening)
            failures_before = self._failures
            await self._opening.wait()
            if self._failures > failures_before:
                raise self._copy_of_last_error()

    def _copy_of_last_error(self) -> ConnectError:
        """Return the last attempt's error, as a new exception for each call that fails with it."""
        return type(self._last_error)(str(self._last_error))

    async def _open(self, done: trio.Event) -> None:
        """Make one attempt to connect for all waiting calls; it goes on if any of them is cancelled."""
        self.connect_attempts += 1
        try:
            self._connection = await self._connect()
        except ConnectError as error:
            self._last_error = error
            self._failures += 1
            delay_us = self._backoff.delay_us(self._failures, self._rng)
            self._next_attempt_us = self._clock.now_us() + delay_us
        else:
            self._failures = 0
            self._next_attempt_us = 0
        finally:
            self._opening = None
            done.set()

    async def _connect(self) -> Connection:
        """Open a connection whose peer speaks HTTP/2. Raises ConnectError."""
        assert self._nursery is not None
        transport = await self._network.connect(self._host, self._port, self._connect_timeout_us)
        connection = Connection(transport, True, self._limits, self._clock)
        await self._nursery.start(connection.run)
        with trio.move_on_after(self._connect_timeout_us / US_PER_S):
            await connection.settings_received.wait()
        if not connection.settings_received.is_set() or connection.closed.is_set():
            # TCP alone cannot detect a peer that accepts connections but never sends anything.
            connection.abort("no SETTINGS in time")
            reason = connection.close_reason
            raise ConnectTimedOutError(f"{self.authority} accepts connections and does not speak: {reason}")
        return connection

    @property
    def connected(self) -> bool:
        """Whether there is an open connection that accepts new calls."""
        return self._connection is not None and not self._connection.going_away

    # Calls.

    def _encode_call_headers(
        self, path: str, metadata: Metadata, timeout_us: int | None, gzip: bool
    ) -> bytes:
        """Return the encoded headers of a call."""
        block = self._shared_blocks.get((path, gzip))
        if block is None:
            block = self._encode_shared_headers(path, gzip)
            self._shared_blocks[path, gzip] = block
        if timeout_us is not None:
            block += encode_headers([never_indexed("grpc-timeout", encode_timeout(timeout_us))])
        if metadata:
            block += encode_headers(encode_metadata(metadata))
        return block

    def _encode_shared_headers(self, path: str, gzip: bool) -> bytes:
        """Encode the headers that all calls of a path share."""
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", path),
            (":authority", self.authority),
            ("te", "trailers"),
            ("content-type", "application/grpc"),
            ("grpc-accept-encoding", "identity,gzip"),
        ]
        if gzip:
            headers.append(("grpc-encoding", "gzip"))
        return encode_headers(headers)

    async def unary(
        self,
        path: str,
        message: bytes,
        metadata: Metadata = (),
        timeout_us: int | None = None,
        gzip: bool = False,
    ) -> Reply:
        """Send one message and receive one.

        `timeout_us` is only sent to the peer; the caller must limit its own wait with a cancel scope. If
        cancelled, the call resets its stream and waits up to `RESET_FLUSH_US` until that is written.
        Raises RpcError, ConnectError, CallUnprocessedError or CallInterruptedError.
        """
        async with self._stream(path, metadata, timeout_us, gzip) as (connection, stream):
            await connection.send_message(stream, message, end=True, gzip=gzip)
            reply = await stream.message()
            extra = None if reply is None else await stream.message()
            trailing = trailing_metadata(stream)
            if reply is None or extra is not None:
                raise RpcError(Code.INTERNAL, "a unary call was not answered with one message")
            return Reply(reply, decode_metadata(stream.raw_headers), trailing)

    @asynccontextmanager
    async def streaming(
        self, path: str, message: bytes, metadata: Metadata = (), timeout_us: int | None = None
    ) -> AsyncIterator[AsyncIterator[bytes]]:
        """Send one message and receive many.

        Yields an iterator over the received messages, which raises RpcError at its end for any status but OK.
        """
        async with self._stream(path, metadata, timeout_us, False) as (connection, stream):
            await connection.send_message(stream, message, end=True)
            yield self._messages(stream)

    @staticmethod
    async def _messages(stream: Stream) -> AsyncIterator[bytes]:
        while True:
            try:
                message = await stream.message()
            except (ConnectionLostError, StreamResetError) as error:
                raise CallInterruptedError(str(error)) from error
            if message is None:
                trailing_metadata(stream)
                return
            yield message

    @asynccontextmanager
    async def _stream(
        self, path: str, metadata: Metadata, timeout_us: int | None, gzip: bool
    ) -> AsyncIterator[tuple[Connection, Stream]]:
        """Open a stream for one call; remove or reset it at the end."""
        block = self._encode_call_headers(path, metadata, timeout_us, gzip)
        connection = await self.connection()
        stream: Stream | None = None
        try:
            stream = await connection.open(block)
            yield connection, stream
        except ConnectionLostError as error:
            raise unanswered_call_error(str(error), processed=error.sent) from error
        except StreamResetError as error:
            raise unanswered_call_error(str(error), processed=error.processed) from error
        finally:
            if stream is not None and not stream.closed:
                await self._end_stream(connection, stream)

    @staticmethod
    async def _end_stream(connection: Connection, stream: Stream) -> None:
        if stream.ended:
            connection.drop(stream)
            return
        connection.reset(stream)
        with trio.CancelScope(shield=True):
            await connection.wait_written(RESET_FLUSH_US)


def unanswered_call_error(text: str, processed: bool) -> TransportError:
    """Return the error of a call without a status; `processed`: whether the peer may have processed it."""
    return CallInterruptedError(text) if processed else CallUnprocessedError(text)


def trailing_metadata(stream: Stream) -> list[tuple[str, str | bytes]]:
    """Return the trailing metadata of a call that ended with OK. Raises RpcError for any other status."""
    headers = stream.raw_headers if stream.trailers is None else stream.trailers
    fields = dict(headers)
    http_status = (stream.headers or {}).get(":status")
    code = status_code(fields.get("grpc-status"), http_status)
    try:
        trailing = decode_metadata(headers)
    except MetadataError as error:
        raise RpcError(Code.INTERNAL, str(error)) from None
    if code is Code.OK:
        return trailing
    default_message = "" if "grpc-status" in fields else f"HTTP {http_status}"
    message = decode_message(fields.get("grpc-message", default_message))
    raise RpcError(code, message, status_details(fields), trailing)


def status_details(fields: dict[str, str]) -> list[Message]:
    """Return the google.rpc details of a status; empty if there are none or they are malformed."""
    encoded = fields.get("grpc-status-details-bin")
    if encoded is None:
        return []
    try:
        return unpack_details(decode_base64(encoded))
    except MetadataError:
        return []
