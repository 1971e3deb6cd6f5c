"""The server side: services, their methods, and the calls in hand.

A handler takes a `Call` and the request's bytes. It raises `RpcError` for any status but OK; whatever else
it raises is reported as INTERNAL and logged, never sent. It is cancelled when the client resets the
stream, the connection ends or the deadline passes.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Literal

import trio

from juniperreel.net import Clock, Listener, StallMonitor
from juniperreel.rpc.http2 import block_of
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.link import Link, LinkLost, Stream, StreamGone
from juniperreel.rpc.metadata import Headers, Metadata, MetadataError, decode, decode_timeout, encode
from juniperreel.rpc.status import PUSHBACK, Code, RpcError, encode_message, pack_details

CONTENT_TYPE = "application/grpc"
ENCODINGS = ("identity", "gzip")
ONLY: Headers = [(":status", "200"), ("content-type", CONTENT_TYPE)]  # ahead of trailers that come alone
ONLY_BLOCK = block_of(ONLY)


LATE = RpcError(Code.DEADLINE_EXCEEDED, "the deadline has passed")


class Call:
    """One call as its handler sees it. Times are microseconds on the clock of `net`."""

    def __init__(self, link: Link, stream: Stream, clock: Clock) -> None:
        headers = stream.headers or {}
        self.path = headers.get(":path", "")
        self.started_us = stream.arrived_us or clock.now_us()
        self.metadata = decode(stream.raw_headers)
        timeout = headers.get("grpc-timeout")
        self.deadline_us = None if timeout is None else self.started_us + decode_timeout(timeout)
        self.gzip = headers.get("grpc-encoding") == "gzip"
        self.trailing: list[tuple[str, str | bytes]] = []
        self.entry: Any = None  # what `Method.enter` returned, until the handler takes it
        self._initial: list[tuple[str, str | bytes]] = []
        self._started = False
        self._link, self._stream, self._clock = link, stream, clock
        self.late = LATE  # what the client is told if the time is over

    def end_by(self, at_us: int, late: RpcError) -> None:
        """The handler is cancelled by then, and the client told `late`."""
        self.late = late
        scope = self._stream.scope
        if scope is not None:
            scope.deadline = min(scope.deadline, self._clock.trio_time(at_us))

    def take_entry(self) -> Any:
        """What `Method.enter` returned; it is the caller's to end from now on."""
        entry, self.entry = self.entry, None
        return entry

    def get(self, name: str) -> str | bytes | None:
        """The last value of a metadata name."""
        found = [value for key, value in self.metadata if key == name]
        return found[-1] if found else None

    def all(self, name: str) -> list[str | bytes]:
        return [value for key, value in self.metadata if key == name]

    def initial(self, metadata: Metadata) -> None:
        """Metadata to send ahead of the first message."""
        self._initial.extend(metadata)

    async def receive(self) -> bytes | None:
        """The next message of the client, or None when it sends no more."""
        return await self._stream.message()

    async def send(self, message: bytes) -> None:
        self._start()
        await self._link.send_message(self._stream, message, gzip=self.gzip)

    def break_connection(self, why: str) -> None:
        """End the whole connection under the call at once, as a dying process would."""
        self._link.abort(why)

    def _start(self) -> None:
        if not self._started:
            self._started = True
            block = ONLY_BLOCK
            if self.gzip or self._initial:
                packed = [("grpc-encoding", "gzip")] if self.gzip else []
                block += block_of(packed + encode(self._initial))
            self._link.send_block(self._stream, block)

    def finish(self, error: RpcError | None) -> None:
        """The trailers; alone with the headers where nothing was sent before (trailers-only)."""
        headers: Headers = []
        if not self._started:
            headers += ONLY + encode(self._initial)
        self._started = True
        self._link.send_headers(self._stream, headers + trailers(error, self.trailing), end=True)


def refusal_block(error: RpcError) -> bytes:
    """An answer without a message, encoded for `Method.glance`; it may be sent many times."""
    return block_of([(name, value) for name, value in ONLY + trailers(error)])


def trailers(error: RpcError | None, trailing: Metadata = ()) -> Headers:
    if error is None:
        return [("grpc-status", "0"), *encode(trailing)]
    headers = [("grpc-status", str(int(error.code)))]
    if error.message:
        headers.append(("grpc-message", encode_message(error.message)))
    metadata = [*trailing, *error.metadata]
    if error.details:
        metadata.append(("grpc-status-details-bin", pack_details(error.code, error.message, error.details)))
    return headers + encode(metadata)


Unary = Callable[[Call, bytes], Awaitable[bytes]]
Streaming = Callable[[Call], Awaitable[None]]


Glance = Callable[[dict[str, str], "bytes | None", int], "bytes | None"]


@dataclass(frozen=True, slots=True)
class Method:
    """`unary` answers one message with one; `streaming` receives and sends by its Call.

    `glance` may turn a unary call away before a task is started for it: from the headers, the message if it
    came with them, and the time from which on the call counts. It returns the block of headers to answer with
    (`refusal_block`), or None; it must not raise. `enter` may do so too, from the whole call; what else it
    returns waits as the call's entry, and goes to `leave` if the handler never took it.
    """

    unary: Unary | None = None
    streaming: Streaming | None = None
    glance: Glance | None = None
    enter: Callable[[Call, bytes], Any] | None = None
    leave: Callable[[Any], None] | None = None


def acceptable(headers: dict[str, str]) -> bool:
    """Whether nothing but the call's own words can be wrong with it."""
    return (
        headers.get(":method") == "POST"
        and headers.get("content-type", "").startswith(CONTENT_TYPE)
        and headers.get("grpc-encoding", "identity") in ENCODINGS
    )


