"""gRPC server: methods by path, connections, and the calls in flight.

A handler takes a `Call` and the request's bytes. It raises `RpcError` for any status but OK; any other
exception is logged, and reported to the client as INTERNAL without its text. A handler is cancelled when the
client resets the stream, the connection ends or the deadline passes.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio

from juniperreel.net import Clock, Listener, StallMonitor
from juniperreel.net.accept import serve_connections
from juniperreel.rpc.arrival import TimedListener
from juniperreel.rpc.call import CONTENT_TYPE, ENCODINGS, RESPONSE_HEADERS, Call, trailers
from juniperreel.rpc.connection import Connection
from juniperreel.rpc.errors import TransportError
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.metadata import MetadataError
from juniperreel.rpc.status import Code, RpcError
from juniperreel.rpc.stream import Stream

MAX_ECHOED_PATH = 200  # characters of an unknown path that the status message quotes
MAX_ECHOED_ENCODING = 40

UnaryHandler = Callable[[Call, bytes], Awaitable[bytes]]
StreamingHandler = Callable[[Call], Awaitable[None]]
EarlyShedder = Callable[[dict[str, str], "bytes | None", int], "bytes | None"]


@dataclass(frozen=True, slots=True)
class Method:
    """Handlers of one method.

    `unary` returns the response to one request message; `streaming` sends and receives through its Call.

    A unary call may be rejected before a task is started for it. `shed_early` decides from the headers, the
    message if it arrived with them, and the call's arrival time; it returns the encoded rejection
    (`call.encode_rejection`) or None, and must not raise. `admit` decides from the complete call: if it
    returns bytes, they are the rejection; anything else is the call's admission, which is passed to `release`
    if the handler does not take it.
    """

    unary: UnaryHandler | None = None
    streaming: StreamingHandler | None = None
    shed_early: EarlyShedder | None = None
    admit: Callable[[Call, bytes], Any] | None = None
    release: Callable[[Any], None] | None = None


@dataclass(frozen=True, slots=True)
class EarlyDecision:
    """The decision made on a call before its task starts: rejected, admitted (`call` is set), or neither."""

    rejected: bool = False
    call: Call | None = None


UNDECIDED = EarlyDecision()
REJECTED = EarlyDecision(rejected=True)


def is_well_formed(headers: dict[str, str]) -> bool:
    """Whether a request is gRPC with a supported encoding; its metadata and message are not checked."""
    return (
        headers.get(":method") == "POST"
        and headers.get("content-type", "").startswith(CONTENT_TYPE)
        and headers.get("grpc-encoding", "identity") in ENCODINGS
    )


class Server:
    """Serves all methods on all connections."""

    def __init__(
        self,
        methods: dict[str, Method],
        limits: Limits,
        clock: Clock,
        on_error: Callable[[str, Exception], None] | None = None,
        max_connections: int = 10_000,
        stall_monitor: StallMonitor | None = None,
    ) -> None:
        """`methods` are by full path, such as "/package.Service/Method".

        `on_error` is called with the path and the exception if a handler fails.
        """
        self._methods = methods
        self._limits = limits
        self._clock = clock
        self._on_error = on_error
        self._max_connections = max_connections
        self._stall_monitor = stall_monitor
        self._connections: set[Connection] = set()
        self._draining = False

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    async def serve(
        self, listener: Listener, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until cancelled or the listener is closed."""
        timed_listener = TimedListener(listener, self._stall_monitor, self._clock)

        async def handle(transport: trio.abc.Stream) -> None:
            await self._serve_connection(transport, timed_listener.waiting_since_us(transport))

        await serve_connections(
            timed_listener,
            handle,
            task_status,
            has_capacity=lambda: not self._draining and len(self._connections) < self._max_connections,
            after_accept=self._stall_monitor.wait_for_new_work_budget
            if self._stall_monitor is not None
            else None,
        )

    async def _serve_connection(self, transport: trio.abc.Stream, waiting_since_us: int) -> None:
        async with trio.open_nursery() as nursery:

            def on_request(stream: Stream) -> None:
                """Start the call's task, unless the call was rejected before it."""
                decision = self._decide_early(connection, stream)
                if not decision.rejected:
                    nursery.start_soon(self._serve_call, connection, stream, decision.call)

            connection = Connection(
                transport,
                False,
                self._limits,
                self._clock,
                on_request,
                self._stall_monitor,
                waiting_since_us,
            )
            self._connections.add(connection)
            try:
                await connection.run()
            finally:
                self._connections.discard(connection)

    def _decide_early(self, connection: Connection, stream: Stream) -> EarlyDecision:
        """Reject or admit a call within the connection's reading task.

        Under overload, the cost of a rejection limits how many calls can be answered at all, so a rejected
        call must not cost a task.
        """
        headers = stream.headers or {}
        method = self._methods.get(headers.get(":path", ""))
        if method is None or method.shed_early is None or stream.failure is not None:
            return UNDECIDED
        message = stream.messages[0] if stream.messages and stream.ended else None
        block = method.shed_early(headers, message, stream.arrived_us)
        if block is None and message is not None and method.admit is not None and is_well_formed(headers):
            try:
                call = Call(connection, stream, self._clock)
            except MetadataError:
                return UNDECIDED
            admission = method.admit(call, message)
            if not isinstance(admission, bytes):
                call.admission = admission
                return EarlyDecision(call=call)
            block = admission
        if block is None:
            return UNDECIDED
        connection.send_block(stream, block, end=True)
        return REJECTED

    async def drain(self) -> None:
        """Send GOAWAY on every connection; returns when the calls in flight are done."""
        self._draining = True
        # A connection that was just accepted is not in `_connections` until its task has started.
        await trio.lowlevel.checkpoint()
        while self._connections:
            async with trio.open_nursery() as nursery:
                for connection in list(self._connections):
                    nursery.start_soon(connection.finish)
            await trio.lowlevel.checkpoint()

    async def _serve_call(self, connection: Connection, stream: Stream, call: Call | None) -> None:
        """Serve one call in its own task; `call` is set if it was already admitted."""
        try:
            if not stream.closed and self._check_http(connection, stream):
                await self._answer(connection, stream, call)
        finally:
            if call is not None and call.admission is not None:
                self._release_admission(call)

    def _release_admission(self, call: Call) -> None:
        method = self._methods.get(call.path)
        if method is not None and method.release is not None:
            method.release(call.take_admission())

    @staticmethod
    def _check_http(connection: Connection, stream: Stream) -> bool:
        """Whether the request is gRPC; if not, an HTTP error status is sent."""
        headers = stream.headers or {}
        if headers.get(":method") != "POST":
            connection.send_headers(stream, [(":status", "405"), ("allow", "POST")], end=True)
            return False
        if not headers.get("content-type", "").startswith(CONTENT_TYPE):
            connection.send_headers(stream, [(":status", "415")], end=True)
            return False
        return True

    async def _answer(self, connection: Connection, stream: Stream, call: Call | None) -> None:
        error: RpcError | None
        try:
            call = call or Call(connection, stream, self._clock)
            error = await self._run_method(call, stream)
        except RpcError as caught:
            error = caught
        except MetadataError as caught:
            error = RpcError(Code.INTERNAL, str(caught))
        except TransportError:
            return
        except Exception as caught:
            # A bug in a handler must fail only its own call.
            if self._on_error is not None:
                self._on_error((stream.headers or {}).get(":path", ""), caught)
            error = RpcError(Code.INTERNAL, "the server failed on this call")
        if stream.closed:
            return
        if call is not None:
            call.finish(error)
        else:
            connection.send_headers(stream, RESPONSE_HEADERS + trailers(error), end=True)

    async def _run_method(self, call: Call, stream: Stream) -> RpcError | None:
        """Run the call's method. Returns the error if the deadline passed, else None. Raises RpcError."""
        method = self._methods.get(call.path)
        if method is None:
            raise RpcError(Code.UNIMPLEMENTED, f"no method {call.path[:MAX_ECHOED_PATH]}")
        encoding = (stream.headers or {}).get("grpc-encoding", "identity")
        if encoding not in ENCODINGS:
            raise RpcError(
                Code.UNIMPLEMENTED,
                f"messages in {encoding[:MAX_ECHOED_ENCODING]!r} are not read",
                metadata=(("grpc-accept-encoding", "identity,gzip"),),
            )
        with trio.CancelScope() as scope:
            if call.deadline_us is not None:
                scope.deadline = self._clock.trio_time(call.deadline_us)
            stream.handler_scope = scope
            if method.unary is not None:
                await self._run_unary(method.unary, call, stream)
            elif method.streaming is not None:
                await method.streaming(call)
            return None
        return call.deadline_status

    @staticmethod
    async def _run_unary(handler: UnaryHandler, call: Call, stream: Stream) -> None:
        request = await stream.message()
        if request is None or (not stream.ended and await stream.message() is not None):
            raise RpcError(Code.INTERNAL, "a unary call takes one message")
        await call.send(await handler(call, request))


__all__ = ["Call", "Method", "Server"]
