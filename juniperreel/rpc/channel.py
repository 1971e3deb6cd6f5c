"""The client side: calls on one address, over one connection that comes up when a call needs it.

Tells apart what became of a call that did not end with a status: `NeverSent` where the peer cannot have
seen it, `Broken` where it may have run. Must never try a call again: that is a decision.
"""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio

from juniperreel.net import Clock, ConnectError, ConnectRefused, ConnectTimedOut, Network
from juniperreel.rpc.http2 import block_of
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.link import Link, LinkLost, Stream, StreamGone
from juniperreel.rpc.metadata import (
    Metadata,
    MetadataError,
    changing,
    decode,
    encode,
    encode_timeout,
    unbase64,
)
from juniperreel.rpc.status import Code, RpcError, code_of, decode_message, unpack_details

FLUSH_US = 20_000  # how long a cancel may wait for its RST_STREAM to leave


class NeverSent(Exception):
    """The peer did not see the call, or says that it never looked at it."""


class Broken(Exception):
    """The connection or the stream broke after the call may have been seen."""


@dataclass(frozen=True, slots=True)
class Backoff:
    """Pauses between attempts to connect: doubling from `first_us` to `cap_us`, each drawn from its upper
    half at random, so that those who lost a peer together do not come back together."""

    first_us: int = 20_000
    cap_us: int = 1_000_000


@dataclass(slots=True)
class Reply:
    message: bytes
    initial: list[tuple[str, str | bytes]]
    trailing: list[tuple[str, str | bytes]]