class Server:
    """All services on all connections of a program."""

    def __init__(
        self,
        methods: dict[str, Method],
        limits: Limits,
        clock: Clock,
        on_error: Callable[[str, Exception], None] = lambda path, error: None,
        max_connections: int = 10_000,
        pace: StallMonitor | None = None,
    ) -> None:
        """`methods`: by full path, as "/package.Service/Method"."""
        self._methods, self._limits, self._clock = methods, limits, clock
        self._on_error = on_error
        self._max = max_connections
        self._pace = pace
        self._links: set[Link] = set()
        self._draining = False

    @property
    def connections(self) -> int:
        return len(self._links)

    async def serve(
        self, listener: Listener, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Takes connections until cancelled or drained."""
        async with trio.open_nursery() as nursery:
            task_status.started(listener.port)
            while True:
                try:
                    transport = await listener.accept()
                    if self._pace is not None:
                        await self._pace.wait_for_new_work_budget()
                except trio.ClosedResourceError:
                    break
                if self._draining or len(self._links) >= self._max:
                    await trio.aclose_forcefully(transport)
                    continue
                nursery.start_soon(self._connection, transport)

    async def _connection(self, transport: trio.abc.Stream) -> None:
        async with trio.open_nursery() as nursery:

            def on_request(stream: Stream) -> None:
                method = self._methods.get((stream.headers or {}).get(":path", ""))
                if method is None or method.glance is None:
                    nursery.start_soon(self._call, link, stream, None)
                    return
                early = self._early(link, stream, method)
                if early is not True:
                    nursery.start_soon(self._call, link, stream, early)

            link = Link(transport, False, self._limits, self._clock, on_request, self._pace)
            self._links.add(link)
            try:
                await link.run()
            finally:
                self._links.discard(link)

    def _early(self, link: Link, stream: Stream, method: Method) -> Call | Literal[True] | None:
        """True where the call was turned away; else what is known of it already. Danger: under a flood the
        cost of a refusal is what decides how many can be told at all."""
        headers = stream.headers or {}
        if stream.failure is not None or method.glance is None:
            return None
        message = stream.messages[0] if stream.messages and stream.ended else None
        block = method.glance(headers, message, stream.arrived_us)
        if block is None and message is not None and method.enter is not None and acceptable(headers):
            try:
                call = Call(link, stream, self._clock)
            except MetadataError:
                return None
            entry = method.enter(call, message)
            if not isinstance(entry, bytes):
                call.entry = entry
                return call
            block = entry
        if block is None:
            return None
        link.send_block(stream, block, end=True)
        return True

    async def drain(self) -> None:
        """GOAWAY on every connection; returns when the calls in hand are done."""
        self._draining = True
        # Danger: a connection that was just accepted is in no list until its task has begun.
        await trio.lowlevel.checkpoint()
        while self._links:
            async with trio.open_nursery() as nursery:
                for link in list(self._links):
                    nursery.start_soon(link.finish)
            await trio.lowlevel.checkpoint()

    async def _call(self, link: Link, stream: Stream, call: Call | None) -> None:
        method = self._methods.get(call.path) if call is not None else None
        try:
            await self._whole_call(link, stream, call)
        finally:
            if (
                call is not None
                and call.entry is not None
                and method is not None
                and method.leave is not None
            ):
                method.leave(call.take_entry())

    async def _whole_call(self, link: Link, stream: Stream, call: Call | None) -> None:
        if stream.closed:
            return
        headers = stream.headers or {}
        if headers.get(":method") != "POST":
            link.send_headers(stream, [(":status", "405"), ("allow", "POST")], end=True)
            return
        if not headers.get("content-type", "").startswith(CONTENT_TYPE):
            link.send_headers(stream, [(":status", "415")], end=True)
            return
        error: RpcError | None
        try:
            call = call or Call(link, stream, self._clock)
            method = self._methods.get(call.path)
            if method is None:
                raise RpcError(Code.UNIMPLEMENTED, f"no method {call.path[:200]}")
            encoding = headers.get("grpc-encoding", "identity")
            if encoding not in ENCODINGS:
                accepts = (("grpc-accept-encoding", "identity,gzip"),)
                raise RpcError(
                    Code.UNIMPLEMENTED, f"messages in {encoding[:40]!r} are not read", metadata=accepts
                )
            error = await self._handle(call, method, stream)
        except RpcError as caught:
            error = caught
        except MetadataError as caught:
            error = RpcError(Code.INTERNAL, str(caught))
        except (LinkLost, StreamGone):
            return
        except Exception as caught:
            self._on_error(headers.get(":path", ""), caught)
            error = RpcError(Code.INTERNAL, "the server failed on this call")
        if stream.closed:
            return
        if call is not None:
            call.finish(error)
        else:
            link.send_headers(stream, ONLY + trailers(error), end=True)

    async def _handle(self, call: Call, method: Method, stream: Stream) -> RpcError | None:
        with trio.CancelScope() as scope:
            if call.deadline_us is not None:
                scope.deadline = self._clock.trio_time(call.deadline_us)
            stream.scope = scope
            if method.unary is not None:
                request = await stream.message()
                if request is None or (not stream.ended and await stream.message() is not None):
                    raise RpcError(Code.INTERNAL, "a unary call takes one message")
                await call.send(await method.unary(call, request))
            elif method.streaming is not None:
                await method.streaming(call)
            return None
        return call.late


__all__ = ["PUSHBACK", "Call", "Method", "Server"]