class Channel:
    """Calls on one peer. `run` must be running for calls to be made."""

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
        self.authority = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self.connects = 0
        self._common: dict[tuple[str, bool], bytes] = {}  # blocks of headers, by path and compression
        self._network, self._clock = network, clock
        self._host, self._port = host, port
        self._limits, self._rng = limits, rng
        self._timeout_us = connect_timeout_us
        self._backoff = backoff or Backoff()
        self._failures = 0
        self._not_before_us = 0
        self._last_error: ConnectError = ConnectTimedOut("not connected yet")
        self._link: Link | None = None
        self._opening: trio.Event | None = None
        self._nursery: trio.Nursery | None = None
        self.closed = False

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                # Danger: whoever owns this ends it from outside; a call that comes then must find it closed.
                self.closed = True

    def close(self) -> None:
        """Ends the connection and all calls at once."""
        self.closed = True
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()

    async def finish(self) -> None:
        """Waits for the calls in hand, then closes."""
        if self._link is not None and not self._link.over.is_set():
            await self._link.finish()
        self.close()

    # Connecting.

    async def link(self) -> Link:
        """The live connection, made if there is none. Raises ConnectRefused or ConnectTimedOut, at once
        while the pause after a failed attempt lasts."""
        while True:
            if self._link is not None and not self._link.going:
                return self._link
            if self.closed or self._nursery is None:
                raise ConnectTimedOut(f"the channel to {self.authority} is closed")
            if self._opening is None:
                if self._clock.now_us() < self._not_before_us:
                    raise type(self._last_error)(str(self._last_error))
                self._opening = trio.Event()
                self._nursery.start_soon(self._open, self._opening)
            opening, before = self._opening, self._failures
            await opening.wait()
            if self._failures > before:
                raise type(self._last_error)(str(self._last_error))

    async def _open(self, done: trio.Event) -> None:
        """One attempt for all that wait; their own cancellation does not end it."""
        assert self._nursery is not None
        self.connects += 1
        try:
            transport = await self._network.connect(self._host, self._port, self._timeout_us)
            link = Link(transport, True, self._limits, self._clock)
            await self._nursery.start(link.run)
            with trio.move_on_after(self._timeout_us / 1_000_000):
                await link.ready.wait()
            if not link.ready.is_set() or link.over.is_set():
                # Danger: a peer that accepts and says nothing looks alive to TCP.
                link.abort("no SETTINGS in time")
                raise ConnectTimedOut(f"{self.authority} accepts connections and does not speak: {link.why}")
        except ConnectError as error:
            self._last_error = error
            self._failures += 1
            doubled = self._backoff.first_us << min(self._failures - 1, 20)
            pause = min(doubled, self._backoff.cap_us) * self._rng.uniform(0.5, 1.0)
            self._not_before_us = self._clock.now_us() + int(pause)
        else:
            self._failures, self._not_before_us = 0, 0
            self._link = link
        finally:
            self._opening = None
            done.set()

    @property
    def connected(self) -> bool:
        return self._link is not None and not self._link.going

    # Calls.

    def _block(self, path: str, metadata: Metadata, timeout_us: int | None, gzip: bool) -> bytes:
        """The headers of a call, encoded; what all calls of a path have in common is encoded once."""
        common = self._common.get((path, gzip))
        if common is None:
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
            common = self._common[path, gzip] = block_of(headers)
        if timeout_us is not None:
            common += block_of([changing("grpc-timeout", encode_timeout(timeout_us))])
        return common + block_of(encode(metadata)) if metadata else common

    async def unary(
        self,
        path: str,
        message: bytes,
        metadata: Metadata = (),
        timeout_us: int | None = None,
        gzip: bool = False,
    ) -> Reply:
        """One message there, one back. Raises RpcError, ConnectError, NeverSent or Broken.

        `timeout_us` is what the peer is told; the caller's own cancel scope is what ends the wait.
        Cancelled, it resets the stream and waits a moment for that to leave.
        """
        async with self._stream(path, metadata, timeout_us, gzip) as (link, stream):
            await link.send_message(stream, message, end=True, gzip=gzip)
            reply = await stream.message()
            extra = None if reply is None else await stream.message()
            trailing = status_of(stream)
            if reply is None or extra is not None:
                raise RpcError(Code.INTERNAL, "a unary call was not answered with one message")
            return Reply(reply, decode(stream.raw_headers), trailing)

    @asynccontextmanager
    async def streaming(
        self, path: str, message: bytes, metadata: Metadata = (), timeout_us: int | None = None
    ) -> AsyncIterator[AsyncIterator[bytes]]:
        """One message there, many back: the context's value is iterated over; its end raises the status."""
        async with self._stream(path, metadata, timeout_us, False) as (link, stream):
            await link.send_message(stream, message, end=True)
            yield self._messages(stream)

    @staticmethod
    async def _messages(stream: Stream) -> AsyncIterator[bytes]:
        while True:
            try:
                message = await stream.message()
            except LinkLost as error:
                raise Broken(str(error)) from error
            except StreamGone as error:
                raise Broken(str(error)) from error
            if message is None:
                status_of(stream)
                return
            yield message

    @asynccontextmanager
    async def _stream(
        self, path: str, metadata: Metadata, timeout_us: int | None, gzip: bool
    ) -> AsyncIterator[tuple[Link, Stream]]:
        block = self._block(path, metadata, timeout_us, gzip)
        link = await self.link()
        stream: Stream | None = None
        try:
            stream = await link.open(block)
            yield link, stream
        except LinkLost as error:
            if error.sent:
                raise Broken(str(error)) from error
            raise NeverSent(str(error)) from error
        except StreamGone as error:
            if not error.processed:
                raise NeverSent(str(error)) from error
            raise Broken(str(error)) from error
        finally:
            if stream is not None and not stream.closed:
                if stream.ended:
                    link.drop(stream)
                else:
                    link.reset(stream)
                    with trio.CancelScope(shield=True):
                        await link.written(FLUSH_US)


def status_of(stream: Stream) -> list[tuple[str, str | bytes]]:
    """The trailing metadata of a call that ended OK. Raises RpcError for any other status."""
    last = stream.raw_headers if stream.trailers is None else stream.trailers
    fields = dict(last)
    http = (stream.headers or {}).get(":status")
    code = code_of(fields.get("grpc-status"), http)
    try:
        trailing = decode(last)
    except MetadataError as error:
        raise RpcError(Code.INTERNAL, str(error)) from None
    if code is Code.OK:
        return trailing
    details = ()
    if "grpc-status-details-bin" in fields:
        try:
            details = tuple(unpack_details(unbase64(fields["grpc-status-details-bin"])))  # type: ignore[assignment]
        except MetadataError:
            details = ()
    message = decode_message(fields.get("grpc-message", "" if "grpc-status" in fields else f"HTTP {http}"))
    raise RpcError(code, message, details, trailing)


__all__ = ["Backoff", "Broken", "Channel", "ConnectRefused", "ConnectTimedOut", "NeverSent", "Reply"]
